"""Measures resource usage of real processes, over the number of processes.

The agents are light: they share a target address at which no target runs.
"""

from __future__ import annotations

import re
import time
from contextlib import ExitStack
from dataclasses import dataclass

from tests.standins.fleet import SERVICE
from tests.standins.fleet import Fleet
from tests.standins.processes import ManagedProcess
from tests.standins.processes import pick_address

from bench.fits import Fit
from bench.fits import fit_line
from bench.fleet import ENVELOPES_SENT_PATTERN
from bench.fleet import SLOTS
from bench.fleet import read_usage


UNUSED_TARGET_URL = "http://127.0.0.1:9"
SETTLE_S = 5.0
MEASUREMENT_S = 10.0
AGENT_COUNTS = (10, 40, 80, 120)
ENTRY_COUNTS = (1, 2, 4, 8)
START_TIMEOUT_S = 120.0
LOOPBACK_HOSTS = 200
AGENT_NAME_PATTERN = re.compile(r"light-\d+")


class LightFleet(Fleet):
    """A store, entries and light agents.

    Args:
        agents: Number of light agents.
        entries: Number of entries.
    """

    def __init__(self, agents: int, entries: int) -> None:
        super().__init__(zones=3, agents_per_zone=0, entries=entries)
        self.light_agents = agents

    def _start_agents(self) -> None:
        for number in range(self.light_agents):
            link = pick_address(f"127.0.1.{number % LOOPBACK_HOSTS + 1}")
            self.start_light_agent(number, link)

    def start_light_agent(self, number: int, link: str) -> ManagedProcess:
        """Starts one light agent."""
        return self._run(
            f"light-{number}",
            *("jackdawkeel", "agent", "--link", link, "--store", self.store_url),
            *("--availability-zone", self.zones[number % 3]),
            *("--rack", f"rack-{number // 3}", "--target", UNUSED_TARGET_URL),
            *("--services", SERVICE, "--slots", str(SLOTS)),
        )

    def is_fully_connected(self) -> bool:
        """Whether the first entry has received heartbeats of every agent."""
        body = self.entries[0].caller.get_status().body
        return len(body["agents"]) >= self.light_agents

    def entry_and_agent_processes(self) -> list[ManagedProcess]:
        """Returns the entries and the light agents."""
        light_processes = [
            process
            for process in self.processes
            if AGENT_NAME_PATTERN.fullmatch(process.name)
        ]
        return [*(entry.process for entry in self.entries), *light_processes]


@dataclass(frozen=True, slots=True)
class FleetUsage:
    """Resource usage of the processes of an idle fleet.

    Attributes:
        entry_share: Processor time of the first entry, as a share of one core.
        entry_mb: Resident memory of the first entry in mebibytes.
        agent_share: Mean processor time of the agents, as a share of one core.
        agent_mb: Mean resident memory of the agents in mebibytes.
        envelopes_per_s: Envelopes sent by all processes per second.
        store_calls_per_s: Calls to the store per second.
    """

    entry_share: float
    entry_mb: float
    agent_share: float
    agent_mb: float
    envelopes_per_s: float
    store_calls_per_s: float


def measure_fleet(agents: int, entries: int) -> FleetUsage:
    """Runs an idle fleet and returns its resource usage."""
    with ExitStack() as stack:
        fleet = stack.enter_context(LightFleet(agents, entries))
        time.sleep(SETTLE_S)
        processes = fleet.entry_and_agent_processes()
        before = [read_usage(process) for process in processes]
        envelopes, calls = count_envelopes(fleet), count_store_calls(fleet)
        started_at = time.monotonic()
        time.sleep(MEASUREMENT_S)
        measured_s = time.monotonic() - started_at
        after = [read_usage(process) for process in processes]
        envelopes = count_envelopes(fleet) - envelopes
        calls = count_store_calls(fleet) - calls
        shares = [
            (end.processor_s - start.processor_s) / measured_s
            for start, end in zip(before, after, strict=True)
        ]
        light_shares = shares[entries:]
        light_mb = [usage.resident_mb for usage in after[entries:]]
        return FleetUsage(
            shares[0],
            after[0].resident_mb,
            sum(light_shares) / len(light_shares),
            sum(light_mb) / len(light_mb),
            envelopes / measured_s,
            calls / measured_s,
        )


def count_envelopes(fleet: Fleet) -> int:
    """Returns the number of envelopes sent by all processes."""
    counts: dict[str, int] = {}
    for entry in fleet.entries:
        url = f"{entry.caller.url}/v1/metrics"
        text = fleet.http.request("GET", url).data.decode()
        for incarnation, count in ENVELOPES_SENT_PATTERN.findall(text):
            counts[incarnation] = max(counts.get(incarnation, 0), int(count))
    return sum(counts.values())


def count_store_calls(fleet: Fleet) -> int:
    """Returns the number of calls that the store has received."""
    return sum(fleet.read_store_record()["calls"].values())


def measure_agents() -> list[Fit]:
    """Measures an entry and its agents, over the number of agents."""
    usages = [(float(agents), measure_fleet(agents, 1)) for agents in AGENT_COUNTS]
    over = "agents, one entry"
    return [
        fit_line(
            "entry, share of a core",
            over,
            [(x, usage.entry_share) for x, usage in usages],
        ),
        fit_line("entry, MB", over, [(x, usage.entry_mb) for x, usage in usages]),
        fit_line(
            "agent, share of a core",
            over,
            [(x, usage.agent_share) for x, usage in usages],
        ),
        fit_line("agent, MB", over, [(x, usage.agent_mb) for x, usage in usages]),
        fit_line(
            "envelopes a second",
            over,
            [(x, usage.envelopes_per_s) for x, usage in usages],
        ),
    ]


def measure_entries() -> list[Fit]:
    """Measures entries, agents and store calls, over the number of entries."""
    usages = [(float(entries), measure_fleet(10, entries)) for entries in ENTRY_COUNTS]
    over = "entries, ten agents"
    return [
        fit_line(
            "store calls a second",
            over,
            [(x, usage.store_calls_per_s) for x, usage in usages],
        ),
        fit_line(
            "entry, share of a core",
            over,
            [(x, usage.entry_share) for x, usage in usages],
        ),
        fit_line(
            "agent, share of a core",
            over,
            [(x, usage.agent_share) for x, usage in usages],
        ),
    ]
