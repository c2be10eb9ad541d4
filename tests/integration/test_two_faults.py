"""Two faults at once under steady load, and store outages."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from itertools import combinations
from typing import TYPE_CHECKING
from typing import Any

from tests.integration.fleet_test_case import FleetTestCase
from tests.integration.steady_load import SteadyLoad
from tests.standins.fleet import FIRST_TICKET
from tests.standins.proxy import Fault


if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.standins.fleet import Fleet


SEED = 4
PAIRS = 6
FAULT_S = 2.5
CALLER_TIMEOUT_S = 1.5
OUTAGE_S = 4.0
SLOW_MS = 1500
DELAY_S = 0.1


@dataclass(frozen=True, slots=True)
class FleetFault:
    """A fault of a running fleet.

    Attributes:
        name: Name of the fault.
        begin: Begins it.
        end: Ends it; links are healed anyway.
    """

    name: str
    begin: Callable[[Fleet], object]
    end: Callable[[Fleet], object] = lambda _fleet: None


def set_link_fault(fleet: Fleet, fault: Fault) -> None:
    """Sets a fault on all connections to the second agent."""
    proxy = fleet.agents[1].proxy
    assert proxy is not None
    proxy.set_fault(fault)


def silence_links(fleet: Fleet) -> None:
    """Makes all present connections go silent for good."""
    for proxy in fleet.proxies():
        proxy.blackhole_open_connections()


def start_ended(fleet: Fleet) -> None:
    """Starts the third agent again once it has ended by itself."""
    fleet.agents[2].process.wait()
    fleet.agents[2].process.start()


FAULTS = [
    FleetFault(
        "entry killed",
        lambda fleet: fleet.entries[0].process.kill(),
        lambda fleet: fleet.entries[0].process.start(),
    ),
    FleetFault(
        "entry frozen",
        lambda fleet: fleet.entries[1].process.suspend(),
        lambda fleet: fleet.entries[1].process.resume(),
    ),
    FleetFault(
        "agent killed",
        lambda fleet: fleet.agents[0].process.kill(),
        lambda fleet: fleet.agents[0].process.start(),
    ),
    FleetFault(
        "agent frozen",
        lambda fleet: fleet.agents[1].process.suspend(),
        lambda fleet: fleet.agents[1].process.resume(),
    ),
    FleetFault(
        "agent terminated",
        lambda fleet: fleet.agents[2].process.terminate(),
        start_ended,
    ),
    FleetFault("links silent", silence_links),
    FleetFault(
        "links cut", lambda fleet: set_link_fault(fleet, Fault(disconnect=True))
    ),
    FleetFault(
        "links slow", lambda fleet: set_link_fault(fleet, Fault(delay_s=DELAY_S))
    ),
    FleetFault(
        "target fails everything",
        lambda fleet: fleet.control(fleet.agents[1].target.url, fail_all=True),
        lambda fleet: fleet.control(fleet.agents[1].target.url, fail_all=False),
    ),
    FleetFault(
        "store down",
        lambda fleet: fleet.control(fleet.store_url, down="refuse"),
        lambda fleet: fleet.control(fleet.store_url, down=""),
    ),
]
OUTAGES: list[dict[str, Any]] = [
    {"down": "refuse"},
    {"down": "drop"},
    {"delay_ms": SLOW_MS},
]


class TwoFaultsTest(FleetTestCase):
    def test_pairs_of_faults_under_load(self) -> None:
        pairs = random.Random(SEED).sample(list(combinations(FAULTS, 2)), PAIRS)
        fleet = self.start_fleet(proxied=True)
        with SteadyLoad(fleet, seed=SEED, timeout_s=CALLER_TIMEOUT_S) as load:
            for pair in pairs:
                names = " and ".join(fault.name for fault in pair)
                with self.subTest(names):
                    began_at = time.monotonic()
                    for fault in pair:
                        fault.begin(fleet)
                    ends_at = began_at + FAULT_S
                    fleet.wait_until(lambda: time.monotonic() > ends_at, "the end")  # noqa: B023
                    print(f"{names}: {load.count_done_since(began_at)} tasks done")
                    for proxy in fleet.proxies():
                        proxy.clear_faults()
                    for fault in pair:
                        fault.end(fleet)
                    self.judge_works(fleet)
                    fleet.wait_until(
                        fleet.is_fully_connected, "every agent to be heard"
                    )
        print(f"two faults: {dict(load.count_outcomes())}")
        self.judge_load(fleet, load)

    def test_store_outages_under_load(self) -> None:
        fleet = self.start_fleet()
        operator = fleet.entries[0].caller
        with SteadyLoad(fleet) as load:
            for number, outage in enumerate(OUTAGES, FIRST_TICKET + 1):
                with self.subTest(outage):
                    quota = {"teams": {"health": {"quota": 1000 + number}}}
                    self.assertEqual(200, operator.submit_ticket(number, quota).status)
                    fleet.control(fleet.store_url, **outage)
                    began_at = time.monotonic()
                    while time.monotonic() < began_at + OUTAGE_S:
                        load.wait_for_work(timeout_s=2.0)
                    print(f"{outage}: {load.count_done_since(began_at)} tasks done")
                    fleet.control(fleet.store_url, down="", delay_ms=0)
                    reply = fleet.entries[1].caller.get_ticket(number)
                    self.assertEqual(200, reply.status, reply)
        self.assertEqual({"done"}, set(load.count_outcomes()), load.count_outcomes())
        self.judge_load(fleet, load)
