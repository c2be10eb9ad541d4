"""A job's answer is either complete or marked failed, never partial."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from tests.integration.fleet_test_case import FleetTestCase
from tests.integration.fleet_test_case import find_home
from tests.integration.fleet_test_case import find_others
from tests.integration.fleet_test_case import make_payloads
from tests.standins.caller import make_job
from tests.standins.fleet import SERVICE


if TYPE_CHECKING:
    from tests.standins.fleet import Fleet


@dataclass(frozen=True, slots=True)
class BadTask:
    """What one bad task of a job does, and the kind of the answer."""

    name: str
    tasks: int
    fields: dict[str, Any]
    kind: str
    deadline_ms: int = 30_000


BAD_TASKS = [
    BadTask("one of 240 fails", 240, {"fail": 500}, "task_failed"),
    BadTask("bad request", 24, {"fail": 400}, "task_failed"),
    BadTask("truncated body", 24, {"truncate": True}, "task_unknown"),
    BadTask("connection closed", 24, {"close": True}, "task_unknown"),
    BadTask("never answered", 24, {"hang": True}, "deadline_expired", 1500),
]


class BadTaskTest(FleetTestCase):
    def test_one_bad_task(self) -> None:
        fleet = self.start_fleet()
        for row in BAD_TASKS:
            with self.subTest(row.name):
                self.judge_bad_task(fleet, row)
        self.judge_works(fleet)

    def judge_bad_task(self, fleet: Fleet, row: BadTask) -> None:
        """Checks the answer to a job with one bad task."""
        first, second = fleet.entries
        payloads = make_payloads(row.tasks)
        payloads[row.tasks // 2] |= row.fields
        job = make_job(SERVICE, payloads, deadline_ms=row.deadline_ms)
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        reply = first.caller.put_job(job_id, job)
        self.assertEqual((502, "failed"), (reply.status, reply.outcome), reply)
        self.assertEqual(row.kind, reply.kind)
        self.assertNotIn("results", reply.body)
        self.assertEqual(row.tasks, sum(reply.body["error"]["tasks"].values()))
        self.assertEqual(reply.body, second.caller.get_job(job_id).body)
        self.assertEqual(reply.body, second.caller.put_job(job_id, job).body)
        self.judge_starts(fleet)


class PeerTest(FleetTestCase):
    def test_peer_killed_in_mid_job(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        payloads = make_payloads(120, sleep_ms=200)
        job = make_job(SERVICE, payloads)
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.begin(lambda: first.caller.put_job(job_id, job))
        self.wait_for_starts(fleet, job_id, 30)
        find_others(fleet, find_home(fleet, job_id))[0].process.kill()
        reply = call.result()
        self.assertEqual((502, "failed"), (reply.status, reply.outcome), reply)
        self.assertEqual("task_unknown", reply.kind)
        self.assertNotIn("results", reply.body)
        self.assertEqual(reply.body, second.caller.get_job(job_id).body)
        self.judge_works(fleet)
        self.judge_starts(fleet)
