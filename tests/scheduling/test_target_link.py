"""Tests of the lease that an agent asks of its target, with a fake clock and target.

They guard against a target that goes on running tasks whose owner has failed or has
stopped them, when the calls that stop them have no effect.
"""

from __future__ import annotations

import asyncio
import itertools
import threading
import unittest
from typing import TYPE_CHECKING
from typing import Any
from unittest.mock import Mock

from jackdawkeel.messages.scheduling import JobAssignments
from jackdawkeel.messages.scheduling import StartTasks
from jackdawkeel.messages.scheduling import TaskAssignment
from jackdawkeel.messages.scheduling import TaskStatus
from jackdawkeel.scheduling.leases import MAX_TARGET_LEASE_S
from jackdawkeel.scheduling.leases import REPORT_INTERVAL_S
from jackdawkeel.scheduling.leases import TARGET_LEASE_S
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.target_link import HoldCall
from jackdawkeel.scheduling.target_link import TargetLink
from jackdawkeel.scheduling.target_report import TargetReport
from jackdawkeel.scheduling.target_runtime import Listing
from jackdawkeel.scheduling.target_runtime import Run
from jackdawkeel.scheduling.target_runtime import RunningTask
from jackdawkeel.scheduling.target_runtime import StartOutcome
from jackdawkeel.scheduling.target_runtime import TargetFailure
from jackdawkeel.scheduling.target_state import TargetState
from jackdawkeel.scheduling.task_executor import TaskExecutor
from jackdawkeel.scheduling.task_run import RunPhase
from jackdawkeel.scheduling.task_run import StopCause
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
TICK_S = 0.05
HOLD_INTERVAL_S = 0.1
# Latest end of the runs of a failed owner after its last reply, while its caller waits.
RESUBMISSION_DELAY_S = 1.3
CALL_TIMEOUT_S = 5.0
CLOCK_STEP_S = 1e-6


def make_report() -> TargetReport:
    """Builds a heartbeat of a target with four cores."""
    return TargetReport("target-1", 1, 1, "svc", ZONE, (), Resources(4000, 1024), False)


class FakeTarget:
    """Records the calls of a link, and holds back the replies to stops.

    Attributes:
        lease_until: End of the lease of all runs, in seconds of the agent's clock.
        running: The runs that it lists.
        stops: The stops that it received.
        stops_may_end: Set to let stops return.
        lost_starts: Tasks whose starts get no reply.
    """

    def __init__(self) -> None:
        self.lease_until = 0.0
        self.running: list[Run] = []
        self.stops: list[Run] = []
        self.stops_may_end = threading.Event()
        self.lost_starts: set[str] = set()

    def start(
        self, run: Run, _payload: str, lease_until: float, _fencing_token: int
    ) -> StartOutcome:
        self.lease_until = max(self.lease_until, lease_until)
        self.running.append(run)
        is_lost = run.task in self.lost_starts
        return StartOutcome.UNKNOWN if is_lost else StartOutcome.STARTED

    def stop(self, run: Run, _fencing_token: int) -> TargetFailure | None:
        self.stops.append(run)
        self.stops_may_end.wait(CALL_TIMEOUT_S)
        return TargetFailure.NO_ANSWER

    def hold(
        self,
        lease_until: float | None,
        _fencing_token: int,
        _acknowledged: int,
        _wait_s: float,
    ) -> Listing:
        self.lease_until = max(self.lease_until, lease_until or 0.0)
        return Listing(1, [RunningTask(run, 10.0) for run in self.running], ())

    def set_instance(self, instance: str) -> None:
        """Ignores the instance."""

    def close(self) -> None:
        """Has no connections."""


