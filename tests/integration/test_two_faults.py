"""Tests pairs of concurrent faults and store outages under steady load."""

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
PAIR_COUNT = 6
FAULT_DURATION_S = 2.5
CALLER_TIMEOUT_S = 1.5
OUTAGE_DURATION_S = 4.0
STORE_DELAY_MS = 1500
LINK_DELAY_S = 0.1


@dataclass(frozen=True, slots=True)
class FleetFault:
    """A fault of a running fleet.

    Attributes:
        name: Name of the fault.
        begin: Starts the fault.
        end: Ends the fault, except for faults of links, which the test heals.
    """

    name: str
    begin: Callable[[Fleet], object]
    end: Callable[[Fleet], object] = lambda _fleet: None


def set_link_fault(fleet: Fleet, fault: Fault) -> None:
    """Sets a fault on all connections to the second agent."""
    proxy = fleet.agents[1].proxy
    assert proxy is not None
    proxy.set_fault(fault)


def silence_open_connections(fleet: Fleet) -> None:
    """Silences all open connections permanently; new connections work."""
    for proxy in fleet.proxies():
        proxy.blackhole_open_connections()


def restart_after_exit(fleet: Fleet) -> None:
    """Waits until the third agent has exited and starts it again."""
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
        restart_after_exit,
    ),
    FleetFault("links silent", silence_open_connections),
    FleetFault(
        "links cut", lambda fleet: set_link_fault(fleet, Fault(disconnect=True))
    ),
    FleetFault(
        "links slow", lambda fleet: set_link_fault(fleet, Fault(delay_s=LINK_DELAY_S))
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
    {"delay_ms": STORE_DELAY_MS},
]


class TwoFaultsTest(FleetTestCase):
    def test_answers_stay_consistent_under_pairs_of_faults(self) -> None:
        pairs = random.Random(SEED).sample(list(combinations(FAULTS, 2)), PAIR_COUNT)
        fleet = self.start_fleet(proxied=True)
        with SteadyLoad(fleet, seed=SEED, timeout_s=CALLER_TIMEOUT_S) as load:
            for pair in pairs:
                names = " and ".join(fault.name for fault in pair)
                with self.subTest(names):
                    began_at = time.monotonic()
                    for fault in pair:
                        fault.begin(fleet)
                    ends_at = began_at + FAULT_DURATION_S
                    fleet.wait_until(lambda: time.monotonic() > ends_at, "the end")  # noqa: B023
                    print(
                        f"{names}: {load.count_done_tasks_since(began_at)} tasks done"
                    )
                    for proxy in fleet.proxies():
                        proxy.clear_faults()
                    for fault in pair:
                        fault.end(fleet)
                    self.assert_serves_new_jobs(fleet)
                    fleet.wait_until(
                        fleet.is_fully_connected, "every entry to list every agent"
                    )
        print(f"two faults: {dict(load.count_outcomes())}")
        self.assert_load_consistent(fleet, load)

    def test_jobs_are_done_during_store_outages(self) -> None:
        fleet = self.start_fleet()
        operator = fleet.entries[0].caller
        with SteadyLoad(fleet) as load:
            for number, outage in enumerate(OUTAGES, FIRST_TICKET + 1):
                with self.subTest(outage):
                    quota = {"teams": {"health": {"quota": 1000 + number}}}
                    self.assertEqual(200, operator.submit_ticket(number, quota).status)
                    fleet.control(fleet.store_url, **outage)
                    began_at = time.monotonic()
                    while time.monotonic() < began_at + OUTAGE_DURATION_S:
                        load.wait_for_done_job(timeout_s=2.0)
                    print(
                        f"{outage}: {load.count_done_tasks_since(began_at)} tasks done"
                    )
                    fleet.control(fleet.store_url, down="", delay_ms=0)
                    reply = fleet.entries[1].caller.get_ticket(number)
                    self.assertEqual(200, reply.status, reply)
        self.assertEqual({"done"}, set(load.count_outcomes()), load.count_outcomes())
        self.assert_load_consistent(fleet, load)
