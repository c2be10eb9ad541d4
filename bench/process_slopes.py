"""What real processes use, over their number: light agents without targets."""

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
from bench.fleet import ENVELOPES
from bench.fleet import SLOTS
from bench.fleet import read_use


NO_TARGET = "http://127.0.0.1:9"
SETTLE_S = 5.0
WATCHED_S = 10.0
AGENTS_BY_FLEET = (10, 40, 80, 120)
ENTRIES_BY_FLEET = (1, 2, 4, 8)
START_TIMEOUT_S = 120.0
HOSTS = 200
AGENT_NAME = re.compile(r"light-\d+")


class LightFleet(Fleet):
    """A store, entries, and agents that share one address without a target."""

    def __init__(self, agents: int, entries: int) -> None:
        super().__init__(zones=3, agents_per_zone=0, entries=entries)
        self.light_agents = agents

    def _start_agents(self) -> None:
        for number in range(self.light_agents):
            link = pick_address(f"127.0.1.{number % HOSTS + 1}")
            self.start_light(number, link)

    def start_light(self, number: int, link: str) -> ManagedProcess:
        """Starts one agent."""
        return self._run(
            f"light-{number}",
            *("jackdawkeel", "agent", "--link", link, "--store", self.store_url),
            *("--availability-zone", self.zones[number % 3]),
            *("--rack", f"rack-{number // 3}", "--target", NO_TARGET),
            *("--services", SERVICE, "--slots", str(SLOTS)),
        )

    def is_fully_connected(self) -> bool:
        """Whether the first entry hears every agent."""
        body = self.entries[0].caller.get_status().body
        return len(body["agents"]) >= self.light_agents

    def entry_and_agent_processes(self) -> list[ManagedProcess]:
        """Returns the entries and the light agents."""
        lights = [one for one in self.processes if AGENT_NAME.fullmatch(one.name)]
        return [*(entry.process for entry in self.entries), *lights]


@dataclass(frozen=True, slots=True)
class Use:
    """What the processes of one fleet used.

    Attributes:
        entry_share: Processor of the first entry as a share of a core.
        entry_mb: Its resident memory in megabytes.
        agent_share: Mean processor of the agents as a share of a core.
        agent_mb: Mean resident memory of the agents in megabytes.
        envelopes_per_s: Envelopes that all processes sent, each second.
        store_calls_per_s: Calls to the store, each second.
    """

    entry_share: float
    entry_mb: float
    agent_share: float
    agent_mb: float
    envelopes_per_s: float
    store_calls_per_s: float


def watch_fleet(agents: int, entries: int) -> Use:
    """Runs an idle fleet and returns what it used."""
    with ExitStack() as stack:
        fleet = stack.enter_context(LightFleet(agents, entries))
        time.sleep(SETTLE_S)
        processes = fleet.entry_and_agent_processes()
        before = [read_use(one) for one in processes]
        envelopes, calls = count_envelopes(fleet), count_store_calls(fleet)
        began = time.monotonic()
        time.sleep(WATCHED_S)
        watched_s = time.monotonic() - began
        after = [read_use(one) for one in processes]
        envelopes = count_envelopes(fleet) - envelopes
        calls = count_store_calls(fleet) - calls
        shares = [
            (end.processor_s - start.processor_s) / watched_s
            for start, end in zip(before, after, strict=True)
        ]
        light_shares = shares[entries:]
        light_mb = [one.resident_mb for one in after[entries:]]
        return Use(
            shares[0],
            after[0].resident_mb,
            sum(light_shares) / len(light_shares),
            sum(light_mb) / len(light_mb),
            envelopes / watched_s,
            calls / watched_s,
        )


def count_envelopes(fleet: Fleet) -> int:
    """Returns the envelopes that all processes have sent."""
    counts: dict[str, int] = {}
    for entry in fleet.entries:
        url = f"{entry.caller.url}/v1/metrics"
        text = fleet.http.request("GET", url).data.decode()
        for incarnation, count in ENVELOPES.findall(text):
            counts[incarnation] = max(counts.get(incarnation, 0), int(count))
    return sum(counts.values())


def count_store_calls(fleet: Fleet) -> int:
    """Returns the calls that the store has counted."""
    return sum(fleet.read_store_record()["calls"].values())


def measure_agents() -> list[Fit]:
    """Measures an entry and agents over the number of agents."""
    uses = [(float(agents), watch_fleet(agents, 1)) for agents in AGENTS_BY_FLEET]
    over = "agents, one entry"
    return [
        fit_line("entry, share of a core", over, [(x, u.entry_share) for x, u in uses]),
        fit_line("entry, MB", over, [(x, u.entry_mb) for x, u in uses]),
        fit_line("agent, share of a core", over, [(x, u.agent_share) for x, u in uses]),
        fit_line("agent, MB", over, [(x, u.agent_mb) for x, u in uses]),
        fit_line("envelopes a second", over, [(x, u.envelopes_per_s) for x, u in uses]),
    ]


def measure_entries() -> list[Fit]:
    """Measures entries, and their calls to the store, over their number."""
    uses = [(float(entries), watch_fleet(10, entries)) for entries in ENTRIES_BY_FLEET]
    over = "entries, ten agents"
    return [
        fit_line(
            "store calls a second", over, [(x, u.store_calls_per_s) for x, u in uses]
        ),
        fit_line("entry, share of a core", over, [(x, u.entry_share) for x, u in uses]),
        fit_line("agent, share of a core", over, [(x, u.agent_share) for x, u in uses]),
    ]
