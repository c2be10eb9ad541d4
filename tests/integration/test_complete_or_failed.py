"""Checks that an answer to a job is either complete or failed, never partial."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from tests.integration.fleet_test_case import FleetTestCase
from tests.integration.fleet_test_case import find_home
from tests.integration.fleet_test_case import find_peers
from tests.integration.fleet_test_case import make_payloads
from tests.standins.caller import make_job
from tests.standins.fleet import SERVICE


if TYPE_CHECKING:
    from tests.standins.fleet import Fleet


@dataclass(frozen=True, slots=True)
class FaultyTask:
    """Fault of one task in a job, and the kind of error that the job must get."""

    name: str
    tasks: int
    fields: dict[str, Any]
    kind: str
    deadline_ms: int = 30_000


FAULTY_TASKS = [
    FaultyTask("one of 240 fails", 240, {"fail": 500}, "task_failed"),
    FaultyTask("bad request", 24, {"fail": 400}, "task_failed"),
    FaultyTask("truncated body", 24, {"truncate": True}, "task_unknown"),
    FaultyTask("connection closed", 24, {"close": True}, "task_unknown"),
    FaultyTask("never answered", 24, {"hang": True}, "deadline_expired", 1500),
]


class FaultyTaskTest(FleetTestCase):
    def test_one_faulty_task_fails_the_whole_job(self) -> None:
        fleet = self.start_fleet()
        for case in FAULTY_TASKS:
            with self.subTest(case.name):
                self.assert_job_fails(fleet, case)
        self.assert_serves_new_jobs(fleet)

    def assert_job_fails(self, fleet: Fleet, case: FaultyTask) -> None:
        """Checks the answer to a job with one faulty task."""
        first, second = fleet.entries
        payloads = make_payloads(case.tasks)
        payloads[case.tasks // 2] |= case.fields
        job = make_job(SERVICE, payloads, deadline_ms=case.deadline_ms)
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        reply = first.caller.put_job(job_id, job)
        self.assertEqual((502, "failed"), (reply.status, reply.outcome), reply)
        self.assertEqual(case.kind, reply.kind)
        self.assertNotIn("results", reply.body)
        self.assertEqual(case.tasks, sum(reply.body["error"]["tasks"].values()))
        self.assertEqual(reply.body, second.caller.get_job(job_id).body)
        self.assertEqual(reply.body, second.caller.put_job(job_id, job).body)
        self.assert_no_task_started_twice(fleet)


class PeerTest(FleetTestCase):
    def test_job_fails_when_a_peer_is_killed(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        payloads = make_payloads(120, sleep_ms=200)
        job = make_job(SERVICE, payloads)
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.start_call(lambda: first.caller.put_job(job_id, job))
        self.wait_for_starts(fleet, job_id, 30)
        find_peers(fleet, find_home(fleet, job_id))[0].process.kill()
        reply = call.result()
        self.assertEqual((502, "failed"), (reply.status, reply.outcome), reply)
        self.assertEqual("task_unknown", reply.kind)
        self.assertNotIn("results", reply.body)
        self.assertEqual(reply.body, second.caller.get_job(job_id).body)
        self.assert_serves_new_jobs(fleet)
        self.assert_no_task_started_twice(fleet)
