"""Each task of a submission starts at most once."""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from tests.integration.fleet_test_case import FleetTestCase
from tests.integration.fleet_test_case import find_home
from tests.integration.fleet_test_case import find_others
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
LATE_S = 3.0
IDS = 64


class EntryTest(FleetTestCase):
    def test_copies_through_both_entries_at_once(self) -> None:
        fleet = self.start_fleet()
        job_id = fleet.entries[0].caller.request_ids(SERVICE, 1)[0]
        calls = [
            self.begin(lambda entry=entry: entry.caller.put_job(job_id, JOB))  # type: ignore[misc]
            for entry in fleet.entries * 3
        ]
        replies = [call.result() for call in calls]
        for reply in replies:
            self.judge_done(reply, PAYLOADS)
        self.assertEqual(TASKS, len(fleet.starts()))
        self.judge_starts(fleet)

    def test_entry_killed_with_the_job_in_flight(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.begin(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 10)
        first.process.kill()
        with self.assertRaises(HTTPError):
            call.result()
        reply = second.caller.put_job(job_id, JOB)
        self.judge_done(reply, PAYLOADS)
        self.assertEqual(TASKS, len(fleet.starts()))
        self.judge_starts(fleet)


class HomeTest(FleetTestCase):
    def test_home_killed(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.begin(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 10)
        find_home(fleet, job_id).process.kill()
        again = self.begin(lambda: second.caller.put_job(job_id, JOB))
        for reply in (call.result(), again.result()):
            self.assertEqual((504, "unknown"), (reply.status, reply.outcome), reply)
            self.judge_whole_or_not_done(reply, PAYLOADS)
        self.judge_works(fleet)
        self.judge_starts(fleet)

    def test_home_restarted_on_the_same_address(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.begin(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 10)
        find_home(fleet, job_id).process.restart()
        for reply in (
            self.settle(call.result(), first.caller, job_id, JOB),
            self.settle(second.caller.put_job(job_id, JOB), second.caller, job_id, JOB),
        ):
            self.assertEqual((504, "unknown"), (reply.status, reply.outcome), reply)
            self.assertEqual("home_gone", reply.kind)
        fleet.wait_until(fleet.is_fully_connected, "the agent to be heard again")
        self.judge_works(fleet)
        self.judge_starts(fleet)

    def test_home_frozen_for_longer_than_every_timeout(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.begin(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 10)
        home = find_home(fleet, job_id)
        home.process.suspend()
        again = self.begin(lambda: second.caller.put_job(job_id, JOB))
        for reply in (call.result(), again.result()):
            self.assertEqual((504, "unknown"), (reply.status, reply.outcome), reply)
            self.assertFalse(reply.body["final"])
        home.process.resume()
        reply = second.caller.put_job(job_id, JOB)
        self.judge_done(reply, PAYLOADS)
        self.judge_works(fleet)
        self.judge_starts(fleet)


class PeerTest(FleetTestCase):
    def test_peer_restarted_on_the_same_address(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.begin(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 30)
        find_others(fleet, find_home(fleet, job_id))[0].process.restart()
        for reply in (call.result(), second.caller.put_job(job_id, JOB)):
            self.assertEqual((502, "failed"), (reply.status, reply.outcome), reply)
            self.assertEqual("task_unknown", reply.kind)
            self.judge_whole_or_not_done(reply, PAYLOADS)
        fleet.wait_until(fleet.is_fully_connected, "the agent to be heard again")
        self.judge_works(fleet)
        self.judge_starts(fleet)

    def test_peer_frozen_for_longer_than_every_timeout(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.begin(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 30)
        peer = find_others(fleet, find_home(fleet, job_id))[0]
        peer.process.suspend()
        reply = call.result()
        self.assertEqual((502, "failed"), (reply.status, reply.outcome), reply)
        self.judge_whole_or_not_done(reply, PAYLOADS)
        peer.process.resume()
        fleet.wait_until(fleet.is_fully_connected, "the agent to be heard again")
        self.judge_works(fleet)
        self.assertEqual(reply.body, second.caller.put_job(job_id, JOB).body)
        self.judge_starts(fleet)


class LinkTest(FleetTestCase):
    def test_every_connection_goes_silent_while_new_ones_work(self) -> None:
        fleet = self.start_fleet(proxied=True)
        first, second = fleet.entries
        job_id = first.caller.request_ids(SERVICE, 1)[0]
        call = self.begin(lambda: first.caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 30)
        for proxy in fleet.proxies():
            proxy.blackhole_open_connections()
        self.judge_done(call.result(), PAYLOADS)
        self.judge_done(second.caller.put_job(job_id, JOB), PAYLOADS)
        self.assertEqual(TASKS, len(fleet.starts()))
        self.judge_starts(fleet)
        self.judge_works(fleet)

    def test_results_of_a_peer_are_lost(self) -> None:
        fleet = self.start_fleet(proxied=True)
        caller = fleet.entries[0].caller
        job_id = caller.request_ids(SERVICE, 1)[0]
        home = find_home(fleet, job_id)
        peer = find_others(fleet, home)[0]
        proxy = home.proxy
        assert proxy is not None
        call = self.begin(lambda: caller.put_job(job_id, JOB))
        self.wait_for_starts(fleet, job_id, 30)
        proxy.set_fault(Fault(blackhole=True), peer.host)
        self.wait_for_starts(fleet, job_id, TASKS - 16)
        proxy.clear_faults()
        self.judge_done(call.result(), PAYLOADS)
        self.assertEqual(TASKS, len(fleet.starts()))
        self.judge_starts(fleet)

    def test_dispatch_arrives_after_it_was_said_not_to_have_started(self) -> None:
        fleet = self.start_fleet(proxied=True)
        caller = fleet.entries[0].caller
        warm_up_id, job_id = take_ids_of_one_home(caller)
        home = find_home(fleet, job_id)
        self.judge_done(caller.put_job(warm_up_id, JOB), PAYLOADS)
        proxies = [
            peer.proxy for peer in find_others(fleet, home) if peer.proxy is not None
        ]
        for proxy in proxies:
            proxy.set_fault(Fault(delay_s=LATE_S), home.host)
        call = self.begin(lambda: caller.put_job(job_id, JOB))
        fleet.wait_until(
            lambda: all(proxy.delayed_chunks for proxy in proxies),
            "the dispatches to be under way",
        )
        for proxy in proxies:
            proxy.set_fault(NO_FAULT, home.host)
        self.judge_done(call.result(), PAYLOADS)
        fleet.wait_until(
            lambda: not any(proxy.delayed_chunks for proxy in proxies),
            "the late dispatches to arrive",
        )
        self.judge_works(fleet)
        self.judge_starts(fleet)


def take_ids_of_one_home(caller: Caller) -> tuple[str, str]:
    """Returns two job ids that name the same home."""
    ids = sorted(caller.request_ids(SERVICE, IDS))
    return next(
        (first, second) for first, second in pairwise(ids) if first[:16] == second[:16]
    )
