"""Tests of the execution of assignments at an agent, with a fake clock and no target.

They guard against runs that start twice, go on after their lease, or claim more than
the target's capacity when messages and calls are lost, resent or reordered.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from unittest.mock import Mock

from jackdawkeel.events import EventName
from jackdawkeel.messages.scheduling import JobAssignments
from jackdawkeel.messages.scheduling import StartTasks
from jackdawkeel.messages.scheduling import TaskAssignment
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
from jackdawkeel.scheduling.task_executor import EARLIER_RUN_WAIT_S
from jackdawkeel.scheduling.task_executor import TaskExecutor
from jackdawkeel.scheduling.task_run import StopCause
from tests.fakes import FakeClock
from tests.fakes import make_address
from tests.fakes import make_log
from tests.fakes import read_lines


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


def make_assignment(
    number: int,
    task: str = "",
    wait_ms: int = 40,
    expected_ms: int = 100,
    may_move: bool = True,
) -> TaskAssignment:
    """Builds an assignment that claims one core."""
    return TaskAssignment(
        number, task or f"task-{number}", 1, CORE, wait_ms, expected_ms, may_move
    )


class ExecutorTestCase(unittest.TestCase):
    """Base of the tests of an executor with two cores."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.target = TargetState(ZONE, self.clock, make_log())
        self.target.apply_report(make_report())
        self.target.apply_evacuations(frozenset(), 1)
        self.target.is_prepared = True
        self.started: list[TaskRun] = []
        self.stopped: list[Run] = []
        self.lines: list[bytes] = []
        self.executor = TaskExecutor(
            target=self.target,
            clock=self.clock,
            log=make_log(self.lines),
            start=lambda run, _until: self.started.append(run),
            stop=self.stopped.append,
            on_update=lambda _owner: None,
        )

    def assign(
        self,
        *assignments: TaskAssignment,
        entry: PeerAddress = ENTRY,
        priority: int = 0,
        echo: float | None = None,
    ) -> None:
        """Delivers assignments to the executor."""
        job = JobAssignments("job", "queue", priority, "payload", list(assignments))
        sent_at = self.clock() if echo is None else echo
        self.executor.handle_start(entry, StartTasks(sent_at, [job]))

    def confirm(self, *runs: TaskRun) -> None:
        for run in runs:
            self.executor.handle_start_outcome(run, run.attempt, StartOutcome.STARTED)

    def deliver_listing(self, *running: Run, ended: tuple[EndedTask, ...] = ()) -> None:
        listing = Listing(1, [RunningTask(run, 10.0) for run in running], ended)
        self.executor.handle_listing(listing, self.clock())

    def statuses(self, entry: PeerAddress = ENTRY) -> list[tuple[int, str]]:
        updates = self.executor.leases.owners[entry.incarnation].updates
        return [(update.number, update.status) for update in updates]

    def logged(self, event: EventName) -> list[dict[str, Any]]:
        """Returns the fields of all log lines of one event."""
        events = read_lines(self.lines)
        return [fields for fields in events if fields["message_type"] == event]

    def started_tasks(self) -> list[str]:
        return [run.assignment.task for run in self.started]


