"""Runs entries' assignments on the agent's target, driven by messages and a clock.

It is designed for many short tasks, sent by several entries at once to a target of
limited capacity. Only the agent calls the target, so it knows the free capacity
exactly. Assignments that do not fit wait for capacity as long as their entry permits,
in order of priority, and are refused after that time.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from ..events import EventName
from ..messages.scheduling import TaskStatus
from ..policy.crash_blame import RunAtCrash
from .attempts import AttemptNumbers
from .crash_records import CrashRecords
from .leases import OWNER_LEASE_S
from .leases import STOP_EFFECT_TIMEOUT_S
from .leases import TARGET_LEASE_S
from .owner_leases import OwnerLeases
from .resources import Resources
from .run_events import record_ended
from .run_events import record_moved
from .run_events import record_started
from .run_events import record_stopping
from .run_events import record_stopping_unknown
from .run_moves import find_move_cause
from .run_quality import RunQuality
from .target_runtime import RETRIED_OUTCOMES
from .target_runtime import EndKind
from .target_runtime import Run
from .target_runtime import StartOutcome
from .target_runtime import TargetFailure
from .task_run import RunPhase
from .task_run import StopCause
from .task_run import TaskRun


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import PeerAddress
    from ..messages.scheduling import JobAssignments
    from ..messages.scheduling import StartTasks
    from .owners import Owner
    from .target_runtime import EndedTask
    from .target_runtime import Listing
    from .target_state import TargetState


# Refused starts after which an assignment is not sent to the target again.
MAX_REFUSED_STARTS = 6
# Pause after the target lacked capacity that the agent had counted as free.
CAPACITY_RETRY_S = 0.02
# How long an assignment may wait for the end of an earlier run of its task.
EARLIER_RUN_WAIT_S = 0.04
# Pause after an unhealthy target refused a start.
UNHEALTHY_PAUSE_S = 0.3
# Time after which an unanswered stop is sent again.
STOP_RESEND_INTERVAL_S = 0.1
MS_PER_S = 1000
LATE_ASSIGNMENT = "the assignment is older than the lease of its entry"
CRASHES_TARGETS = "the task crashes the targets that start it"

END_STATUS = {
    EndKind.DONE: TaskStatus.DONE,
    EndKind.FAILED: TaskStatus.FAILED,
    EndKind.OTHER: TaskStatus.LOST,
}


class TaskExecutor:
    """Tracks all assignments of an agent and starts and stops their runs.

    Attributes:
        leases: The entries that own the assignments.
        quality: Judges the target and its runs.
        crashes: Crashes of targets, and the tasks that may have caused them.
        stop_requested_at: When a stop was first sent for each run that has not ended,
            in seconds of the clock.
        counts: Number of ended assignments by status.
        stop_counts: Number of stopped runs by cause.
    """

    def __init__(
        self,
        *,
        target: TargetState,
        clock: Clock,
        log: EventLog,
        start: Callable[[TaskRun, float], None],
        stop: Callable[[Run], None],
        on_update: Callable[[Owner], None],
    ) -> None:
        """Creates an executor without assignments.

        Args:
            target: The agent's knowledge about its target.
            clock: Clock in seconds that includes the time that the machine was
                suspended.
            log: Event log.
            start: Sends a start with the end of its lease; the outcome is passed to
                ``handle_start_outcome``.
            stop: Sends a stop; the outcome is passed to ``handle_stop_outcome``.
            on_update: Called when an owner has new updates.
        """
        self.target = target
        self.clock = clock
        self.log = log
        self.start = start
        self.stop = stop
        self.on_update = on_update
        self.leases = OwnerLeases(clock, log, self.end_run)
        self.by_run: dict[Run, TaskRun] = {}
        self.by_task: dict[str, TaskRun] = {}
        self.waiting: list[TaskRun] = []
        self.claimed = Resources()
        self.attempts = AttemptNumbers()
        self.quality = RunQuality()
        self.crashes = CrashRecords(clock, log)
        self.paused_until = 0.0
        self.next_stop_at: dict[Run, float] = {}
        self.stop_requested_at: dict[Run, float] = {}
        self.counts: Counter[str] = Counter()
        self.stop_counts: Counter[str] = Counter()

    def free_capacity(self) -> Resources:
        """Returns the capacity less all claims, also those of waiting assignments.

        It is negative if assignments wait for capacity.
        """
        waiting = Resources()
        for run in self.waiting:
            waiting = waiting.plus(run.assignment.demand)
        return self.target.capacity.minus(self.claimed).minus(waiting)

    def has_trial(self) -> bool:
        """Returns whether a run that may have crashed a target is on trial."""
        now = self.clock()
        return any(run.is_on_trial(now) for run in self.by_run.values())

    def list_runs_at(self, at: float, last_reply_at: float) -> list[RunAtCrash]:
        """Returns the runs that may have been at work on the target at a crash.

        A stop may have been confirmed by the next incarnation.

        Args:
            at: When the crash was noticed, in seconds of the clock.
            last_reply_at: When the target was last known to run.
        """
        return [
            RunAtCrash(
                run.assignment.task,
                run.queue,
                at - run.start_sent_at,
                run.is_on_trial(at),
                is_confirmed=bool(run.started_at or run.listed_at),
            )
            for run in self.by_run.values()
            if run.start_sent_at <= at
            and not (run.phase is RunPhase.STOPPED and run.stopped_at <= last_reply_at)
        ]

    def latest_lease_end(self) -> float:
        """Returns until when the lease of the target may extend; infinite without runs.

        The lease covers all runs, so it must not outlast an owner whose runs continue,
        nor a run that does not end although it was stopped.
        """
        ends = [run.owner.lease_until for run in self.by_run.values()]
        ends.extend(self.stop_requested_at.values())
        return min(ends, default=math.inf) + STOP_EFFECT_TIMEOUT_S

    # Assignments.

    def handle_start(self, sender: PeerAddress, message: StartTasks) -> None:
        """Accepts or refuses the assignments of an entry."""
        owner = self.leases.renew(sender, message.echo)
        is_late = self.clock() >= message.echo + OWNER_LEASE_S
        for job in message.jobs:
            self._accept_job_assignments(owner, job, is_late=is_late)
        self.start_waiting()

    def handle_stop(self, sender: PeerAddress, numbers: Iterable[int]) -> None:
        """Ends assignments; one that has not arrived yet will not start."""
        owner = self.leases.find(sender)
        for number in numbers:
            run = owner.runs.get(number)
            if run is not None:
                self.end_run(run, StopCause.STOP_REQUESTED)
            elif number not in owner.ended:
                owner.record_ended(number)
                self._report(owner, number, TaskStatus.NOT_STARTED, 0, 0.0)

    def _accept_job_assignments(
        self, owner: Owner, job: JobAssignments, *, is_late: bool
    ) -> None:
        now = self.clock()
        for assignment in job.assignments:
            owner.assignments_through = max(
                owner.assignments_through, assignment.number
            )
            if owner.has_seen(assignment.number):
                continue
            run = TaskRun(
                owner, assignment, job.job_id, job.queue, job.priority, job.payload, now
            )
            reason = LATE_ASSIGNMENT if is_late else self._find_refusal(owner, now)
            if reason is not None:
                self._refuse(run, reason)
                continue
            if self.crashes.must_give_up(assignment.task):
                self._refuse(run, CRASHES_TARGETS, TaskStatus.REJECTED)
                continue
            run.trial_s = max(
                assignment.trial_ms / MS_PER_S, self.crashes.trial_s(assignment.task)
            )
            owner.runs[assignment.number] = run
            earlier = self.by_task.get(assignment.task)
            if earlier is not None:
                # The caller has resubmitted the job, so nobody uses the earlier run.
                self.end_run(earlier, StopCause.RESUBMITTED)
            self.waiting.append(run)

    def _find_refusal(self, owner: Owner, now: float) -> str | None:
        if now >= owner.lease_until:
            return LATE_ASSIGNMENT
        return self.target.find_refusal(now)

    def _refuse(
        self, run: TaskRun, reason: str, status: TaskStatus = TaskStatus.NOT_STARTED
    ) -> None:
        self.log.record(
            EventName.TASK_REFUSED,
            job=run.job_id,
            task=run.assignment.task,
            order=run.assignment.number,
            reason=reason,
        )
        self._finish(run, status)

    def start_waiting(self) -> None:
        """Starts the assignments that fit, in order of priority and arrival."""
        now = self.clock()
        if not self.waiting or now < self.paused_until:
            return
        self.waiting.sort(key=lambda run: (run.priority, run.arrived_at))
        still_waiting = []
        for run in self.waiting:
            if run.phase is not RunPhase.WAITING:
                continue
            if not self._start_if_possible(run, now):
                still_waiting.append(run)
        self.waiting = still_waiting

    def _start_if_possible(self, run: TaskRun, now: float) -> bool:
        """Starts an assignment if possible and returns whether it no longer waits."""
        reason = self._find_refusal(run.owner, now)
        if reason is not None:
            self._refuse(run, reason)
            return True
        if self.by_task.get(run.assignment.task) is not None:
            if now >= max(run.start_by, run.arrived_at + EARLIER_RUN_WAIT_S):
                self._refuse(run, "an earlier run of the task has not ended in time")
                return True
            return False
        free = self.target.capacity.minus(self.claimed)
        can_start = now < self.latest_lease_end()
        if run.trial_s and self.has_trial():
            can_start = False
        if not can_start or not free.can_fit(run.assignment.demand):
            if now >= run.start_by:
                self._refuse(run, "no room in time")
                return True
            return False
        self._start(run, now)
        return True

    def _start(self, run: TaskRun, now: float) -> None:
        run.attempt = self.attempts.allocate(
            run.assignment.task, run.assignment.attempt
        )
        run.phase = RunPhase.STARTING
        run.start_sent_at = now
        self.by_run[run.run] = run
        self.by_task[run.assignment.task] = run
        self.claimed = self.claimed.plus(run.assignment.demand)
        latest = min(run.owner.lease_until, self.latest_lease_end())
        self.start(run, min(now + TARGET_LEASE_S, latest))

    def handle_start_outcome(
        self,
        run: TaskRun,
        attempt: int,
        outcome: StartOutcome,
        answered_at: float | None = None,
    ) -> None:
        """Handles the target's reply to a start.

        Args:
            run: The assignment.
            attempt: Attempt number of the start.
            outcome: What the target replied.
            answered_at: When the reply arrived, in seconds of the clock; now if not
                given.
        """
        if outcome is StartOutcome.STARTED:
            record_started(self.log, run, attempt, self.clock())
        if run.attempt != attempt or run.phase is RunPhase.ENDED:
            return
        if outcome is StartOutcome.STARTED:
            self._handle_started(
                run, self.clock() if answered_at is None else answered_at
            )
        elif outcome is StartOutcome.UNKNOWN:
            self._record_stop(run, StopCause.START_UNANSWERED)
            self._send_stop(run)
        else:
            self._handle_refused_start(run, outcome)

    def _handle_started(self, run: TaskRun, started_at: float) -> None:
        run.started_at = started_at
        run.last_progress_at = run.started_at
        if run.phase is not RunPhase.STARTING:
            return
        run.phase = RunPhase.RUNNING
        if run.is_cancelled:
            self._send_stop(run)

    def _handle_refused_start(self, run: TaskRun, outcome: StartOutcome) -> None:
        self._release(run)
        run.phase = RunPhase.WAITING
        run.refused_starts += 1
        run.start_sent_at = 0.0
        now = self.clock()
        if outcome is StartOutcome.STALE_TOKEN:
            self.target.raise_token()
        if outcome is StartOutcome.NO_ROOM:
            self.paused_until = now + CAPACITY_RETRY_S
        if outcome is StartOutcome.UNHEALTHY:
            self.target.pause_until(now + UNHEALTHY_PAUSE_S)
        if outcome is StartOutcome.REJECTED:
            self._finish(run, TaskStatus.REJECTED)
            return
        may_retry = (
            outcome in RETRIED_OUTCOMES and run.refused_starts < MAX_REFUSED_STARTS
        )
        if run.is_cancelled or not may_retry:
            self._refuse(run, f"the run was not started: {outcome.value}")
            return
        self.waiting.append(run)
        self.start_waiting()

    # End of runs.

    def end_run(self, run: TaskRun, cause: StopCause) -> None:
        """Cancels an assignment and stops its run."""
        run.is_cancelled = True
        self._record_stop(run, cause)
        if run.phase is RunPhase.WAITING:
            if run in self.waiting:
                self.waiting.remove(run)
            self._finish(run, TaskStatus.NOT_STARTED)
        elif run.phase in (RunPhase.RUNNING, RunPhase.STARTING):
            # A stop also prevents a start that the target has not handled yet.
            self._send_stop(run)

    def _record_stop(self, run: TaskRun, cause: StopCause) -> None:
        now = self.clock()
        if run.add_stop_cause(cause, now) and run.claims_capacity:
            self.stop_counts[cause.value] += 1
            record_stopping(self.log, run, cause, now)

    def _send_stop(self, run: TaskRun) -> None:
        run.phase = RunPhase.STOPPING
        self.stop_requested_at.setdefault(run.run, self.clock())
        self.next_stop_at[run.run] = self.clock() + STOP_RESEND_INTERVAL_S
        self.stop(run.run)

    def handle_stop_outcome(self, run: Run, failure: TargetFailure | None) -> None:
        """Handles the target's reply to a stop."""
        task_run = self.by_run.get(run)
        if task_run is None or task_run.phase is not RunPhase.STOPPING:
            return
        if failure is None:
            self.next_stop_at.pop(run, None)
            task_run.phase = RunPhase.STOPPED
            task_run.stopped_at = self.clock()
        elif failure is TargetFailure.STALE_TOKEN:
            self.target.raise_token()

    def handle_listing(self, listing: Listing, requested_at: float) -> None:
        """Updates the runs from the target's list of running and ended runs.

        Args:
            listing: The target's reply.
            requested_at: When the list was requested, in seconds of the clock.
        """
        self.quality.record_listing(requested_at, self.clock())
        for end in listing.ended:
            self._handle_end(end)
        listed = {running_task.run for running_task in listing.running}
        for running_task in listing.running:
            self._handle_running(running_task.run, running_task.percent, requested_at)
        for run in list(self.by_run.values()):
            if run.run not in listed:
                self._handle_unlisted(run, requested_at)
        for stops in (self.next_stop_at, self.stop_requested_at):
            for key in stops.keys() - listed - self.by_run.keys():
                del stops[key]
        self.start_waiting()

    def _handle_end(self, end: EndedTask) -> None:
        run = self.by_run.get(end.run)
        if run is None:
            return
        self._finish(run, END_STATUS[end.kind])

    def _handle_running(self, key: Run, percent: float, requested_at: float) -> None:
        run = self.by_run.get(key)
        if run is None:
            self._stop_unknown_run(key, requested_at)
            return
        run.listed_at = max(run.listed_at, requested_at)
        if percent != run.percent:
            run.percent = percent
            run.last_progress_at = self.clock()

    def _stop_unknown_run(self, key: Run, requested_at: float) -> None:
        now = self.clock()
        if key not in self.next_stop_at:
            record_stopping_unknown(self.log, key, requested_at, now)
        if now >= self.next_stop_at.get(key, 0.0):
            self.next_stop_at[key] = now + STOP_RESEND_INTERVAL_S
            self.stop_requested_at.setdefault(key, now)
            self.stop(key)

    def _handle_unlisted(self, run: TaskRun, requested_at: float) -> None:
        settled_at = {
            RunPhase.STOPPED: run.stopped_at,
            RunPhase.RUNNING: run.started_at,
        }.get(run.phase)
        if settled_at is not None and settled_at <= requested_at:
            self._finish(run, TaskStatus.LOST)

    def handle_lease_expired(self) -> None:
        """Ends the runs that started under the expired lease of the target as lost.

        A run whose start has no reply may have started on the target's next
        incarnation, under the longest lease that a target grants.
        """
        for run in list(self.by_run.values()):
            if run.started_at:
                self._finish(run, TaskStatus.LOST)

    def handle_target_lost(self) -> None:
        """Ends all runs as lost, because the target's longest lease has expired."""
        for run in list(self.by_run.values()):
            self._finish(run, TaskStatus.LOST)
        self.handle_new_incarnation()

    def handle_new_incarnation(self) -> None:
        """Resets what is only valid for one incarnation of the target.

        The runs stay open until the next listing: the new incarnation may have started
        some of them before the agent learned of it, and does not know earlier stops.
        """
        self.next_stop_at.clear()
        self.attempts = AttemptNumbers()
        for run in self.by_run.values():
            if run.phase is RunPhase.STOPPED and not run.started_at:
                self._send_stop(run)

    def tick(self) -> None:
        """Expires owners, resends stops, moves runs and starts waiting runs.

        A run is moved if it makes no progress, is too slow, or can't end before its
        target does: it is stopped, so that its entry can assign the task to another
        agent.
        """
        now = self.clock()
        self.quality.refresh(now, self.by_run.values())
        self.crashes.drop_expired()
        self.leases.expire_due()
        for run in list(self.by_run.values()):
            due = self.next_stop_at.get(run.run, now)
            if run.phase is RunPhase.STOPPING and now >= due:
                self._send_stop(run)
            elif run.phase is RunPhase.RUNNING:
                self._move_if_needed(run, now)
        self.start_waiting()

    def _move_if_needed(self, run: TaskRun, now: float) -> None:
        cause = find_move_cause(run, self.target, self.quality, now)
        if cause is None:
            return
        if cause is StopCause.MOVED:
            run.is_moved = True
            self.quality.record_moved(run, now)
        progress = self.quality.measure_progress(run)
        remaining_s = self.target.find_remaining_s(now)
        record_moved(self.log, run, progress, cause, remaining_s)
        self.end_run(run, cause)

    def _finish(self, run: TaskRun, status: TaskStatus) -> None:
        if run.phase is RunPhase.ENDED:
            return
        self._release(run)
        now = self.clock()
        began_at = run.started_at
        if status is TaskStatus.DONE and not began_at:
            # Its end was listed before the reply to its start was handled.
            began_at = run.start_sent_at
        run_ms = MS_PER_S * (now - began_at) if began_at else 0.0
        run.phase = RunPhase.ENDED
        self.next_stop_at.pop(run.run, None)
        self.stop_requested_at.pop(run.run, None)
        record_ended(self.log, run, status, run_ms, now)
        if not self.quality.are_ends_timely:
            # The end may have been listed long after the run has ended.
            run_ms = 0.0
        self.quality.record_end(run, status, run_ms, now)
        self.counts[status.value] += 1
        run.owner.record_ended(run.assignment.number)
        self._report(run.owner, run.assignment.number, status, run.attempt, run_ms)

    def _release(self, run: TaskRun) -> None:
        if run.claims_capacity:
            self.claimed = self.claimed.minus(run.assignment.demand)
        if self.by_run.get(run.run) is run:
            del self.by_run[run.run]
        if self.by_task.get(run.assignment.task) is run:
            del self.by_task[run.assignment.task]

    def _report(
        self, owner: Owner, number: int, status: TaskStatus, attempt: int, run_ms: float
    ) -> None:
        owner.add_update(number, status, attempt, round(run_ms, 1))
        self.on_update(owner)
