"""Tests of the agent's task controller, with a fake clock and no process."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest.mock import Mock

from jackdawkeel.messages.scheduling import JobOrders
from jackdawkeel.messages.scheduling import StartTasks
from jackdawkeel.messages.scheduling import TaskOrder
from jackdawkeel.messages.scheduling import TaskStatus
from jackdawkeel.scheduling.leases import OWNER_LEASE_S
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.target_link import TargetLink
from jackdawkeel.scheduling.target_report import TargetReport
from jackdawkeel.scheduling.target_runtime import EndedTask
from jackdawkeel.scheduling.target_runtime import EndKind
from jackdawkeel.scheduling.target_runtime import Listing
from jackdawkeel.scheduling.target_runtime import Run
from jackdawkeel.scheduling.target_runtime import RunningTask
from jackdawkeel.scheduling.target_runtime import StartOutcome
from jackdawkeel.scheduling.target_runtime import TargetFailure
from jackdawkeel.scheduling.target_state import TargetState
from jackdawkeel.scheduling.task_executor import TaskExecutor
from tests.fakes import FakeClock
from tests.fakes import make_address
from tests.fakes import make_log


if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawkeel.messages import PeerAddress
    from jackdawkeel.scheduling.task_run import TaskRun


ENTRY = make_address("a" * 16)
OTHER_ENTRY = make_address("b" * 16, 2)
ZONE = "north"
CORE = Resources(1000, 64)


def make_report(sequence: int = 1, *, draining: bool = False) -> TargetReport:
    """Builds a heartbeat of a target with two cores."""
    return TargetReport(
        "target-1", 1, sequence, "svc", ZONE, (), Resources(2000, 1024), draining
    )


def make_order(
    number: int, task: str = "", wait_ms: int = 40, expected_ms: int = 100
) -> TaskOrder:
    """Builds an order for one core."""
    return TaskOrder(
        number, task or f"task-{number}", 1, CORE, wait_ms, expected_ms, may_move=True
    )


class TaskExecutorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.target = TargetState(ZONE, self.clock, make_log())
        self.target.apply_report(make_report())
        self.target.apply_evacuations(frozenset(), 1)
        self.target.is_prepared = True
        self.started: list[TaskRun] = []
        self.stopped: list[Run] = []
        self.executor = TaskExecutor(
            target=self.target,
            clock=self.clock,
            log=make_log(),
            start=lambda run, _until: self.started.append(run),
            stop=self.stopped.append,
            changed=lambda _owner: None,
        )

    def give(
        self,
        *orders: TaskOrder,
        entry: PeerAddress = ENTRY,
        priority: int = 0,
        echo: float | None = None,
    ) -> None:
        """Delivers orders."""
        job = JobOrders("job", "queue", priority, "payload", list(orders))
        sent_at = self.clock() if echo is None else echo
        self.executor.handle_start(entry, StartTasks(sent_at, [job]))

    def confirm(self, *runs: TaskRun) -> None:
        for run in runs:
            self.executor.handle_start_outcome(run, run.attempt, StartOutcome.STARTED)

    def take_listing(self, *running: Run, ended: tuple[EndedTask, ...] = ()) -> None:
        listing = Listing(1, [RunningTask(run, 10.0) for run in running], ended)
        self.executor.handle_listing(listing, self.clock())

    def statuses(self, entry: PeerAddress = ENTRY) -> list[tuple[int, str]]:
        updates = self.executor.owners[entry.incarnation].updates
        return [(update.number, update.status) for update in updates]

    def started_tasks(self) -> list[str]:
        return [run.order.task for run in self.started]

    def test_starts_what_fits_and_the_rest_when_room_is_free(self) -> None:
        self.give(make_order(1), make_order(2), make_order(3))
        self.assertEqual(self.started_tasks(), ["task-1", "task-2"])
        self.assertEqual(self.executor.free_capacity().cpu_millis, -1000)
        self.confirm(*self.started)
        first = self.started[0]
        self.take_listing(
            self.started[1].run, ended=(EndedTask(1, first.run, EndKind.DONE),)
        )
        self.assertEqual(self.started_tasks(), ["task-1", "task-2", "task-3"])
        self.assertIn((1, TaskStatus.DONE), self.statuses())

    def test_waiting_orders_start_by_priority(self) -> None:
        self.give(make_order(1), make_order(2))
        self.confirm(*self.started)
        self.give(make_order(3), priority=2)
        self.give(make_order(4), priority=0)
        ends = (EndedTask(1, self.started[0].run, EndKind.DONE),)
        self.take_listing(self.started[1].run, ended=ends)
        self.assertEqual(self.started_tasks()[2:], ["task-4"])

    def test_an_order_without_room_in_time_is_handed_back(self) -> None:
        self.give(make_order(1), make_order(2), make_order(3))
        self.clock.advance(0.05)
        self.executor.tick()
        self.assertEqual(self.statuses(), [(3, TaskStatus.NOT_STARTED)])

    def test_refuses_while_the_target_must_get_nothing(self) -> None:
        cases: dict[str, Callable[[], object]] = {
            "draining": lambda: self.target.apply_report(make_report(2, draining=True)),
            "evacuated": lambda: self.target.apply_evacuations(frozenset([ZONE]), 2),
            "leaving": lambda: setattr(self.target, "is_leaving", True),
            "unprepared": lambda: setattr(self.target, "is_prepared", False),
        }
        for name, change in cases.items():
            with self.subTest(name):
                self.setUp()
                change()
                self.give(make_order(1))
                self.assertEqual(self.started, [])
                self.assertEqual(self.statuses(), [(1, TaskStatus.NOT_STARTED)])

    def test_a_waiting_order_does_not_start_after_the_zone_is_evacuated(self) -> None:
        self.give(make_order(1), make_order(2), make_order(3, wait_ms=1000))
        self.confirm(*self.started)
        self.target.apply_evacuations(frozenset([ZONE]), 2)
        ends = (EndedTask(1, self.started[0].run, EndKind.DONE),)
        self.take_listing(self.started[1].run, ended=ends)
        self.assertEqual(len(self.started), 2)
        self.assertIn((3, TaskStatus.NOT_STARTED), self.statuses())

    def test_an_order_older_than_the_owners_lease_is_refused(self) -> None:
        self.give(make_order(1), echo=self.clock() - OWNER_LEASE_S)
        self.assertEqual(self.started, [])
        self.assertEqual(self.statuses(), [(1, TaskStatus.NOT_STARTED)])

    def test_a_repeated_order_starts_once(self) -> None:
        self.give(make_order(1))
        self.give(make_order(1))
        self.confirm(*self.started)
        self.take_listing(ended=(EndedTask(1, self.started[0].run, EndKind.DONE),))
        self.give(make_order(1))
        self.assertEqual(self.started_tasks(), ["task-1"])

    def test_a_stop_that_overtakes_its_order_bars_it(self) -> None:
        self.executor.handle_stop(ENTRY, [1])
        self.give(make_order(1))
        self.assertEqual(self.started, [])

    def test_a_start_without_answer_ends_only_after_a_taken_stop(self) -> None:
        self.give(make_order(1))
        run = self.started[0]
        self.executor.handle_start_outcome(run, 1, StartOutcome.UNKNOWN)
        self.assertEqual(self.stopped, [run.run])
        self.take_listing()
        self.assertEqual(self.statuses(), [])
        self.executor.handle_stop_outcome(run.run, TargetFailure.NO_ANSWER)
        self.clock.advance(0.2)
        self.executor.tick()
        self.assertEqual(self.stopped, [run.run, run.run])
        self.executor.handle_stop_outcome(run.run, None)
        self.clock.advance(0.01)
        self.take_listing(run.run)
        self.assertEqual(self.statuses(), [])
        self.take_listing()
        self.assertEqual(self.statuses(), [(1, TaskStatus.LOST)])

    def test_room_is_held_until_a_stopped_run_is_gone(self) -> None:
        self.give(make_order(1), make_order(2))
        self.confirm(*self.started)
        self.executor.handle_stop(ENTRY, [1])
        self.give(make_order(3, wait_ms=1000))
        self.assertEqual(len(self.started), 2)
        self.executor.handle_stop_outcome(self.started[0].run, None)
        self.take_listing(self.started[1].run)
        self.assertEqual(self.started_tasks()[2:], ["task-3"])

    def test_what_a_silent_owner_runs_is_stopped(self) -> None:
        self.give(make_order(1))
        self.confirm(*self.started)
        self.clock.advance(OWNER_LEASE_S)
        self.executor.tick()
        self.assertEqual(self.stopped, [self.started[0].run])

    def test_an_owner_that_is_heard_keeps_its_runs(self) -> None:
        self.give(make_order(1))
        self.confirm(*self.started)
        self.clock.advance(OWNER_LEASE_S - 0.1)
        self.executor.renew_owner(ENTRY, self.clock() - 0.1)
        self.clock.advance(0.2)
        self.executor.tick()
        self.assertEqual(self.stopped, [])

    def test_a_task_sent_again_through_another_entry_waits_for_the_first_run(
        self,
    ) -> None:
        self.give(make_order(1, "task"))
        self.confirm(*self.started)
        first = self.started[0].run
        self.give(make_order(7, "task", wait_ms=1000), entry=OTHER_ENTRY)
        self.assertEqual(self.stopped, [first])
        self.assertEqual(len(self.started), 1)
        self.executor.handle_stop_outcome(first, None)
        self.take_listing()
        self.assertEqual(len(self.started), 2)
        self.assertEqual(self.started[1].run, Run("task", 2))

    def test_an_attempt_that_the_target_has_seen_is_raised(self) -> None:
        self.give(make_order(1))
        run = self.started[0]
        self.executor.handle_start_outcome(run, 1, StartOutcome.STALE_ATTEMPT)
        self.assertEqual(self.started[-1].attempt, 2)

    def test_a_stale_fencing_token_is_raised_and_the_order_sent_again(self) -> None:
        token = self.target.fencing_token
        self.give(make_order(1))
        run = self.started[0]
        self.executor.handle_start_outcome(run, 1, StartOutcome.STALE_TOKEN)
        self.assertGreater(self.target.fencing_token, token)
        self.assertEqual(len(self.started), 2)

    def test_all_runs_are_lost_with_the_target(self) -> None:
        self.give(make_order(1), make_order(2))
        self.confirm(*self.started)
        self.executor.handle_target_gone()
        self.assertEqual(
            self.statuses()[-2:], [(1, TaskStatus.LOST), (2, TaskStatus.LOST)]
        )
        self.assertEqual(self.executor.free_capacity().cpu_millis, 2000)

    def test_a_run_that_the_restarted_target_started_is_not_lost(self) -> None:
        self.give(make_order(1), make_order(2))
        self.confirm(*self.started)
        former, latter = [run.run for run in self.started]
        link = TargetLink(Mock(), self.target, self.clock, make_log())
        link.executor = self.executor
        self.target.born_ms = 1
        self.clock.advance(0.1)
        listing = Listing(2, [RunningTask(latter, 10.0)], ())
        link._take_listing(listing, self.clock())
        self.assertEqual(self.statuses()[-1], (1, TaskStatus.LOST))
        self.assertNotIn((2, TaskStatus.LOST), self.statuses())
        self.assertNotIn(former, self.executor.by_run)
        self.assertIn(latter, self.executor.by_run)

    def test_runs_of_an_earlier_process_are_stopped(self) -> None:
        foreign = Run("foreign", 3)
        self.take_listing(foreign)
        self.take_listing(foreign)
        self.assertEqual(self.stopped, [foreign])

    def test_a_run_of_an_earlier_process_is_forgotten_with_its_end(self) -> None:
        self.take_listing(Run("foreign", 3))
        self.take_listing()
        self.assertEqual(self.executor.next_stop_at, {})

    def test_a_new_life_of_an_entry_ends_what_the_former_one_owned(self) -> None:
        self.give(make_order(1))
        self.confirm(*self.started)
        successor = make_address("c" * 16)
        self.executor.renew_owner(successor, self.clock())
        self.assertEqual(self.stopped, [self.started[0].run])

    def test_a_run_without_progress_is_ended_so_that_it_starts_elsewhere(self) -> None:
        self.give(make_order(1, expected_ms=1000), make_order(2, expected_ms=1000))
        self.confirm(*self.started)
        stuck, sound = (run.run for run in self.started)
        for percent in range(5, 100, 5):
            self.clock.advance(0.05)
            self.executor.renew_owner(ENTRY, self.clock())
            running = [RunningTask(stuck, 10.0), RunningTask(sound, float(percent))]
            self.executor.handle_listing(Listing(1, running, ()), self.clock())
            self.executor.tick()
        self.assertEqual(self.stopped[0], stuck)
        self.assertNotIn(sound, self.stopped)
        self.assertEqual(self.executor.quality.count(), (1, 1))

    def test_a_run_is_not_moved_while_the_target_is_not_listed(self) -> None:
        self.give(make_order(1))
        self.confirm(*self.started)
        self.take_listing(self.started[0].run)
        for _ in range(20):
            self.clock.advance(0.05)
            self.executor.renew_owner(ENTRY, self.clock())
            self.executor.tick()
        self.assertEqual(self.stopped, [])

    def test_a_start_that_the_target_refused_claims_no_room_and_frees_none(
        self,
    ) -> None:
        for outcome in StartOutcome:
            if outcome in (StartOutcome.STARTED, StartOutcome.UNKNOWN):
                continue
            with self.subTest(outcome):
                self.setUp()
                self.give(make_order(1, wait_ms=1000))
                for _ in range(10):
                    run = self.started[-1]
                    self.executor.handle_start_outcome(run, run.attempt, outcome)
                    self.clock.advance(0.05)
                    self.executor.renew_owner(ENTRY, self.clock())
                    self.executor.tick()
                self.assertEqual(self.executor.claimed, Resources())

    def test_runs_move_off_a_target_that_is_slow_compared_with_others(self) -> None:
        for usual, moved in ((1.0, 2), (6.0, 0)):
            with self.subTest(usual):
                self.setUp()
                self.executor.usual_slowness = usual
                for _ in range(3):
                    self.executor.quality.record(
                        self.clock(), is_good=True, run_ms=600, expected_ms=100
                    )
                self.give(make_order(1), make_order(2))
                self.confirm(*self.started)
                for percent in range(8, 40, 8):
                    self.clock.advance(0.05)
                    self.executor.renew_owner(ENTRY, self.clock())
                    running = [
                        RunningTask(run.run, float(percent)) for run in self.started
                    ]
                    self.executor.handle_listing(Listing(1, running, ()), self.clock())
                    self.executor.tick()
                self.assertEqual(len(set(self.stopped)), moved)