class TargetLinkTestCase(unittest.TestCase):
    """Base of the tests of a link, an executor and a target."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.suspended_s = 0.0
        self.target = TargetState(ZONE, self.clock, make_log())
        self.target.apply_report(make_report())
        self.target.apply_evacuations(frozenset(), 1)
        self.target.is_prepared = True
        self.runtime = FakeTarget()
        self.link = TargetLink(
            self.runtime, self.target, self.clock, self.steady_clock, make_log()
        )
        self.executor = TaskExecutor(
            target=self.target,
            clock=self.clock,
            log=make_log(),
            start=self.start,
            stop=lambda _run: None,
            on_update=lambda _owner: None,
        )
        self.link.executor = self.executor

    def steady_clock(self) -> float:
        """Returns the time without that in which the VM was suspended."""
        return self.clock() - self.suspended_s

    def start(self, run: TaskRun, lease_until: float) -> None:
        """Starts a run on the target at once."""
        self.link.lease_until = max(self.link.lease_until, lease_until)
        self.runtime.start(run.run, "", lease_until, 0)

    def assign(self, number: int, entry: PeerAddress = ENTRY) -> TaskRun:
        """Starts a task of an entry, and confirms its start."""
        self.send_assignment(number, entry)
        run = self.executor.by_task[f"task-{number}"]
        self.executor.handle_start_outcome(run, run.attempt, StartOutcome.STARTED)
        return run

    def send_assignment(self, number: int, entry: PeerAddress) -> None:
        """Delivers an assignment, which may not start."""
        assignment = TaskAssignment(
            number, f"task-{number}", 1, CORE, 40, 100, may_move=False
        )
        job = JobAssignments("job", "queue", 0, "payload", [assignment])
        self.executor.handle_start(entry, StartTasks(self.clock(), [job]))

    def renew_lease(self) -> None:
        """Renews the target's lease and processes its list of runs."""
        now = self.clock()
        listing = self.runtime.hold(self.link.choose_lease_end(now), 0, 0, 0.0)
        self.link._apply_listing(listing, now)

    def elapse(self, seconds: float, *beating: PeerAddress) -> None:
        """Lets time pass, with ticks, holds, and beats of some entries."""
        steps = round(seconds / TICK_S)
        for step in range(1, steps + 1):
            self.clock.advance(TICK_S)
            if step % round(REPORT_INTERVAL_S / TICK_S) == 0:
                for entry in beating:
                    self.executor.leases.renew(entry, self.clock())
            self.executor.tick()
            if step % round(HOLD_INTERVAL_S / TICK_S) == 0:
                self.renew_lease()


class TargetLeaseTest(TargetLinkTestCase):
    def test_lease_is_not_renewed_if_stops_of_an_expired_owner_have_no_effect(
        self,
    ) -> None:
        self.assign(1)
        failed_at = self.clock()
        self.elapse(2 * RESUBMISSION_DELAY_S)
        self.assertLess(self.runtime.lease_until, failed_at + RESUBMISSION_DELAY_S)

    def test_lease_is_not_renewed_if_the_stop_of_an_assignment_has_no_effect(
        self,
    ) -> None:
        self.assign(1)
        self.elapse(1.0, ENTRY)
        self.executor.handle_stop(ENTRY, [1])
        stopped_at = self.clock()
        self.elapse(2 * RESUBMISSION_DELAY_S, ENTRY)
        self.assertLessEqual(self.runtime.lease_until, stopped_at + TARGET_LEASE_S)

    def test_lease_is_not_renewed_if_the_stop_of_an_unknown_run_has_no_effect(
        self,
    ) -> None:
        self.assign(1)
        self.runtime.running.append(Run("unknown", 1))
        started_at = self.clock()
        self.elapse(2 * RESUBMISSION_DELAY_S, ENTRY)
        self.assertLess(self.runtime.lease_until, started_at + RESUBMISSION_DELAY_S)

    def test_a_start_does_not_extend_the_lease_of_a_run_that_does_not_stop(
        self,
    ) -> None:
        self.assign(1, OTHER_ENTRY)
        failed_at = self.clock()
        for number in range(2, 5):
            self.elapse(0.4, ENTRY)
            self.send_assignment(number, ENTRY)
        self.assertLess(self.runtime.lease_until, failed_at + RESUBMISSION_DELAY_S)

    def test_lease_is_renewed_in_full_while_an_owner_misses_one_beat(self) -> None:
        self.assign(1)
        self.renew_lease()
        for _ in range(4):
            self.elapse(2 * REPORT_INTERVAL_S)
            self.assertAlmostEqual(
                self.runtime.lease_until, self.clock() + TARGET_LEASE_S
            )
            self.executor.leases.renew(ENTRY, self.clock())

    def test_lease_of_others_lasts_while_the_runs_of_a_failed_owner_stop(self) -> None:
        self.assign(1)
        failed = self.assign(2, OTHER_ENTRY)
        while failed.run in self.executor.by_run:
            self.elapse(HOLD_INTERVAL_S, ENTRY)
            self.executor.leases.renew(ENTRY, self.clock())
            self.assertGreater(self.runtime.lease_until, self.clock() + HOLD_INTERVAL_S)
            if failed.phase is RunPhase.STOPPING:
                self.executor.handle_stop_outcome(failed.run, None)
                self.runtime.running.remove(failed.run)
        self.renew_lease()
        self.assertAlmostEqual(self.runtime.lease_until, self.clock() + TARGET_LEASE_S)

    def test_tasks_of_a_restarted_entry_start_while_those_of_its_predecessor_stop(
        self,
    ) -> None:
        earlier = self.assign(1)
        self.elapse(0.4, ENTRY)
        self.assign(2, make_address("c" * 16))
        self.assertIs(earlier.phase, RunPhase.STOPPING)
        self.assertEqual(len(self.runtime.running), 2)


