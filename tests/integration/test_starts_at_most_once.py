"""Checks that each task of a job starts at most once."""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from tests.integration.fleet_test_case import FleetTestCase
from tests.integration.fleet_test_case import find_home
from tests.integration.fleet_test_case import find_peers
from tests.integration.fleet_test_case import make_payloads
from tests.standins.caller import make_job
from tests.standins.fleet import SERVICE
from tests.standins.proxy import NO_FAULT
from tests.standins.proxy import Fault


if TYPE_CHECKING:
    from tests.standins.caller import Caller


TASKS = 120
PAYLOADS = make_payloads(TASKS, sleep_ms=200)
JOB = make_job(SERVICE, PAYLOADS)
DELAY_S = 3.0
JOB_ID_COUNT = 64


class EntryTest(FleetTestCase):
    def test_concurrent_duplicates_through_both_entries_run_once(self) -> None:
        fleet = self.start_fleet()
        job_id = fleet.entries[0].caller.request_ids(SERVICE, 1)[0]
        calls = [
            self.start_call(lambda entry=entry: entry.caller.put_job(job_id, JOB))  # type: ignore[misc]
            for entry in fleet.entries * 3
        ]
        replies = [call.result() for call in calls]
        for reply in replies:
            self.assert_done(reply, PAYLOADS)
        self.assertEqual(TASKS, len(fleet.starts()))
        self.assert_no_task_started_twice(fleet)

    def test_resubmission_after_an_entry_is_killed_runs_once(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.start_call(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 10)
        first.process.kill()
        with self.assertRaises(HTTPError):
            call.result()
        reply = second.caller.put_job(job_id, JOB)
        self.assert_done(reply, PAYLOADS)
        self.assertEqual(TASKS, len(fleet.starts()))
        self.assert_no_task_started_twice(fleet)


class HomeTest(FleetTestCase):
    def test_outcome_is_unknown_when_the_home_is_killed(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.start_call(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 10)
        find_home(fleet, job_id).process.kill()
        again = self.start_call(lambda: second.caller.put_job(job_id, JOB))
        for reply in (call.result(), again.result()):
            self.assertEqual((504, "unknown"), (reply.status, reply.outcome), reply)
            self.assert_all_results_or_none(reply, PAYLOADS)
        self.assert_serves_new_jobs(fleet)
        self.assert_no_task_started_twice(fleet)

    def test_outcome_is_unknown_when_the_home_restarts_on_the_same_address(
        self,
    ) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.start_call(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 10)
        find_home(fleet, job_id).process.restart()
        for reply in (
            self.submit_until_final(call.result(), first.caller, job_id, JOB),
            self.submit_until_final(
                second.caller.put_job(job_id, JOB), second.caller, job_id, JOB
            ),
        ):
            self.assertEqual((504, "unknown"), (reply.status, reply.outcome), reply)
            self.assertEqual("home_gone", reply.kind)
        fleet.wait_until(fleet.is_fully_connected, "every entry to list every agent")
        self.assert_serves_new_jobs(fleet)
        self.assert_no_task_started_twice(fleet)

    def test_job_completes_after_the_home_was_frozen_past_every_timeout(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.start_call(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 10)
        home = find_home(fleet, job_id)
        home.process.suspend()
        again = self.start_call(lambda: second.caller.put_job(job_id, JOB))
        for reply in (call.result(), again.result()):
            self.assertEqual((504, "unknown"), (reply.status, reply.outcome), reply)
            self.assertFalse(reply.body["final"])
        home.process.resume()
        reply = second.caller.put_job(job_id, JOB)
        self.assert_done(reply, PAYLOADS)
        self.assert_serves_new_jobs(fleet)
        self.assert_no_task_started_twice(fleet)


class PeerTest(FleetTestCase):
    def test_job_fails_when_a_peer_restarts_on_the_same_address(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.start_call(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 30)
        find_peers(fleet, find_home(fleet, job_id))[0].process.restart()
        for reply in (call.result(), second.caller.put_job(job_id, JOB)):
            self.assertEqual((502, "failed"), (reply.status, reply.outcome), reply)
            self.assertEqual("task_unknown", reply.kind)
            self.assert_all_results_or_none(reply, PAYLOADS)
        fleet.wait_until(fleet.is_fully_connected, "every entry to list every agent")
        self.assert_serves_new_jobs(fleet)
        self.assert_no_task_started_twice(fleet)

    def test_job_fails_when_a_peer_is_frozen_past_every_timeout(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.start_call(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 30)
        peer = find_peers(fleet, find_home(fleet, job_id))[0]
        peer.process.suspend()
        reply = call.result()
        self.assertEqual((502, "failed"), (reply.status, reply.outcome), reply)
        self.assert_all_results_or_none(reply, PAYLOADS)
        peer.process.resume()
        fleet.wait_until(fleet.is_fully_connected, "every entry to list every agent")
        self.assert_serves_new_jobs(fleet)
        self.assertEqual(reply.body, second.caller.put_job(job_id, JOB).body)
        self.assert_no_task_started_twice(fleet)


class LinkTest(FleetTestCase):
    def test_job_completes_when_open_connections_go_silent(self) -> None:
        fleet = self.start_fleet(proxied=True)
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.start_call(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 30)
        for proxy in fleet.proxies():
            proxy.blackhole_open_connections()
        self.assert_done(call.result(), PAYLOADS)
        self.assert_done(second.caller.put_job(job_id, JOB), PAYLOADS)
        self.assertEqual(TASKS, len(fleet.starts()))
        self.assert_no_task_started_twice(fleet)
        self.assert_serves_new_jobs(fleet)

    def test_job_completes_when_results_of_a_peer_are_lost(self) -> None:
        fleet = self.start_fleet(proxied=True)
        caller = fleet.entries[0].caller
        job_id = caller.request_ids(SERVICE, 1)[0]
        home = find_home(fleet, job_id)
        peer = find_peers(fleet, home)[0]
        proxy = home.proxy
        assert proxy is not None
        call = self.start_call(lambda: caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 30)
        proxy.set_fault(Fault(blackhole=True), peer.host)
        self.wait_for_starts(fleet, job_id, TASKS - 16)
        proxy.clear_faults()
        self.assert_done(call.result(), PAYLOADS)
        self.assertEqual(TASKS, len(fleet.starts()))
        self.assert_no_task_started_twice(fleet)

    def test_late_dispatch_does_not_start_its_tasks_again(self) -> None:
        # The dispatch arrives after its peer has reported that it did not start.
        fleet = self.start_fleet(proxied=True)
        caller = fleet.entries[0].caller
        warm_up_id, job_id = request_ids_with_same_home(caller)
        home = find_home(fleet, job_id)
        self.assert_done(caller.put_job(warm_up_id, JOB), PAYLOADS)
        proxies = [
            peer.proxy for peer in find_peers(fleet, home) if peer.proxy is not None
        ]
        for proxy in proxies:
            proxy.set_fault(Fault(delay_s=DELAY_S), home.host)
        call = self.start_call(lambda: caller.put_job(job_id, JOB))
        fleet.wait_until(
            lambda: all(proxy.delayed_chunks for proxy in proxies),
            "the dispatches to be delayed",
        )
        for proxy in proxies:
            proxy.set_fault(NO_FAULT, home.host)
        self.assert_done(call.result(), PAYLOADS)
        fleet.wait_until(
            lambda: not any(proxy.delayed_chunks for proxy in proxies),
            "the late dispatches to arrive",
        )
        self.assert_serves_new_jobs(fleet)
        self.assert_no_task_started_twice(fleet)


def request_ids_with_same_home(caller: Caller) -> tuple[str, str]:
    """Requests job ids and returns two that name the same home."""
    ids = sorted(caller.request_ids(SERVICE, JOB_ID_COUNT))
    return next(
        (first, second) for first, second in pairwise(ids) if first[:16] == second[:16]
    )
