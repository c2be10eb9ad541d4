"""A few seconds after a zone is taken out, no task starts in it."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tests.integration.fleet_test_case import FleetTestCase
from tests.integration.fleet_test_case import find_home
from tests.integration.fleet_test_case import make_payloads
from tests.integration.steady_load import SteadyLoad
from tests.standins.caller import make_job
from tests.standins.fleet import SERVICE
from tests.standins.proxy import Fault


if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.standins.fleet import AgentProcess
    from tests.standins.fleet import Fleet


GRACE_S = 3.0
WATCHED_S = 2.0
OUT_TICKET = 2
IN_TICKET = 3
LONG_PAYLOADS = make_payloads(240, sleep_ms=600)
LONG_JOB = make_job(SERVICE, LONG_PAYLOADS)


@dataclass(frozen=True, slots=True)
class ZoneFault:
    """A fault that begins before or after the ticket and ends after the grace."""

    name: str
    begin: Callable[[Fleet, AgentProcess], None]
    end: Callable[[Fleet, AgentProcess], None]
    follow: Callable[[Fleet, AgentProcess], None]


def do_nothing(fleet: Fleet, agent: AgentProcess) -> None:
    """Leaves the fleet as it is."""


def end_store(fleet: Fleet, agent: AgentProcess) -> None:
    """Lets the store refuse every call."""
    fleet.control(fleet.store_url, down="refuse")


def restore_store(fleet: Fleet, agent: AgentProcess) -> None:
    """Brings the store back."""
    fleet.control(fleet.store_url, down="")


def cut_from_entries(fleet: Fleet, agent: AgentProcess) -> None:
    """Lets nothing pass between an agent and the entries, and no end either."""
    assert agent.proxy is not None
    for entry in fleet.entries:
        assert entry.proxy is not None
        entry.proxy.set_fault(Fault(blackhole=True), agent.host)
        agent.proxy.set_fault(Fault(blackhole=True), entry.host)


def heal(fleet: Fleet, agent: AgentProcess) -> None:
    """Ends all faults of the network."""
    for proxy in fleet.proxies():
        proxy.clear_faults()


def freeze(fleet: Fleet, agent: AgentProcess) -> None:
    """Freezes an agent."""
    agent.process.suspend()


def resume(fleet: Fleet, agent: AgentProcess) -> None:
    """Continues an agent."""
    agent.process.resume()


def lose_answer(fleet: Fleet, agent: AgentProcess) -> None:
    """Makes the store lose the answer to the next write."""
    fleet.control(fleet.store_url, lose_answers=1)


ZONE_FAULTS = [
    ZoneFault("no fault", do_nothing, do_nothing, do_nothing),
    ZoneFault("agent cut off from all entries", cut_from_entries, heal, do_nothing),
    ZoneFault("agent frozen", freeze, resume, do_nothing),
    ZoneFault(
        "store loses the answer to the write", lose_answer, do_nothing, do_nothing
    ),
    ZoneFault("store down after the write", do_nothing, restore_store, end_store),
]


class ZoneTest(FleetTestCase):
    def test_zone_leaves_and_returns_under_load(self) -> None:
        for row in ZONE_FAULTS:
            with self.subTest(row.name):
                self.judge_zone(row)
                self.doCleanups()

    def judge_zone(self, row: ZoneFault) -> None:
        """Takes a zone out under load and a fault, then back in."""
        fleet = self.start_fleet(proxied=True)
        operator = fleet.entries[0].caller
        job_id = operator.request_ids(SERVICE, 1)[0]
        agent = find_home(fleet, job_id)
        zone = agent.availability_zone
        with SteadyLoad(fleet) as load:
            fleet.wait_until(lambda: has_start(fleet, agent, 0.0), "work in the zone")
            call = self.begin(lambda: operator.put_job(job_id, LONG_JOB))
            self.wait_for_starts(fleet, job_id, 1)
            row.begin(fleet, agent)
            ticket = {"availability_zones": {zone: {"in_service": False}}}
            reply = operator.submit_ticket(OUT_TICKET, ticket)
            self.assertEqual(200, reply.status, reply)
            row.follow(fleet, agent)
            out_from = time.monotonic() + GRACE_S
            fleet.wait_until(lambda: time.monotonic() > out_from, "the grace to end")
            row.end(fleet, agent)
            watched_until = time.monotonic() + WATCHED_S
            fleet.wait_until(
                lambda: load.count_done_since(watched_until) > 0, "work elsewhere"
            )
            returns_at = time.monotonic()
            self.assertFalse(has_start(fleet, agent, out_from))
            ticket = {"availability_zones": {zone: {"in_service": True}}}
            reply = operator.submit_ticket(IN_TICKET, ticket)
            self.assertEqual(200, reply.status, reply)
            fleet.wait_until(
                lambda: has_start(fleet, agent, returns_at),
                "work in the zone that is back",
                GRACE_S,
            )
        print(f"{row.name}: {dict(load.count_outcomes())}")
        self.judge_whole_or_not_done(call.result(), LONG_PAYLOADS)
        self.judge_load(fleet, load)
        self.judge_works(fleet)


def has_start(fleet: Fleet, agent: AgentProcess, since: float) -> bool:
    """Returns whether a task started at an agent's target after a moment."""
    starts = fleet.read_target_record(agent)["starts"]
    return any(start["at"] > since for start in starts)
