"""Checks that accepted tickets apply everywhere within seconds and never revert."""

from __future__ import annotations

import json
from itertools import pairwise
from typing import TYPE_CHECKING
from typing import Any

from tests.integration.fleet_test_case import FleetTestCase
from tests.integration.fleet_test_case import make_payloads
from tests.standins.caller import make_job
from tests.standins.fleet import SERVICE
from tests.standins.proxy import Fault


if TYPE_CHECKING:
    from tests.standins.fleet import AgentProcess
    from tests.standins.fleet import EntryProcess
    from tests.standins.fleet import Fleet


CONFIGURATION_KEY = "/jackdawkeel/configuration"
IN_FORCE_TIMEOUT_S = 5.0
ADDED_SERVICE = "monthly-counts"
STORE_DELAY_MS = 4000
CONCURRENT_TICKETS = range(2, 22)
TEAMS = ["statistics", "auditors"]


def list_configurations(fleet: Fleet) -> list[dict[str, Any]]:
    """Returns all configurations written to the store, in order."""
    writes = fleet.read_store_record()["writes"]
    return [
        json.loads(write["value"])
        for write in writes
        if write["key"] == CONFIGURATION_KEY
    ]


def set_partition(
    agent: AgentProcess, entries: list[EntryProcess], *, silent: bool
) -> None:
    """Silences the links between an agent and entries, or restores them."""
    for entry in entries:
        assert agent.proxy is not None and entry.proxy is not None
        entry.proxy.set_fault(Fault(blackhole=silent), agent.host)
        agent.proxy.set_fault(Fault(blackhole=silent), entry.host)


def is_in_force(
    fleet: Fleet, number: int, entries: list[EntryProcess] | None = None
) -> bool:
    """Returns whether entries (default: all) report a ticket in force on all agents."""
    for entry in entries or fleet.entries:
        reply = entry.caller.get_ticket(number)
        if reply.status != 200 or len(reply.body["in_force"]) != len(fleet.agents):
            return False
    return True


