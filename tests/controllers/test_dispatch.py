"""Tests of the dispatch controller, with a fake clock and no process."""

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
NEAR = make_address("b" * 16, 2)
FAR = make_address("c" * 16, 3)


def make_peer(address: PeerAddress, zone: str) -> PeerStatus:
    """Builds an idle peer."""
    return PeerStatus(address, ["service"], zone, SLOTS)


@dataclass(frozen=True)
class SentDispatch:
    """A dispatch that a test has seen."""

    peer: PeerAddress
    number: int
    index: int


class ReserveTest(unittest.TestCase):
    """A job leaves a slot of a large target to single requests."""

    def test_table(self) -> None:
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
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.outbox = Outbox()
        self.answers: dict[str, Answer] = {}
        self.out_of_service_zones: set[str] = set()
        self.held_for_others = 0
        self.peers = PeerController(
            make_peer(OWN, "zone-a"),
            self.clock,
            lambda zone: zone not in self.out_of_service_zones,
            lambda: self.held_for_others,
        )
        listed = [make_peer(NEAR, "zone-a"), make_peer(FAR, "zone-b")]
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
        out = [
            SentDispatch(sent.recipient, task.number, task.index)
            for sent in self.outbox.sent
            if isinstance(sent.message, DispatchTasks)
            for task in sent.message.tasks
        ]
        self.outbox.sent.clear()
        return out

    def report(
        self, out: SentDispatch, state: str, *, sender: PeerAddress | None = None
    ) -> None:
        """Reports one dispatch as its peer, or another, would."""
        report = TaskReport(out.number, state, b'"%d"' % out.index, "reason")
        self.dispatch.handle_reports(sender or out.peer, TaskReports([report], 0, 0))

    def test_results_are_whole_and_in_order(self) -> None:
        self.submit(4)
        for out in reversed(self.collect_dispatches()):
            self.assertEqual(self.answers, {})
            self.report(out, "done")
        answer = self.answers["job"]
        results = [bytes(result) for result in answer.results or []]
        self.assertEqual(results, [b'"0"', b'"1"', b'"2"', b'"3"'])

    def test_own_target_then_own_zone_then_others(self) -> None:
        self.submit(3 * SLOTS)
        peers = [out.peer for out in self.collect_dispatches()]
        self.assertEqual(peers, [OWN] * SLOTS + [NEAR] * SLOTS + [FAR] * SLOTS)

    def test_own_slots_that_others_hold_are_not_free_until_they_end(self) -> None:
        self.held_for_others = SLOTS
        self.submit(1)
        self.assertEqual([out.peer for out in self.collect_dispatches()], [NEAR])
        self.held_for_others = 0
        self.submit(1)
        self.assertEqual([out.peer for out in self.collect_dispatches()], [OWN])

    def test_tasks_stay_at_home_when_all_are_full(self) -> None:
        self.submit(100)
        out = self.collect_dispatches()
        self.assertEqual(len(out), 3 * (SLOTS + QUEUE_ALLOWANCE))
        self.report(out[0], "done")
        self.assertEqual(len(self.collect_dispatches()), 1)

    def test_outcome_of_a_bad_report(self) -> None:
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
                self.assertEqual([out.index for out in again], indexes)
                self.report(again[0] if again else first, "done")
                self.report(second, "done")
                self.assertEqual(self.answers["job"].outcome, "done")

    def test_late_and_foreign_reports_change_nothing(self) -> None:
        self.submit(2)
        first, second = self.collect_dispatches()
        self.report(first, "not_started", sender=NEAR)
        self.assertEqual(self.collect_dispatches(), [])
        self.report(first, "not_started")
        (again,) = self.collect_dispatches()
        self.report(first, "not_started")
        self.report(first, "failed")
        self.assertEqual(self.collect_dispatches(), [])
        self.report(again, "done")
        self.report(second, "done")
        self.assertEqual(self.answers["job"].outcome, "done")

    def test_silent_peer_is_asked_redialed_and_given_up(self) -> None:
        self.submit(3)
        out = [item for item in self.collect_dispatches() if item.peer == NEAR]
        self.assertEqual(len(out), 1)
        self.clock.advance(1.0)
        self.dispatch.tick()
        queries = [m for m in self.outbox.take() if isinstance(m, TaskQuery)]
        self.assertIn([out[0].number], [query.numbers for query in queries])
        self.assertEqual(self.outbox.redialed, [])
        self.clock.advance(0.9)
        self.dispatch.tick()
        self.assertIn(NEAR.link, self.outbox.redialed)
        for _ in range(int(QUERY_TIMEOUT_S) + 1):
            self.clock.advance(0.9)
            self.dispatch.tick()
        error = self.answers["job"].error
        self.assertEqual(error and error.kind, "task_unknown")

    def test_agent_that_has_left_hands_back_what_never_started(self) -> None:
        self.submit(4)
        near = [out for out in self.collect_dispatches() if out.peer == NEAR]
        self.dispatch.handle_leaving(NEAR, AgentLeaving(False, []))
        self.assertEqual([], self.collect_dispatches())
        self.dispatch.handle_leaving(NEAR, AgentLeaving(True, []))
        again = self.collect_dispatches()
        self.assertEqual({out.index for out in near}, {out.index for out in again})
        self.assertNotIn(NEAR, [out.peer for out in again])
        self.assertEqual({}, self.answers)

    def test_agent_that_has_left_with_a_started_task(self) -> None:
        self.submit(4)
        near = [out for out in self.collect_dispatches() if out.peer == NEAR]
        self.dispatch.handle_leaving(NEAR, AgentLeaving(True, [near[0].number]))
        error = self.answers["job"].error
        assert error is not None
        self.assertEqual(error.kind, "task_unknown")

    def test_pause_of_the_home_does_not_give_peers_up(self) -> None:
        self.submit(3)
        self.collect_dispatches()
        self.clock.advance(15.0)
        self.dispatch.tick()
        self.assertEqual(self.answers, {})

    def test_deadline_and_cancel_tell_whether_something_started(self) -> None:
        self.out_of_service_zones = {"zone-a", "zone-b"}
        self.submit(2)
        self.dispatch.cancel_job("job")
        error = self.answers["job"].error
        self.assertEqual(error and error.kind, "cancelled_before_start")
        self.out_of_service_zones = set()
        self.submit(2)
        out = self.collect_dispatches()
        self.dispatch.cancel_job("job")
        error = self.answers["job"].error
        self.assertEqual(error and error.kind, "cancelled")
        (message,) = self.outbox.take()
        self.assertIsInstance(message, CancelTasks)
        self.report(out[0], "done")
        self.assertEqual(self.answers["job"].outcome, "failed")

    def test_nothing_is_sent_into_a_zone_out_of_service(self) -> None:
        self.out_of_service_zones = {"zone-a"}
        self.submit(10)
        self.assertEqual({out.peer for out in self.collect_dispatches()}, {FAR})

    def test_straggler_of_an_idempotent_job_gets_a_second_copy(self) -> None:
        for _ in range(RELIABLE_SAMPLES):
            self.dispatch.find_stats("service").observe(100.0)
        for idempotent, copies in ((True, 1), (False, 0)):
            with self.subTest(idempotent=idempotent):
                self.submit(1, idempotent=idempotent)
                (first,) = self.collect_dispatches()
                self.clock.advance(0.5)
                self.dispatch.tick()
                out = self.collect_dispatches()
                self.assertEqual(len(out), copies)
                if out:
                    self.assertNotEqual(out[0].peer, first.peer)
                    self.report(out[0], "failed")
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
            [out.peer for out in self.collect_dispatches()], [first[0].peer]
        )

    def test_no_target_is_looked_for_before_a_task_is_late(self) -> None:
        for _ in range(RELIABLE_SAMPLES):
            self.dispatch.find_stats("service").observe(1000.0)
        self.submit(3 * SLOTS, idempotent=True)
        choices: list[str] = []
        self.peers.choose = lambda service, *_, **__: choices.append(service)  # type: ignore[method-assign]
        self.dispatch.tick()
        self.assertEqual(choices, [])

    def test_retry_goes_to_another_agent_and_has_a_budget(self) -> None:
        self.submit(1, idempotent=True)
        (first,) = self.collect_dispatches()
        self.report(first, "failed")
        (second,) = self.collect_dispatches()
        self.assertNotEqual(first.peer, second.peer)
        self.dispatch.find_stats("service").retries.balance = 0.0
        self.report(second, "failed")
        self.assertEqual(self.answers["job"].outcome, "failed")

    def test_expected_load_counts_only_what_goes_before(self) -> None:
        listed = [make_peer(NEAR, "zone-a"), make_peer(FAR, "zone-b")]
        loads = [PeerLoad(0, 200, 1), PeerLoad(0, 3, 2)]
        self.peers.apply_list(listed, loads)
        self.submit(100)
        held = len(self.collect_dispatches())
        cases = [(1, 1 + 1 + 2), (10, 10 + 10 + 3), (240, 100 - held + 200 + 3)]
        for tasks, waiting in cases:
            with self.subTest(tasks=tasks):
                load = self.dispatch.measure_load("service", tasks)
                self.assertEqual(load.waiting, waiting)
                self.assertEqual((load.slots, load.running), (3 * SLOTS, held))
