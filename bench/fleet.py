"""Fleet of the current size: three zones, ten targets and three entries."""

from __future__ import annotations

import os
import re
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from tests.standins.fleet import Fleet
from tests.standins.proxy import Fault
from urllib3.exceptions import HTTPError


if TYPE_CHECKING:
    from tests.standins.fleet import EntryProcess
    from tests.standins.processes import ManagedProcess


AGENTS_BY_ZONE = (4, 3, 3)
ENTRIES = 3
SLOTS = 8
KIB_PER_MIB = 1024
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ENVELOPES_SENT_PATTERN = re.compile(
    r'^jackdawkeel_envelopes_sent_total\{.*link="([^"]*)".*\} (\d+)$', re.MULTILINE
)


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Processor time of a process since its start, and its current memory.

    Attributes:
        processor_s: Processor time in seconds.
        resident_mb: Resident memory in mebibytes.
    """

    processor_s: float
    resident_mb: float


class BenchFleet(Fleet):
    """A fleet of real processes of the current size.

    Args:
        zone_delay_ms: One-way latency between availability zones in milliseconds,
            added by proxies; 0 runs without proxies.
    """

    def __init__(self, zone_delay_ms: float = 0.0) -> None:
        super().__init__(
            zones=len(AGENTS_BY_ZONE),
            entries=ENTRIES,
            slots=SLOTS,
            proxied=zone_delay_ms > 0,
        )
        self.zone_delay_ms = zone_delay_ms

    def _start_agents(self) -> None:
        for zone, count in zip(self.zones, AGENTS_BY_ZONE, strict=True):
            for _ in range(count):
                self.agents.append(self._start_agent(zone))

    def delay_between_zones(self) -> None:
        """Makes the proxies delay messages from other availability zones."""
        fault = Fault(delay_s=self.zone_delay_ms / 1000)
        entry_zones = [self.zones[index % len(self.zones)] for index in range(ENTRIES)]
        host_zones = [(agent.host, agent.availability_zone) for agent in self.agents]
        hosts = [entry.host for entry in self.entries]
        host_zones += list(zip(hosts, entry_zones, strict=True))
        proxies = [agent.proxy for agent in self.agents]
        proxies += [entry.proxy for entry in self.entries]
        for proxy, (_, own_zone) in zip(proxies, host_zones, strict=True):
            for host, zone in host_zones:
                if proxy is not None and zone != own_zone:
                    proxy.set_fault(fault, host)

    @property
    def total_slots(self) -> int:
        """Number of slots of all targets."""
        return len(self.agents) * SLOTS

    def slots_outside(self, zone: str) -> int:
        """Returns the number of slots outside an availability zone."""
        return sum(SLOTS for agent in self.agents if agent.availability_zone != zone)

    def live_entries(self) -> list[EntryProcess]:
        """Returns the entries whose process is running."""
        return [entry for entry in self.entries if entry.process.is_running]

    def count_envelopes(self) -> dict[str, int]:
        """Returns the number of envelopes sent by each process, by incarnation.

        Several entries may report the same process; the highest count is used.
        """
        counts: dict[str, int] = {}
        for entry in self.live_entries():
            try:
                url = f"{entry.caller.url}/v1/metrics"
                text = self.http.request("GET", url).data.decode()
            except HTTPError:
                continue
            for incarnation, count in ENVELOPES_SENT_PATTERN.findall(text):
                counts[incarnation] = max(counts.get(incarnation, 0), int(count))
        return counts


def read_usage(process: ManagedProcess) -> ProcessUsage:
    """Returns the resource usage of a process; zeros if it no longer exists."""
    proc_folder = Path("/proc") / str(process.process.pid)
    try:
        fields = (proc_folder / "stat").read_text().rpartition(")")[2].split()
        status = (proc_folder / "status").read_text()
    except OSError:
        return ProcessUsage(0.0, 0.0)
    ticks = int(fields[11]) + int(fields[12])
    resident = re.search(r"^VmRSS:\s+(\d+)", status, re.MULTILINE)
    resident_kib = int(resident.group(1)) if resident else 0
    return ProcessUsage(ticks / TICKS_PER_S, resident_kib / KIB_PER_MIB)