class TicketTest(FleetTestCase):
    def assert_tickets_never_decrease(self, fleet: Fleet) -> None:
        """Checks that no write gave a team a lower ticket number."""
        for older, newer in pairwise(list_configurations(fleet)):
            for name, (ticket, _) in older["teams"].items():
                self.assertLessEqual(ticket, newer["teams"][name][0])

    def test_highest_of_concurrent_tickets_wins(self) -> None:
        fleet = self.start_fleet()
        calls = {
            number: self.start_call(
                lambda number=number: fleet.entries[  # type: ignore[misc]
                    number % 2
                ].caller.submit_ticket(number, make_ticket(number))
            )
            for number in CONCURRENT_TICKETS
        }
        accepted = []
        for number, call in calls.items():
            reply = call.result()
            if reply.status == 200:
                accepted.append(number)
            else:
                self.assertEqual((409, "superseded"), (reply.status, reply.kind))
        last = max(CONCURRENT_TICKETS)
        self.assertIn(last, accepted)
        self.assert_tickets_never_decrease(fleet)
        teams = list_configurations(fleet)[-1]["teams"]
        self.assertEqual(
            {team: [last, {"quota": float(last)}] for team in TEAMS}, teams
        )
        fleet.wait_until(
            lambda: is_in_force(fleet, last), "the last ticket", IN_FORCE_TIMEOUT_S
        )
        for entry in fleet.entries:
            lower = entry.caller.submit_ticket(last - 1, make_ticket(last - 1))
            self.assertEqual((409, "superseded"), (lower.status, lower.kind))
            self.assertIn(f"ticket {last} ", lower.body["error"]["message"])
            again = entry.caller.submit_ticket(last, make_ticket(last))
            self.assertEqual(200, again.status, again)
        self.assertEqual(teams, list_configurations(fleet)[-1]["teams"])

    def test_ticket_applies_despite_lost_write_answer_and_silent_watches(self) -> None:
        fleet = self.start_fleet()
        fleet.control(fleet.store_url, lose_answers=1, silence_watches=True)
        reply = fleet.entries[0].caller.submit_ticket(2, make_ticket(2))
        self.assertEqual(200, reply.status, reply)
        fleet.wait_until(
            lambda: is_in_force(fleet, 2), "the ticket", IN_FORCE_TIMEOUT_S
        )
        fleet.control(fleet.store_url, compact=0, silence_watches=True)
        reply = fleet.entries[1].caller.submit_ticket(3, make_ticket(3))
        self.assertEqual(200, reply.status, reply)
        fleet.wait_until(
            lambda: is_in_force(fleet, 3), "the ticket", IN_FORCE_TIMEOUT_S
        )
        self.assert_tickets_never_decrease(fleet)

    def test_partitioned_agent_catches_up_through_another_entry(self) -> None:
        fleet = self.start_fleet(proxied=True)
        first, second = fleet.entries
        agent = fleet.agents[0]
        set_partition(agent, fleet.entries, silent=True)
        reply = first.caller.submit_ticket(2, make_ticket(2))
        self.assertEqual(200, reply.status, reply)
        fleet.wait_until(
            lambda: len(first.caller.get_ticket(2).body["not_heard"]) == 1,
            "the agent to be reported as not heard",
        )
        set_partition(agent, [second], silent=False)
        fleet.wait_until(
            lambda: is_in_force(fleet, 2), "the ticket", IN_FORCE_TIMEOUT_S
        )
        second.process.kill()
        set_partition(agent, [first], silent=False)
        reply = first.caller.submit_ticket(3, make_ticket(3))
        self.assertEqual(200, reply.status, reply)
        fleet.wait_until(
            lambda: is_in_force(fleet, 3, [first]), "the ticket", IN_FORCE_TIMEOUT_S
        )
        self.assert_tickets_never_decrease(fleet)

    def test_entry_starts_during_a_store_outage(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        fleet.control(fleet.store_url, down="refuse")
        second.process.restart()
        self.assert_done(
            first.caller.post_job(make_job(SERVICE, make_payloads(24))),
            make_payloads(24),
        )
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        url = f"{second.caller.url}/v1/metrics"
        fleet.wait_until(lambda: fleet.responds_ok(url), "the entry to listen")
        reply = second.caller.put_job(job_id, make_job(SERVICE, make_payloads(24)))
        self.assert_all_results_or_none(reply, make_payloads(24))
        if reply.outcome == "not_run":
            self.assertEqual("not_run", first.caller.get_job(job_id).outcome)
        fleet.control(fleet.store_url, down="")
        fleet.wait_until(fleet.is_healthy, "the entry to be ready", IN_FORCE_TIMEOUT_S)
        self.assert_serves_new_jobs(fleet)
        self.assert_no_task_started_twice(fleet)


class OutdatedEntryTest(FleetTestCase):
    def test_entry_with_outdated_configuration_does_not_answer_not_run(self) -> None:
        fleet = self.start_fleet(proxied=True, services=f"{SERVICE},{ADDED_SERVICE}")
        first, second = fleet.entries
        fleet.control(fleet.store_url, silence_watches=True)
        for entry, other in ((first, second), (second, first)):
            assert entry.proxy is not None
            entry.proxy.set_fault(Fault(blackhole=True), other.host)
        ticket: dict[str, Any] = {"services": {ADDED_SERVICE: {}}}
        self.assertEqual(200, first.caller.submit_ticket(2, ticket).status)
        fleet.control(fleet.store_url, delay_ms=STORE_DELAY_MS)
        job = make_job(ADDED_SERVICE, make_payloads(24))
        job_id = first.caller.request_ids(ADDED_SERVICE, 1)[0]
        self.assert_done(first.caller.put_job(job_id, job), make_payloads(24))
        reply = second.caller.put_job(job_id, job)
        self.assertNotEqual("not_run", reply.outcome, reply)
        self.assert_all_results_or_none(reply, make_payloads(24))


def make_ticket(number: int) -> dict[str, Any]:
    """Returns a ticket that sets the quota of each team to the ticket number."""
    return {"teams": {team: {"quota": number} for team in TEAMS}}
