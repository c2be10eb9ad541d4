"""Checks that a job answered as ``not_run`` has not started and never starts."""

from __future__ import annotations

from concurrent.futures import wait
from typing import TYPE_CHECKING
from typing import Any

from tests.integration.fleet_test_case import FleetTestCase
from tests.integration.fleet_test_case import find_home
from tests.integration.fleet_test_case import make_payloads
from tests.standins.caller import make_job
from tests.standins.fleet import SERVICE
from tests.standins.proxy import Fault


if TYPE_CHECKING:
    from tests.standins.caller import Reply
    from tests.standins.fleet import Fleet


PAYLOADS = make_payloads(4, sleep_ms=200)
JOB = make_job(SERVICE, PAYLOADS)
JOB_COUNT = 16
KEY = "register-7"
DELAY_S = 2.0


class NotRunTest(FleetTestCase):
    def assert_refused_jobs_never_start(
        self, fleet: Fleet, replies: dict[str, Reply], body: dict[str, Any] = JOB
    ) -> set[str]:
        """Checks that refused jobs never start and keep their answers if resubmitted.

        Returns:
            The kinds of error of the refused jobs.
        """
        refused = {
            job_id for job_id, reply in replies.items() if reply.outcome == "not_run"
        }
        self.assertTrue(refused, replies)
        for job_id in refused:
            for entry in fleet.entries:
                again = entry.caller.put_job(job_id, body)
                self.assertEqual(replies[job_id].body, again.body)
        self.assert_serves_new_jobs(fleet)
        started = {task.rpartition("/")[0] for task in fleet.count_starts()}
        self.assertEqual(set(), started & refused)
        self.assert_no_task_started_twice(fleet)
        return {replies[job_id].kind for job_id in refused}

    def test_refused_jobs_never_start_under_overload(self) -> None:
        fleet = self.start_fleet(zones=1, slots=2)
        cases: list[tuple[dict[str, int], int, str]] = [
            ({"deadline_ms": 800}, 0, "deadline_before_start"),
            ({"deadline_ms": 800}, 0, "overloaded"),
            ({"deadline_ms": 50}, 0, "deadline_too_short"),
            ({}, JOB_COUNT // 2, "cancelled_before_start"),
        ]
        first, second = fleet.entries
        for fields, cancelled, kind in cases:
            with self.subTest(kind):
                body = {**JOB, **fields}
                job_ids = first.caller.request_ids(SERVICE, JOB_COUNT)
                calls = {
                    job_id: self.executor.submit(first.caller.put_job, job_id, body)
                    for job_id in job_ids
                }
                fleet.wait_until(lambda: bool(fleet.starts()), "a start")
                for job_id in job_ids[:cancelled]:
                    second.caller.cancel_job(job_id)
                replies = {job_id: call.result() for job_id, call in calls.items()}
                self.assertIn(
                    kind, self.assert_refused_jobs_never_start(fleet, replies, body)
                )

    def test_job_cancelled_while_its_entry_is_frozen_never_starts(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        first.process.suspend()
        call = self.start_call(lambda: first.caller.put_job(job_id, JOB))
        self.assertFalse(wait([call], DELAY_S).done)
        reply = second.caller.cancel_job(job_id)
        first.process.resume()
        self.assertEqual(reply.body, call.result().body)
        self.assert_refused_jobs_never_start(fleet, {job_id: reply})

    def test_delayed_duplicate_gets_the_same_answer(self) -> None:
        fleet = self.start_fleet(proxied=True)
        first, second = fleet.entries
        for is_cancelled in (True, False):
            with self.subTest(is_cancelled=is_cancelled):
                job_id = first.caller.request_ids(SERVICE, 1)[0]
                proxy = find_home(fleet, job_id).proxy
                assert proxy is not None
                proxy.set_fault(Fault(delay_s=DELAY_S), first.host)
                call = self.start_call(lambda: first.caller.put_job(job_id, JOB))  # noqa: B023
                fleet.wait_until(
                    lambda: proxy.delayed_chunks > 0,  # noqa: B023
                    "the copy to be delayed",
                )
                if is_cancelled:
                    reply = second.caller.cancel_job(job_id)
                    self.assertEqual("not_run", reply.outcome)
                else:
                    reply = second.caller.put_job(job_id, JOB)
                    self.assert_done(reply, PAYLOADS)
                self.assertEqual(reply.body, call.result().body)
                proxy.clear_faults()
                if is_cancelled:
                    self.assert_refused_jobs_never_start(fleet, {job_id: reply})
                self.assert_no_task_started_twice(fleet)

    def test_store_outage_does_not_refuse_a_key_that_has_run(self) -> None:
        fleet = self.start_fleet(zones=1)
        first, second = fleet.entries
        self.assert_done(first.caller.post_job(JOB, KEY), PAYLOADS)
        fleet.control(fleet.store_url, down="refuse")
        self.assertNotEqual("not_run", second.caller.post_job(JOB, KEY).outcome)

    def test_job_is_not_run_when_its_key_cannot_be_claimed(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        for down in ("refuse", "drop"):
            with self.subTest(down):
                fleet.control(fleet.store_url, down=down)
                before = len(fleet.starts())
                reply = first.caller.post_job(JOB, KEY + down)
                self.assertEqual((503, "not_run"), (reply.status, reply.outcome))
                self.assertIn("Retry-After", reply.headers)
                fleet.control(fleet.store_url, down="")
                self.assertEqual(before, len(fleet.starts()))
                fleet.control(fleet.store_url, lose_answers=1)
                reply = second.caller.post_job(JOB, KEY + down)
                self.assert_done(reply, PAYLOADS)
                fleet.wait_until(
                    lambda: first.caller.post_job(JOB, KEY + down).body == reply.body,  # noqa: B023
                    "the same answer through the entry that had no access to the store",
                )
                self.assertEqual(before + len(PAYLOADS), len(fleet.starts()))
        self.assert_no_task_started_twice(fleet)