class TargetRestartTest(TargetLinkTestCase):
    """The target restarts under its id, and starts runs before its agent notices."""

    def deliver_listing(self, born_ms: int, *running: Run) -> None:
        listing = Listing(born_ms, [RunningTask(run, 10.0) for run in running], ())
        self.link._apply_listing(listing, self.clock())

    def statuses(self) -> list[tuple[int, str]]:
        updates = self.executor.leases.owners[ENTRY.incarnation].updates
        return [(update.number, update.status) for update in updates]

    def fail_calls_until(self, time: float) -> None:
        """Lets holds fail, while the owner renews its lease."""
        while self.clock() < time - TICK_S / 2:
            self.clock.advance(TICK_S)
            self.executor.leases.renew(ENTRY, self.clock())
            self.executor.tick()
            self.link._handle_failure(TargetFailure.NO_ANSWER)

    def test_a_run_stopped_on_the_previous_incarnation_is_stopped_on_the_next_one(
        self,
    ) -> None:
        self.deliver_listing(1)
        self.send_assignment(1, ENTRY)
        run = self.executor.by_task["task-1"]
        self.executor.handle_start_outcome(run, run.attempt, StartOutcome.UNKNOWN)
        self.executor.handle_stop_outcome(run.run, None)
        self.clock.advance(TICK_S)
        self.deliver_listing(2)
        self.assertEqual(self.statuses(), [])
        self.executor.handle_stop_outcome(run.run, None)
        self.clock.advance(TICK_S)
        self.deliver_listing(2)
        self.assertEqual(self.statuses(), [(1, TaskStatus.LOST)])

    def test_late_calls_to_the_previous_incarnation_have_a_stale_token(self) -> None:
        self.deliver_listing(1)
        token = self.target.fencing_token
        self.deliver_listing(2)
        self.assertGreater(self.target.fencing_token, token)

    def test_a_start_without_reply_is_not_lost_before_the_longest_lease(self) -> None:
        self.deliver_listing(1)
        self.send_assignment(1, ENTRY)
        run = self.executor.by_task["task-1"]
        started_at = self.clock()
        self.executor.handle_start_outcome(run, run.attempt, StartOutcome.UNKNOWN)
        self.fail_calls_until(started_at + MAX_TARGET_LEASE_S)
        self.assertEqual(self.statuses(), [])
        self.fail_calls_until(started_at + 2 * MAX_TARGET_LEASE_S)
        self.assertEqual(self.statuses(), [(1, TaskStatus.LOST)])

    def test_a_run_after_a_restart_is_not_lost_before_the_longest_lease(self) -> None:
        self.deliver_listing(1)
        self.clock.advance(TICK_S)
        self.deliver_listing(2)
        restarted_at = self.clock()
        self.assign(1)
        self.fail_calls_until(restarted_at + MAX_TARGET_LEASE_S)
        self.assertEqual(self.statuses(), [])
        self.fail_calls_until(restarted_at + 2 * MAX_TARGET_LEASE_S)
        self.assertEqual(self.statuses(), [(1, TaskStatus.LOST)])

    def test_a_confirmed_run_is_lost_with_its_lease(self) -> None:
        self.deliver_listing(1)
        self.assign(1)
        lease_until = self.runtime.lease_until
        self.fail_calls_until(lease_until)
        self.assertEqual(self.statuses(), [])
        self.fail_calls_until(lease_until + 2 * TICK_S)
        self.assertEqual(self.statuses(), [(1, TaskStatus.LOST)])


