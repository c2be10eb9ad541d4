"""What was answered "not run" has not run, and never will."""

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
JOBS = 16
KEY = "register-7"
LATE_S = 2.0


class NotRunTest(FleetTestCase):
    def judge(
        self, fleet: Fleet, replies: dict[str, Reply], body: dict[str, Any] = JOB
    ) -> set[str]:
        """Checks that no id that was refused starts, also when it is resent."""
        refused = {
            job_id for job_id, reply in replies.items() if reply.outcome == "not_run"
        }
        self.assertTrue(refused, replies)
        for job_id in refused:
            for entry in fleet.entries:
                again = entry.caller.put_job(job_id, body)
                self.assertEqual(replies[job_id].body, again.body)
        self.judge_works(fleet)
        started = {task.rpartition("/")[0] for task in fleet.count_starts()}
        self.assertEqual(set(), started & refused)
        self.judge_starts(fleet)
        return {replies[job_id].kind for job_id in refused}

    def test_more_jobs_than_the_target_can_run(self) -> None:
        fleet = self.start_fleet(zones=1, slots=2)
        rows: list[tuple[dict[str, int], int, str]] = [
            ({"deadline_ms": 800}, 0, "deadline_before_start"),
            ({"deadline_ms": 800}, 0, "overloaded"),
            ({"deadline_ms": 50}, 0, "deadline_too_short"),
            ({}, JOBS // 2, "cancelled_before_start"),
        ]
        first, second = fleet.entries
        for fields, cancelled, kind in rows:
            with self.subTest(kind):
                body = {**JOB, **fields}
                job_ids = first.caller.request_ids(SERVICE, JOBS)
                calls = {
                    job_id: self.threads.submit(first.caller.put_job, job_id, body)
                    for job_id in job_ids
                }
                fleet.wait_until(lambda: bool(fleet.starts()), "a start")
                for job_id in job_ids[:cancelled]:
                    second.caller.cancel_job(job_id)
                replies = {job_id: call.result() for job_id, call in calls.items()}
                self.assertIn(kind, self.judge(fleet, replies, body))

    def test_cancelled_while_a_frozen_entry_holds_the_request(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        first.process.suspend()
        call = self.begin(lambda: first.caller.put_job(job_id, JOB))
        self.assertFalse(wait([call], LATE_S).done)
        reply = second.caller.cancel_job(job_id)
        first.process.resume()
        self.assertEqual(reply.body, call.result().body)
        self.judge(fleet, {job_id: reply})

    def test_copy_that_is_late(self) -> None:
        fleet = self.start_fleet(proxied=True)
        first, second = fleet.entries
        for is_cancelled in (True, False):
            with self.subTest(is_cancelled=is_cancelled):
                job_id = first.caller.request_ids(SERVICE, 1)[0]
                proxy = find_home(fleet, job_id).proxy
                assert proxy is not None
                proxy.set_fault(Fault(delay_s=LATE_S), first.host)
                call = self.begin(lambda: first.caller.put_job(job_id, JOB))  # noqa: B023
                fleet.wait_until(
                    lambda: proxy.delayed_chunks > 0,  # noqa: B023
                    "the copy to be delayed",
                )
                if is_cancelled:
                    reply = second.caller.cancel_job(job_id)
                    self.assertEqual("not_run", reply.outcome)
                else:
                    reply = second.caller.put_job(job_id, JOB)
                    self.judge_done(reply, PAYLOADS)
                self.assertEqual(reply.body, call.result().body)
                proxy.clear_faults()
                if is_cancelled:
                    self.judge(fleet, {job_id: reply})
                self.judge_starts(fleet)

    def test_store_is_down_for_a_key_that_has_run(self) -> None:
        fleet = self.start_fleet(zones=1)
        first, second = fleet.entries
        self.judge_done(first.caller.post_job(JOB, KEY), PAYLOADS)
        fleet.control(fleet.store_url, down="refuse")
        self.assertNotEqual("not_run", second.caller.post_job(JOB, KEY).outcome)

    def test_store_is_down_for_the_claim_of_a_key(self) -> None:
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
                self.judge_done(reply, PAYLOADS)
                fleet.wait_until(
                    lambda: first.caller.post_job(JOB, KEY + down).body == reply.body,  # noqa: B023
                    "the same answer through the entry that found the store down",
                )
                self.assertEqual(before + len(PAYLOADS), len(fleet.starts()))
        self.judge_starts(fleet)
