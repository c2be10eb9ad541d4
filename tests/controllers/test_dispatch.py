"""Tests of the dispatch controller, with a fake clock and a recorded outbox."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING

from jackdawkeel.controllers.dispatch import DispatchController
from jackdawkeel.controllers.failure_detector import QUERY_TIMEOUT_S
from jackdawkeel.controllers.peers import QUEUE_ALLOWANCE
from jackdawkeel.controllers.peers import PeerController
from jackdawkeel.messages import AgentLeaving
from jackdawkeel.messages import CancelTasks
from jackdawkeel.messages import DispatchTasks
from jackdawkeel.messages import PeerAddress
from jackdawkeel.messages import PeerLoad
from jackdawkeel.messages import PeerStatus
from jackdawkeel.messages import SubmitJob
from jackdawkeel.messages import TaskQuery
from jackdawkeel.messages import TaskReport
from jackdawkeel.messages import TaskReports
from jackdawkeel.policy.run_time import RELIABLE_SAMPLES
from tests.fakes import FakeClock
from tests.fakes import Outbox
from tests.fakes import make_address
from tests.fakes import make_log


if TYPE_CHECKING:
    from jackdawkeel.answer import Answer


SLOTS = 2
OWN = make_address("a" * 16, 1)
SAME_ZONE = make_address("b" * 16, 2)
OTHER_ZONE = make_address("c" * 16, 3)


def make_peer(address: PeerAddress, zone: str) -> PeerStatus:
    """Builds an idle peer."""
    return PeerStatus(address, ["service"], zone, SLOTS)


@dataclass(frozen=True)
class SentDispatch:
    """A dispatch found in the outbox."""

    peer: PeerAddress
    number: int
    index: int


class ReserveTest(unittest.TestCase):
    """A job leaves a slot of a large target free for single requests."""

    def test_slot_is_reserved_unless_the_service_is_overloaded(self) -> None:
        cases = [("idle", 0.0, 7, 8), ("overloaded", 0.9, 9, 9)]
        for name, busy_share, after_job, after_single in cases:
            with self.subTest(name):
                outbox = Outbox()
                clock = FakeClock()
                own = PeerStatus(OWN, ["service"], "zone-a", 8)
                dispatch = DispatchController(
                    clock=clock,
                    log=make_log(),
                    peers=PeerController(own, clock, lambda _: True, lambda: 0),
                    send=outbox.send,
                    redial=outbox.redial,
                    finish=lambda _job_id, _answer: None,
                )
                dispatch.find_stats("service").busy_share = busy_share
                dispatch.start_job(SubmitJob("j", "", "service", [b"1"] * 9, False, 9))
                self.assertEqual(len(dispatch.dispatches.by_number), after_job)
                dispatch.start_job(SubmitJob("k", "", "service", [b"1"], False, 9))
                self.assertEqual(len(dispatch.dispatches.by_number), after_single)


class DispatchTest(unittest.TestCase):
    """A job ends with all results in order, or with one error.

    The own agent and SAME_ZONE are in zone-a, OTHER_ZONE is in zone-b.
    """

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.outbox = Outbox()
        self.answers: dict[str, Answer] = {}
        self.out_of_service_zones: set[str] = set()
        self.open_tasks_for_others = 0
        self.peers = PeerController(
            make_peer(OWN, "zone-a"),
            self.clock,
            lambda zone: zone not in self.out_of_service_zones,
            lambda: self.open_tasks_for_others,
        )
        listed = [make_peer(SAME_ZONE, "zone-a"), make_peer(OTHER_ZONE, "zone-b")]
        self.peers.apply_list(listed, [PeerLoad(0, 0, 0)] * 2)
        self.dispatch = DispatchController(
            clock=self.clock,
            log=make_log(),
            peers=self.peers,
            send=self.outbox.send,
            redial=self.outbox.redial,
            finish=self.answers.__setitem__,
        )

    def submit(self, tasks: int, *, idempotent: bool = False) -> None:
        """Starts a job."""
        payloads = [b"%d" % index for index in range(tasks)]
        self.dispatch.start_job(
            SubmitJob("job", "d", "service", payloads, idempotent, 20_000)
        )

    def collect_dispatches(self) -> list[SentDispatch]:
        """Returns the dispatches sent since the last call."""
        dispatches = [
            SentDispatch(sent.recipient, task.number, task.index)
            for sent in self.outbox.sent
            if isinstance(sent.message, DispatchTasks)
            for task in sent.message.tasks
        ]
        self.outbox.sent.clear()
        return dispatches

    def report(
        self, sent: SentDispatch, state: str, *, sender: PeerAddress | None = None
    ) -> None:
        """Reports the state of a dispatch as its peer or as another sender."""
        report = TaskReport(sent.number, state, b'"%d"' % sent.index, "reason")
        self.dispatch.handle_reports(sender or sent.peer, TaskReports([report], 0, 0))

    def test_results_are_complete_and_in_order(self) -> None:
        self.submit(4)
        for sent in reversed(self.collect_dispatches()):
            self.assertEqual(self.answers, {})
            self.report(sent, "done")
        answer = self.answers["job"]
        results = [bytes(result) for result in answer.results or []]
        self.assertEqual(results, [b'"0"', b'"1"', b'"2"', b'"3"'])

    def test_own_target_precedes_own_zone_and_other_zones(self) -> None:
        self.submit(3 * SLOTS)
        peers = [sent.peer for sent in self.collect_dispatches()]
        self.assertEqual(
            peers, [OWN] * SLOTS + [SAME_ZONE] * SLOTS + [OTHER_ZONE] * SLOTS
        )

    def test_own_slots_used_by_other_homes_get_no_tasks(self) -> None:
        self.open_tasks_for_others = SLOTS
        self.submit(1)
        self.assertEqual([sent.peer for sent in self.collect_dispatches()], [SAME_ZONE])
        self.open_tasks_for_others = 0
        self.submit(1)
        self.assertEqual([sent.peer for sent in self.collect_dispatches()], [OWN])

    def test_tasks_wait_at_the_home_when_all_agents_are_full(self) -> None:
        self.submit(100)
        sent = self.collect_dispatches()
        self.assertEqual(len(sent), 3 * (SLOTS + QUEUE_ALLOWANCE))
        self.report(sent[0], "done")
        self.assertEqual(len(self.collect_dispatches()), 1)

    def test_task_without_result_is_retried_or_fails_the_job(self) -> None:
        cases = [
            ("failed", False, "task_failed"),
            ("unknown", False, "task_unknown"),
            ("failed", True, ""),
            ("unknown", True, ""),
            ("not_started", False, ""),
            ("not_started", True, ""),
            ("running", False, ""),
        ]
        for state, idempotent, kind in cases:
            with self.subTest(state=state, idempotent=idempotent):
                self.setUp()
                self.submit(2, idempotent=idempotent)
                first, second = self.collect_dispatches()
                self.report(first, state)
                again = self.collect_dispatches()
                if kind:
                    answer = self.answers["job"]
                    self.assertIsNone(answer.results)
                    self.assertEqual(answer.error and answer.error.kind, kind)
                    self.assertEqual(again, [])
                    continue
                self.assertEqual(self.answers, {})
                indexes = [] if state == "running" else [first.index]
                self.assertEqual([sent.index for sent in again], indexes)
                self.report(again[0] if again else first, "done")
                self.report(second, "done")
                self.assertEqual(self.answers["job"].outcome, "done")

    def test_late_reports_and_reports_of_other_agents_change_nothing(self) -> None:
        self.submit(2)
        first, second = self.collect_dispatches()
        self.report(first, "not_started", sender=SAME_ZONE)
        self.assertEqual(self.collect_dispatches(), [])
        self.report(first, "not_started")
        (again,) = self.collect_dispatches()
        self.report(first, "not_started")
        self.report(first, "failed")
        self.assertEqual(self.collect_dispatches(), [])
        self.report(again, "done")
        self.report(second, "done")
        self.assertEqual(self.answers["job"].outcome, "done")

    def test_silent_peer_is_queried_redialed_and_removed(self) -> None:
        self.submit(3)
        sent = [item for item in self.collect_dispatches() if item.peer == SAME_ZONE]
        self.assertEqual(len(sent), 1)
        self.clock.advance(1.0)
        self.dispatch.tick()
        queries = [m for m in self.outbox.pop_messages() if isinstance(m, TaskQuery)]
        self.assertIn([sent[0].number], [query.numbers for query in queries])
        self.assertEqual(self.outbox.redialled, [])
        self.clock.advance(0.9)
        self.dispatch.tick()
        self.assertIn(SAME_ZONE.link, self.outbox.redialled)
        for _ in range(int(QUERY_TIMEOUT_S) + 1):
            self.clock.advance(0.9)
            self.dispatch.tick()
        error = self.answers["job"].error
        self.assertEqual(error and error.kind, "task_unknown")

    def test_unstarted_tasks_of_an_ended_agent_are_dispatched_again(self) -> None:
        self.submit(4)
        in_same_zone = [
            sent for sent in self.collect_dispatches() if sent.peer == SAME_ZONE
        ]
        self.dispatch.handle_leaving(SAME_ZONE, AgentLeaving(False, []))
        self.assertEqual([], self.collect_dispatches())
        self.dispatch.handle_leaving(SAME_ZONE, AgentLeaving(True, []))
        again = self.collect_dispatches()
        self.assertEqual(
            {sent.index for sent in in_same_zone}, {sent.index for sent in again}
        )
        self.assertNotIn(SAME_ZONE, [sent.peer for sent in again])
        self.assertEqual({}, self.answers)

    def test_started_task_of_an_ended_agent_is_unknown(self) -> None:
        self.submit(4)
        in_same_zone = [
            sent for sent in self.collect_dispatches() if sent.peer == SAME_ZONE
        ]
        self.dispatch.handle_leaving(
            SAME_ZONE, AgentLeaving(True, [in_same_zone[0].number])
        )
        error = self.answers["job"].error
        assert error is not None
        self.assertEqual(error.kind, "task_unknown")

    def test_pause_of_the_home_removes_no_peers(self) -> None:
        self.submit(3)
        self.collect_dispatches()
        self.clock.advance(15.0)
        self.dispatch.tick()
        self.assertEqual(self.answers, {})

    def test_cancellation_reports_whether_a_task_may_have_started(self) -> None:
        self.out_of_service_zones = {"zone-a", "zone-b"}
        self.submit(2)
        self.dispatch.cancel_job("job")
        error = self.answers["job"].error
        self.assertEqual(error and error.kind, "cancelled_before_start")
        self.out_of_service_zones = set()
        self.submit(2)
        sent = self.collect_dispatches()
        self.dispatch.cancel_job("job")
        error = self.answers["job"].error
        self.assertEqual(error and error.kind, "cancelled")
        (message,) = self.outbox.pop_messages()
        self.assertIsInstance(message, CancelTasks)
        self.report(sent[0], "done")
        self.assertEqual(self.answers["job"].outcome, "failed")

    def test_zone_out_of_service_gets_no_tasks(self) -> None:
        self.out_of_service_zones = {"zone-a"}
        self.submit(10)
        self.assertEqual(
            {sent.peer for sent in self.collect_dispatches()}, {OTHER_ZONE}
        )

    def test_straggler_of_an_idempotent_job_gets_a_second_copy(self) -> None:
        for _ in range(RELIABLE_SAMPLES):
            self.dispatch.find_stats("service").observe(100.0)
        for idempotent, copies in ((True, 1), (False, 0)):
            with self.subTest(idempotent=idempotent):
                self.submit(1, idempotent=idempotent)
                (first,) = self.collect_dispatches()
                self.clock.advance(0.5)
                self.dispatch.tick()
                sent = self.collect_dispatches()
                self.assertEqual(len(sent), copies)
                if sent:
                    self.assertNotEqual(sent[0].peer, first.peer)
                    self.report(sent[0], "failed")
                self.report(first, "done")
                self.assertEqual(self.answers.pop("job").outcome, "done")

    def test_second_copy_waits_for_a_free_slot(self) -> None:
        for _ in range(RELIABLE_SAMPLES):
            self.dispatch.find_stats("service").observe(100.0)
        self.submit(3 * SLOTS, idempotent=True)
        first = self.collect_dispatches()
        self.clock.advance(0.5)
        self.dispatch.tick()
        self.assertEqual(self.collect_dispatches(), [])
        self.report(first[0], "done")
        self.clock.advance(0.5)
        self.dispatch.tick()
        self.assertEqual(
            [sent.peer for sent in self.collect_dispatches()], [first[0].peer]
        )

    def test_no_agent_is_chosen_for_a_task_that_is_not_late(self) -> None:
        for _ in range(RELIABLE_SAMPLES):
            self.dispatch.find_stats("service").observe(1000.0)
        self.submit(3 * SLOTS, idempotent=True)
        choices: list[str] = []
        self.peers.choose = lambda service, *_, **__: choices.append(service)  # type: ignore[method-assign]
        self.dispatch.tick()
        self.assertEqual(choices, [])

    def test_retry_goes_to_another_agent_within_the_budget(self) -> None:
        self.submit(1, idempotent=True)
        (first,) = self.collect_dispatches()
        self.report(first, "failed")
        (second,) = self.collect_dispatches()
        self.assertNotEqual(first.peer, second.peer)
        self.dispatch.find_stats("service").retries.balance = 0.0
        self.report(second, "failed")
        self.assertEqual(self.answers["job"].outcome, "failed")

    def test_task_that_crashes_each_target_is_started_three_times_at_most(self) -> None:
        self.submit(1, idempotent=True)
        starts = 0
        while "job" not in self.answers:
            for sent in self.collect_dispatches():
                starts += 1
                self.report(sent, "unknown")
            self.dispatch.find_stats("service").retries.balance = 100.0
            self.dispatch.tick()
        self.assertEqual(starts, 3)

    def test_expected_load_counts_only_tasks_dispatched_before(self) -> None:
        listed = [make_peer(SAME_ZONE, "zone-a"), make_peer(OTHER_ZONE, "zone-b")]
        loads = [PeerLoad(0, 200, 1), PeerLoad(0, 3, 2)]
        self.peers.apply_list(listed, loads)
        self.submit(100)
        dispatched = len(self.collect_dispatches())
        cases = [(1, 1 + 1 + 2), (10, 10 + 10 + 3), (240, 100 - dispatched + 200 + 3)]
        for tasks, waiting in cases:
            with self.subTest(tasks=tasks):
                load = self.dispatch.measure_load("service", tasks)
                self.assertEqual(load.waiting, waiting)
                self.assertEqual((load.slots, load.running), (3 * SLOTS, dispatched))