class PauseTest(TargetLinkTestCase):
    """The VM of the agent and its target is suspended while a run is at work."""

    def setUp(self) -> None:
        super().setUp()
        self.link.loop = Mock()

    def test_runs_are_not_lost_while_the_suspended_target_may_run_them(self) -> None:
        """Guards against a run that is reported as lost and goes on."""
        self.renew_lease()
        self.assign(1)
        lease_s = self.runtime.lease_until - self.clock()
        call = HoldCall(self.clock(), None, HOLD_INTERVAL_S)
        self.clock.advance(2.5)
        self.link._handle_hold(call, TargetFailure.NO_ANSWER)
        self.assertEqual(len(self.executor.by_run), 1)
        resumed_at = self.clock()
        while self.executor.by_run and self.clock() < resumed_at + 1.0:
            self.clock.advance(TICK_S)
            self.link.tick()
            self.link._handle_hold(call, TargetFailure.NO_ANSWER)
        self.assertEqual(len(self.executor.by_run), 0)
        self.assertGreaterEqual(self.clock(), resumed_at + lease_s)

    def test_a_lease_that_was_requested_before_a_pause_may_be_granted_after_it(
        self,
    ) -> None:
        """Guards against a run that is lost under a renewal that the pause delayed."""
        self.renew_lease()
        self.assign(1)
        self.elapse(0.2, ENTRY)
        now = self.clock()
        call = HoldCall(now, now + TARGET_LEASE_S, HOLD_INTERVAL_S)
        self.clock.advance(2.5)
        self.link.tick()
        self.link._handle_hold(call, TargetFailure.NO_ANSWER)
        resumed_at = self.clock()
        while self.clock() < resumed_at + TARGET_LEASE_S:
            self.assertEqual(len(self.executor.by_run), 1)
            self.clock.advance(TICK_S)
            self.link._handle_hold(call, TargetFailure.UNREACHABLE)

    def fail_after_pauses(
        self, pause_s: float, *, is_steady_clock_paused: bool
    ) -> None:
        """Lets a call fail after each of several pauses of the VM."""
        for _ in range(6):
            now = self.clock()
            call = HoldCall(now, None, HOLD_INTERVAL_S)
            self.clock.advance(pause_s)
            if is_steady_clock_paused:
                self.suspended_s += pause_s
            self.link._handle_hold(call, TargetFailure.NO_ANSWER)

    def test_runs_are_not_lost_in_short_pauses_that_repeat(self) -> None:
        """Guards against a lease that expires in pauses in which the target stands."""
        self.renew_lease()
        self.assign(1)
        self.fail_after_pauses(0.25, is_steady_clock_paused=False)
        self.assertEqual(len(self.executor.by_run), 1)

    def test_runs_are_not_lost_in_suspensions_that_no_tick_notices(self) -> None:
        """Guards against the same in pauses that are shorter than two ticks."""
        self.renew_lease()
        self.assign(1)
        self.fail_after_pauses(0.12, is_steady_clock_paused=True)
        self.assertEqual(len(self.executor.by_run), 1)

    def test_a_lease_after_a_pause_counts_from_its_request(self) -> None:
        """Guards against runs that are lost late by the length of an earlier pause."""
        self.clock.advance(2.5)
        run = self.assign(1)
        self.link.lease_until = 0.0
        self.link.start(run, self.clock() + TARGET_LEASE_S)
        for _ in range(round(TARGET_LEASE_S / TICK_S) + 2):
            self.link._handle_failure(TargetFailure.NO_ANSWER)
            self.clock.advance(TICK_S)
        self.assertEqual(len(self.executor.by_run), 0)


class RefusedRenewalTest(TargetLinkTestCase):
    """The target has crashed: it refuses connections, or does not reply."""

    def setUp(self) -> None:
        super().setUp()
        self.link.loop = Mock()

    def fail_holds(self, failure: TargetFailure, seconds: float) -> None:
        """Lets renewals fail, while the owner renews its lease."""
        for _ in range(round(seconds / TICK_S)):
            now = self.clock()
            self.executor.leases.renew(ENTRY, now)
            call = HoldCall(now, self.link.choose_lease_end(now), HOLD_INTERVAL_S)
            self.clock.advance(TICK_S)
            self.link._handle_hold(call, failure)

    def test_refused_renewals_do_not_delay_the_loss_of_runs(self) -> None:
        self.renew_lease()
        self.assign(1)
        self.fail_holds(TargetFailure.UNREACHABLE, TARGET_LEASE_S - TICK_S)
        self.assertEqual(len(self.executor.by_run), 1)
        self.fail_holds(TargetFailure.UNREACHABLE, 3 * TICK_S)
        self.assertEqual(len(self.executor.by_run), 0)

    def test_renewals_without_a_reply_may_have_extended_the_lease(self) -> None:
        self.renew_lease()
        self.assign(1)
        lost_at = self.clock() + HOLD_INTERVAL_S + TARGET_LEASE_S
        self.fail_holds(TargetFailure.NO_ANSWER, HOLD_INTERVAL_S + TICK_S)
        self.fail_holds(TargetFailure.UNREACHABLE, lost_at - self.clock())
        self.assertEqual(len(self.executor.by_run), 1)


