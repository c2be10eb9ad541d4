"""Checks that a disabled availability zone starts no task after a few seconds."""

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


ZONE_GRACE_S = 3.0
OBSERVATION_S = 2.0
DISABLE_TICKET = 2
ENABLE_TICKET = 3
LONG_PAYLOADS = make_payloads(240, sleep_ms=600)
LONG_JOB = make_job(SERVICE, LONG_PAYLOADS)


@dataclass(frozen=True, slots=True)
class ZoneFault:
    """A fault started before or after the ticket and ended after the grace period."""

    name: str
    begin_before_ticket: Callable[[Fleet, AgentProcess], None]
    end: Callable[[Fleet, AgentProcess], None]
    begin_after_ticket: Callable[[Fleet, AgentProcess], None]


def do_nothing(fleet: Fleet, agent: AgentProcess) -> None:
    """Leaves the fleet unchanged."""


def refuse_store_calls(fleet: Fleet, agent: AgentProcess) -> None:
    """Makes the store refuse every call."""
    fleet.control(fleet.store_url, down="refuse")


def restore_store(fleet: Fleet, agent: AgentProcess) -> None:
    """Makes the store accept calls again."""
    fleet.control(fleet.store_url, down="")


def partition_from_entries(fleet: Fleet, agent: AgentProcess) -> None:
    """Silences the links between an agent and all entries without closing them."""
    assert agent.proxy is not None
    for entry in fleet.entries:
        assert entry.proxy is not None
        entry.proxy.set_fault(Fault(blackhole=True), agent.host)
        agent.proxy.set_fault(Fault(blackhole=True), entry.host)


def heal_links(fleet: Fleet, agent: AgentProcess) -> None:
    """Removes the faults of all links."""
    for proxy in fleet.proxies():
        proxy.clear_faults()


def freeze_agent(fleet: Fleet, agent: AgentProcess) -> None:
    """Freezes an agent."""
    agent.process.suspend()


def resume_agent(fleet: Fleet, agent: AgentProcess) -> None:
    """Resumes a frozen agent."""
    agent.process.resume()


def lose_write_answer(fleet: Fleet, agent: AgentProcess) -> None:
    """Makes the store lose the answer to the next write."""
    fleet.control(fleet.store_url, lose_answers=1)


ZONE_FAULTS = [
    ZoneFault("no fault", do_nothing, do_nothing, do_nothing),
    ZoneFault(
        "agent cut off from all entries", partition_from_entries, heal_links, do_nothing
    ),
    ZoneFault("agent frozen", freeze_agent, resume_agent, do_nothing),
    ZoneFault(
        "store loses the answer to the write", lose_write_answer, do_nothing, do_nothing
    ),
    ZoneFault(
        "store down after the write", do_nothing, restore_store, refuse_store_calls
    ),
]


class ZoneTest(FleetTestCase):
    def test_no_task_starts_in_a_zone_out_of_service(self) -> None:
        for case in ZONE_FAULTS:
            with self.subTest(case.name):
                self.assert_zone_leaves_and_returns(case)
                self.doCleanups()

    def assert_zone_leaves_and_returns(self, case: ZoneFault) -> None:
        """Checks the starts in a zone that is disabled, under a fault, and enabled."""
        fleet = self.start_fleet(proxied=True)
        operator = fleet.entries[0].caller
        job_id = operator.request_ids(SERVICE, 1)[0]
        agent = find_home(fleet, job_id)
        zone = agent.availability_zone
        with SteadyLoad(fleet) as load:
            fleet.wait_until(lambda: has_start(fleet, agent, 0.0), "work in the zone")
            call = self.start_call(lambda: operator.put_job(job_id, LONG_JOB))
            self.wait_for_starts(fleet, job_id, 1)
            case.begin_before_ticket(fleet, agent)
            ticket = {"availability_zones": {zone: {"in_service": False}}}
            reply = operator.submit_ticket(DISABLE_TICKET, ticket)
            self.assertEqual(200, reply.status, reply)
            case.begin_after_ticket(fleet, agent)
            disabled_from = time.monotonic() + ZONE_GRACE_S
            fleet.wait_until(
                lambda: time.monotonic() > disabled_from, "the grace period to end"
            )
            case.end(fleet, agent)
            observed_until = time.monotonic() + OBSERVATION_S
            fleet.wait_until(
                lambda: load.count_done_tasks_since(observed_until) > 0,
                "work elsewhere",
            )
            enabled_at = time.monotonic()
            self.assertFalse(has_start(fleet, agent, disabled_from))
            ticket = {"availability_zones": {zone: {"in_service": True}}}
            reply = operator.submit_ticket(ENABLE_TICKET, ticket)
            self.assertEqual(200, reply.status, reply)
            fleet.wait_until(
                lambda: has_start(fleet, agent, enabled_at),
                "work in the zone that is enabled again",
                ZONE_GRACE_S,
            )
        print(f"{case.name}: {dict(load.count_outcomes())}")
        self.assert_all_results_or_none(call.result(), LONG_PAYLOADS)
        self.assert_load_consistent(fleet, load)
        self.assert_serves_new_jobs(fleet)


def has_start(fleet: Fleet, agent: AgentProcess, since: float) -> bool:
    """Returns whether a task started at an agent's target after a moment."""
    starts = fleet.read_target_record(agent)["starts"]
    return any(start["at"] > since for start in starts)