class TaskExecutorTest(ExecutorTestCase):
    def test_assignments_that_do_not_fit_start_when_capacity_is_free(self) -> None:
        self.assign(make_assignment(1), make_assignment(2), make_assignment(3))
        self.assertEqual(self.started_tasks(), ["task-1", "task-2"])
        self.assertEqual(self.executor.free_capacity().cpu_millis, -1000)
        self.confirm(*self.started)
        first = self.started[0]
        self.deliver_listing(
            self.started[1].run, ended=(EndedTask(1, first.run, EndKind.DONE),)
        )
        self.assertEqual(self.started_tasks(), ["task-1", "task-2", "task-3"])
        self.assertIn((1, TaskStatus.DONE), self.statuses())

    def test_nothing_starts_beyond_a_capacity_that_has_shrunk(self) -> None:
        self.assign(make_assignment(1), make_assignment(2), make_assignment(3))
        self.confirm(*self.started)
        report = replace(make_report(), capacity=CORE, sequence=2)
        self.target.apply_report(report)
        first, second = (run.run for run in self.started)
        self.deliver_listing(second, ended=(EndedTask(1, first, EndKind.DONE),))
        self.assertEqual(self.started_tasks(), ["task-1", "task-2"])
        self.deliver_listing(ended=(EndedTask(2, second, EndKind.DONE),))
        self.assertEqual(self.started_tasks(), ["task-1", "task-2", "task-3"])

    def test_waiting_assignments_start_by_priority(self) -> None:
        self.assign(make_assignment(1), make_assignment(2))
        self.confirm(*self.started)
        self.assign(make_assignment(3), priority=2)
        self.assign(make_assignment(4), priority=0)
        ends = (EndedTask(1, self.started[0].run, EndKind.DONE),)
        self.deliver_listing(self.started[1].run, ended=ends)
        self.assertEqual(self.started_tasks()[2:], ["task-4"])

    def run_one(self, number: int, run_s: float, gap_s: float) -> None:
        """Runs a task whose end is listed after a time without lists."""
        self.assign(make_assignment(number))
        run = self.started[-1]
        self.confirm(run)
        self.clock.advance(run_s)
        self.deliver_listing(run.run)
        self.clock.advance(gap_s)
        self.deliver_listing(ended=(EndedTask(number, run.run, EndKind.DONE),))

    def test_a_target_is_not_slow_because_its_agent_learns_of_ends_late(self) -> None:
        for number in range(1, 5):
            self.run_one(number, run_s=0.08, gap_s=0.3)
        self.executor.tick()
        self.assertEqual(self.executor.quality.slowness, 1.0)
        updates = self.executor.leases.owners[ENTRY.incarnation].updates
        self.assertEqual({update.run_ms for update in updates}, {0.0})

    def test_a_target_whose_tasks_take_longer_is_slow(self) -> None:
        for number in range(1, 5):
            self.run_one(number, run_s=0.36, gap_s=0.04)
        self.executor.tick()
        self.assertAlmostEqual(self.executor.quality.slowness, 4.0)

    def test_recent_ends_are_counted_at_each_tick(self) -> None:
        """Reports to all entries use the counts of the last tick."""
        self.assign(make_assignment(1))
        self.confirm(*self.started)
        self.deliver_listing(ended=(EndedTask(1, self.started[0].run, EndKind.FAILED),))
        self.executor.tick()
        self.assertEqual(self.executor.quality.recent_ends, (1, 1))

    def test_an_assignment_that_may_not_wait_is_returned_at_once(self) -> None:
        """In bursts several entries assign the same free capacity."""
        self.assign(
            make_assignment(1), make_assignment(2), make_assignment(3, wait_ms=0)
        )
        self.assertEqual(self.statuses(), [(3, TaskStatus.NOT_STARTED)])
        self.assertEqual(self.executor.free_capacity().cpu_millis, 0)

    def test_a_resubmitted_task_that_may_not_wait_waits_for_its_earlier_run(
        self,
    ) -> None:
        """Otherwise its entry would send it to the same agent again at once."""
        self.assign(make_assignment(1, "task"))
        self.confirm(*self.started)
        self.assign(make_assignment(7, "task", wait_ms=0), entry=OTHER_ENTRY)
        self.assertEqual(self.statuses(OTHER_ENTRY), [])
        self.clock.advance(EARLIER_RUN_WAIT_S)
        self.executor.tick()
        self.assertEqual(self.statuses(OTHER_ENTRY), [(7, TaskStatus.NOT_STARTED)])

    def test_an_assignment_without_capacity_in_time_is_refused(self) -> None:
        self.assign(make_assignment(1), make_assignment(2), make_assignment(3))
        self.clock.advance(0.05)
        self.executor.tick()
        self.assertEqual(self.statuses(), [(3, TaskStatus.NOT_STARTED)])

    def test_assignments_are_refused_while_the_target_must_not_start_runs(self) -> None:
        cases: dict[str, Callable[[], object]] = {
            "draining": lambda: self.target.apply_report(make_report(2, draining=True)),
            "evacuated": lambda: self.target.apply_evacuations(frozenset([ZONE]), 2),
            "shutting down": lambda: setattr(self.target, "is_shutting_down", True),
            "unprepared": lambda: setattr(self.target, "is_prepared", False),
        }
        for name, change in cases.items():
            with self.subTest(name):
                self.setUp()
                change()
                self.assign(make_assignment(1))
                self.assertEqual(self.started, [])
                self.assertEqual(self.statuses(), [(1, TaskStatus.NOT_STARTED)])

    def test_a_waiting_assignment_does_not_start_after_the_zone_is_evacuated(
        self,
    ) -> None:
        self.assign(
            make_assignment(1), make_assignment(2), make_assignment(3, wait_ms=1000)
        )
        self.confirm(*self.started)
        self.target.apply_evacuations(frozenset([ZONE]), 2)
        ends = (EndedTask(1, self.started[0].run, EndKind.DONE),)
        self.deliver_listing(self.started[1].run, ended=ends)
        self.assertEqual(len(self.started), 2)
        self.assertIn((3, TaskStatus.NOT_STARTED), self.statuses())

    def test_an_assignment_older_than_the_owners_lease_is_refused(self) -> None:
        self.assign(make_assignment(1), echo=self.clock() - OWNER_LEASE_S)
        self.assertEqual(self.started, [])
        self.assertEqual(self.statuses(), [(1, TaskStatus.NOT_STARTED)])

    def test_a_delayed_assignment_of_an_entry_with_a_lease_is_refused(self) -> None:
        self.executor.leases.renew(ENTRY, self.clock())
        self.assign(make_assignment(1), echo=self.clock() - OWNER_LEASE_S)
        self.assertEqual(self.started, [])
        self.assertEqual(self.statuses(), [(1, TaskStatus.NOT_STARTED)])

    def test_a_resent_assignment_starts_once(self) -> None:
        self.assign(make_assignment(1))
        self.assign(make_assignment(1))
        self.confirm(*self.started)
        self.deliver_listing(ended=(EndedTask(1, self.started[0].run, EndKind.DONE),))
        self.assign(make_assignment(1))
        self.assertEqual(self.started_tasks(), ["task-1"])

    def test_a_stop_that_overtakes_its_assignment_prevents_its_start(self) -> None:
        self.executor.handle_stop(ENTRY, [1])
        self.assign(make_assignment(1))
        self.assertEqual(self.started, [])

    def test_a_start_without_reply_is_lost_only_after_a_confirmed_stop(self) -> None:
        """Without a reply the target may run the task now or later."""
        self.assign(make_assignment(1))
        run = self.started[0]
        self.executor.handle_start_outcome(run, 1, StartOutcome.UNKNOWN)
        self.assertEqual(self.stopped, [run.run])
        self.deliver_listing()
        self.assertEqual(self.statuses(), [])
        self.executor.handle_stop_outcome(run.run, TargetFailure.NO_ANSWER)
        self.clock.advance(0.2)
        self.executor.tick()
        self.assertEqual(self.stopped, [run.run, run.run])
        self.executor.handle_stop_outcome(run.run, None)
        self.clock.advance(0.01)
        self.deliver_listing(run.run)
        self.assertEqual(self.statuses(), [])
        self.deliver_listing()
        self.assertEqual(self.statuses(), [(1, TaskStatus.LOST)])

    def test_capacity_is_claimed_until_a_stopped_run_has_ended(self) -> None:
        self.assign(make_assignment(1), make_assignment(2))
        self.confirm(*self.started)
        self.executor.handle_stop(ENTRY, [1])
        self.assign(make_assignment(3, wait_ms=1000))
        self.assertEqual(len(self.started), 2)
        self.executor.handle_stop_outcome(self.started[0].run, None)
        self.deliver_listing(self.started[1].run)
        self.assertEqual(self.started_tasks()[2:], ["task-3"])

    def test_runs_of_a_silent_owner_are_stopped(self) -> None:
        self.assign(make_assignment(1))
        self.confirm(*self.started)
        self.clock.advance(OWNER_LEASE_S)
        self.executor.tick()
        self.assertEqual(self.stopped, [self.started[0].run])

    def test_runs_continue_while_their_owner_renews_its_lease(self) -> None:
        self.assign(make_assignment(1))
        self.confirm(*self.started)
        self.clock.advance(OWNER_LEASE_S - 0.1)
        self.executor.leases.renew(ENTRY, self.clock() - 0.1)
        self.clock.advance(0.2)
        self.executor.tick()
        self.assertEqual(self.stopped, [])

    def test_a_task_resubmitted_through_another_entry_waits_for_the_first_run(
        self,
    ) -> None:
        self.assign(make_assignment(1, "task"))
        self.confirm(*self.started)
        first = self.started[0].run
        self.assign(make_assignment(7, "task", wait_ms=1000), entry=OTHER_ENTRY)
        self.assertEqual(self.stopped, [first])
        self.assertEqual(len(self.started), 1)
        self.executor.handle_stop_outcome(first, None)
        self.deliver_listing()
        self.assertEqual(len(self.started), 2)
        self.assertEqual(self.started[1].run, Run("task", 2))

    def test_a_stale_attempt_number_is_raised(self) -> None:
        self.assign(make_assignment(1))
        run = self.started[0]
        self.executor.handle_start_outcome(run, 1, StartOutcome.STALE_ATTEMPT)
        self.assertEqual(self.started[-1].attempt, 2)

    def test_a_stale_fencing_token_is_raised_and_the_start_is_resent(self) -> None:
        token = self.target.fencing_token
        self.assign(make_assignment(1))
        run = self.started[0]
        self.executor.handle_start_outcome(run, 1, StartOutcome.STALE_TOKEN)
        self.assertGreater(self.target.fencing_token, token)
        self.assertEqual(len(self.started), 2)

    def test_all_runs_are_lost_with_the_target(self) -> None:
        self.assign(make_assignment(1), make_assignment(2))
        self.confirm(*self.started)
        self.executor.handle_target_lost()
        self.assertEqual(
            self.statuses()[-2:], [(1, TaskStatus.LOST), (2, TaskStatus.LOST)]
        )
        self.assertEqual(self.executor.free_capacity().cpu_millis, 2000)

    def test_a_run_that_the_restarted_target_started_is_not_lost(self) -> None:
        """The new incarnation may start runs before the agent learns of it."""
        self.assign(make_assignment(1), make_assignment(2))
        self.confirm(*self.started)
        lost_run, restarted_run = [run.run for run in self.started]
        link = TargetLink(Mock(), self.target, self.clock, self.clock, make_log())
        link.executor = self.executor
        self.target.born_ms = 1
        self.clock.advance(0.1)
        listing = Listing(2, [RunningTask(restarted_run, 10.0)], ())
        link._apply_listing(listing, self.clock())
        self.assertEqual(self.statuses()[-1], (1, TaskStatus.LOST))
        self.assertNotIn((2, TaskStatus.LOST), self.statuses())
        self.assertNotIn(lost_run, self.executor.by_run)
        self.assertIn(restarted_run, self.executor.by_run)

    def test_runs_of_an_earlier_process_are_stopped(self) -> None:
        foreign = Run("foreign", 3)
        self.deliver_listing(foreign)
        self.deliver_listing(foreign)
        self.assertEqual(self.stopped, [foreign])

    def test_a_run_of_an_earlier_process_is_forgotten_with_its_end(self) -> None:
        self.deliver_listing(Run("foreign", 3))
        self.deliver_listing()
        self.assertEqual(self.executor.next_stop_at, {})

    def test_a_restarted_entry_ends_the_runs_of_its_predecessor(self) -> None:
        self.assign(make_assignment(1))
        self.confirm(*self.started)
        successor = make_address("c" * 16)
        self.executor.leases.renew(successor, self.clock())
        self.assertEqual(self.stopped, [self.started[0].run])

    def test_a_run_without_progress_is_ended_so_that_it_starts_elsewhere(self) -> None:
        self.assign(
            make_assignment(1, expected_ms=1000), make_assignment(2, expected_ms=1000)
        )
        self.confirm(*self.started)
        stalled, healthy = (run.run for run in self.started)
        for percent in range(5, 100, 5):
            self.clock.advance(0.05)
            self.executor.leases.renew(ENTRY, self.clock())
            running = [RunningTask(stalled, 10.0), RunningTask(healthy, float(percent))]
            self.executor.handle_listing(Listing(1, running, ()), self.clock())
            self.executor.tick()
        self.assertEqual(self.stopped[0], stalled)
        self.assertNotIn(healthy, self.stopped)
        self.assertEqual(self.executor.quality.target.count(), (1, 1))

    def test_a_run_is_not_moved_while_the_target_is_not_listed(self) -> None:
        self.assign(make_assignment(1))
        self.confirm(*self.started)
        self.deliver_listing(self.started[0].run)
        for _ in range(20):
            self.clock.advance(0.05)
            self.executor.leases.renew(ENTRY, self.clock())
            self.executor.tick()
        self.assertEqual(self.stopped, [])

    def test_a_refused_start_neither_claims_nor_releases_capacity(self) -> None:
        for outcome in StartOutcome:
            if outcome in (StartOutcome.STARTED, StartOutcome.UNKNOWN):
                continue
            with self.subTest(outcome):
                self.setUp()
                self.assign(make_assignment(1, wait_ms=1000))
                for _ in range(10):
                    run = self.started[-1]
                    self.executor.handle_start_outcome(run, run.attempt, outcome)
                    self.clock.advance(0.05)
                    self.executor.leases.renew(ENTRY, self.clock())
                    self.executor.tick()
                self.assertEqual(self.executor.claimed, Resources())

    def test_runs_are_moved_off_a_target_that_is_slower_than_others(self) -> None:
        for median, moved in ((1.0, 2), (6.0, 0)):
            with self.subTest(median):
                self.setUp()
                self.executor.quality.median_slowness = median
                for _ in range(3):
                    self.executor.quality.target.record(
                        self.clock(), is_good=True, run_ms=600, expected_ms=100
                    )
                self.assign(make_assignment(1), make_assignment(2))
                self.confirm(*self.started)
                for percent in range(8, 40, 8):
                    self.clock.advance(0.05)
                    self.executor.leases.renew(ENTRY, self.clock())
                    running = [
                        RunningTask(run.run, float(percent)) for run in self.started
                    ]
                    self.executor.handle_listing(Listing(1, running, ()), self.clock())
                    self.executor.tick()
                self.assertEqual(len(set(self.stopped)), moved)

    def test_each_confirmed_start_is_logged_once(self) -> None:
        self.assign(make_assignment(1))
        self.executor.handle_start_outcome(
            self.started[0], 1, StartOutcome.STALE_ATTEMPT
        )
        self.clock.advance(0.003)
        self.confirm(self.started[1])
        [line] = self.logged(EventName.TASK_STARTED)
        expected = {
            "job": "job",
            "task": "task-1",
            "order": 1,
            "attempt": 2,
            "entry": ENTRY.incarnation,
            "sent_ms": 3.0,
            "lease_ms": 697.0,
        }
        self.assertEqual(line, line | expected)

    def test_a_start_confirmed_after_the_run_was_given_up_is_logged(self) -> None:
        self.assign(make_assignment(1))
        self.executor.handle_target_lost()
        self.confirm(self.started[0])
        self.assertEqual(len(self.logged(EventName.TASK_STARTED)), 1)

    def test_each_cause_of_a_stop_is_logged_once(self) -> None:
        def move() -> None:
            self.executor.quality.should_move = Mock(  # type: ignore[method-assign]
                return_value=True
            )
            self.executor.tick()

        def leave_start_unanswered() -> None:
            run = self.started[0]
            self.executor.handle_start_outcome(run, run.attempt, StartOutcome.UNKNOWN)

        cases: dict[StopCause, Callable[[], object]] = {
            StopCause.OWNER_EXPIRED: lambda: self.clock.advance(OWNER_LEASE_S),
            StopCause.OWNER_REPLACED: lambda: self.executor.leases.renew(
                make_address("c" * 16), self.clock()
            ),
            StopCause.STOP_REQUESTED: lambda: self.executor.handle_stop(ENTRY, [1]),
            StopCause.RESUBMITTED: lambda: self.assign(
                make_assignment(7, "task-1"), entry=OTHER_ENTRY
            ),
            StopCause.MOVED: move,
            StopCause.START_UNANSWERED: leave_start_unanswered,
            StopCause.SHUTTING_DOWN: lambda: self.executor.end_run(
                self.started[0], StopCause.SHUTTING_DOWN
            ),
        }
        for cause, act in cases.items():
            with self.subTest(cause):
                self.setUp()
                self.assign(make_assignment(1))
                self.confirm(*self.started)
                for _ in range(3):
                    act()
                    self.executor.tick()
                lines = self.logged(EventName.TASK_STOPPING)
                self.assertEqual([line["cause"] for line in lines], [cause.value])
                self.assertEqual(lines[0]["entry"], ENTRY.incarnation)

    def test_the_stop_of_an_unknown_run_is_logged_once(self) -> None:
        for _ in range(3):
            self.deliver_listing(Run("foreign", 3))
            self.clock.advance(0.2)
        [line] = self.logged(EventName.TASK_STOPPING)
        expected = {
            "task": "foreign",
            "attempt": 3,
            "cause": StopCause.UNKNOWN_RUN.value,
            "last_listed_ms": 0.0,
        }
        self.assertEqual(line, line | expected)

    def test_the_end_of_a_stopped_run_is_logged_with_its_first_cause(self) -> None:
        self.assign(make_assignment(1))
        self.clock.advance(0.01)
        self.confirm(*self.started)
        self.deliver_listing(self.started[0].run)
        self.clock.advance(0.02)
        self.executor.handle_stop(ENTRY, [1])
        self.executor.end_run(self.started[0], StopCause.SHUTTING_DOWN)
        self.clock.advance(0.04)
        ends = (EndedTask(1, self.started[0].run, EndKind.OTHER),)
        self.deliver_listing(ended=ends)
        causes = [line["cause"] for line in self.logged(EventName.TASK_STOPPING)]
        self.assertEqual(causes, ["stop_requested", "shutting_down"])
        [line] = self.logged(EventName.TASK_RUN)
        expected = {
            "entry": ENTRY.incarnation,
            "attempt": 1,
            "status": "lost",
            "sent_ms": 70.0,
            "run_ms": 60.0,
            "last_listed_ms": 60.0,
            "cause": "stop_requested",
            "stopping_ms": 40.0,
        }
        self.assertEqual(line, line | expected)

    def test_the_end_of_a_run_that_was_not_stopped_has_no_cause(self) -> None:
        self.assign(make_assignment(1))
        self.confirm(*self.started)
        self.deliver_listing(ended=(EndedTask(1, self.started[0].run, EndKind.DONE),))
        [line] = self.logged(EventName.TASK_RUN)
        self.assertEqual((line["cause"], line["stopping_ms"]), (None, None))

    def test_an_assignment_whose_start_was_refused_has_no_time_of_its_start(
        self,
    ) -> None:
        self.assign(make_assignment(1))
        run = self.started[0]
        self.executor.handle_start_outcome(run, run.attempt, StartOutcome.UNHEALTHY)
        [line] = self.logged(EventName.TASK_RUN)
        self.assertIsNone(line["sent_ms"])