class StrictClock(FakeClock):
    """A clock of which no two readings are equal; threads may read it."""

    def __init__(self) -> None:
        super().__init__()
        self.readings = itertools.count(1)

    def __call__(self) -> float:
        return self.now + CLOCK_STEP_S * next(self.readings)


class CallsTest(unittest.IsolatedAsyncioTestCase):
    """Calls on threads, some of which get no reply.

    They guard against starts that a start without a reply delays or drops, and against
    starts that run after their lease.
    """

    def setUp(self) -> None:
        self.clock = StrictClock()
        self.target = TargetState(ZONE, self.clock, make_log())
        self.runtime = FakeTarget()
        self.link = TargetLink(
            self.runtime, self.target, self.clock, self.clock, make_log()
        )
        self.link.executor = self.executor = TaskExecutor(
            target=self.target,
            clock=self.clock,
            log=make_log(),
            start=self.link.start,
            stop=self.link.stop,
            on_update=lambda _owner: None,
        )
        self.target.apply_report(make_report())
        self.target.apply_evacuations(frozenset(), 1)
        self.target.is_prepared = True

    def assign(self, count: int) -> list[TaskRun]:
        """Delivers assignments in one message."""
        assignments = [
            TaskAssignment(number, f"task-{number}", 1, CORE, 40, 100, may_move=False)
            for number in range(1, count + 1)
        ]
        job = JobAssignments("job", "queue", 0, "payload", assignments)
        self.executor.handle_start(ENTRY, StartTasks(self.clock(), [job]))
        return [self.executor.by_task[item.task] for item in assignments]

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0)

    async def test_starts_after_one_without_a_reply_are_sent(self) -> None:
        self.runtime.lost_starts = {"task-1", "task-3"}
        with self.link:
            runs = self.assign(4)
            expected = [RunPhase.STOPPING, RunPhase.RUNNING] * 2
            await self.wait_for(lambda: [run.phase for run in runs] == expected)
            self.assertEqual(len(self.runtime.running), 4)
            self.runtime.stops_may_end.set()

    async def test_a_start_whose_lease_ends_before_it_is_sent_is_not_sent(self) -> None:
        with self.link:
            [run] = self.assign(1)
            first = run.run
            self.clock.advance(TARGET_LEASE_S)
            await self.wait_for(lambda: run.refused_starts > 0)
            self.assertNotIn(first, self.runtime.running)

    async def test_a_start_that_is_stopped_before_it_is_sent_is_not_sent(self) -> None:
        self.runtime.stops_may_end.set()
        with self.link:
            first, second = self.assign(2)
            stopped = second.run
            self.executor.end_run(second, StopCause.STOP_REQUESTED)
            await self.wait_for(lambda: second.phase is RunPhase.ENDED)
            await self.wait_for(lambda: first.phase is RunPhase.RUNNING)
            self.assertNotIn(stopped, self.runtime.running)

    async def test_a_run_begins_when_its_own_start_is_answered(self) -> None:
        answered_at = {}
        start = self.runtime.start

        def start_slowly(run: Run, *arguments: Any) -> StartOutcome:
            self.clock.advance(0.004)
            answered_at[run.task] = self.clock()
            return start(run, *arguments)

        self.runtime.start = start_slowly  # type: ignore[assignment]
        with self.link:
            runs = self.assign(4)
            await self.wait_for(
                lambda: all(run.phase is RunPhase.RUNNING for run in runs)
            )
            for run in runs:
                lag_s = run.started_at - answered_at[run.assignment.task]
                self.assertLess(lag_s, 0.004)

    async def test_a_run_has_at_most_one_pending_stop_call(self) -> None:
        run, other = Run("task", 1), Run("other", 1)
        with self.link:
            for _ in range(3):
                self.link.stop(run)
            self.link.stop(other)
            await self.wait_for(lambda: other in self.runtime.stops)
            self.assertEqual(self.runtime.stops.count(run), 1)
            self.runtime.stops_may_end.set()
            async with asyncio.timeout(CALL_TIMEOUT_S):
                while self.runtime.stops.count(run) < 2:
                    self.link.stop(run)
                    await asyncio.sleep(0)
