"""Calls an agent's target: renews its lease, lists its runs, sends starts and stops."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Self

from ..events import EventName
from .crash_watch import CrashWatch
from .leases import MAX_TARGET_LEASE_S
from .leases import TARGET_CLOCK_DRIFT
from .leases import TARGET_LEASE_S
from .running_clock import RunningClock
from .target_runtime import Listing
from .target_runtime import StartOutcome
from .target_runtime import TargetFailure
from .task_run import RunPhase


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..logs import EventLog
    from .target_runtime import Run
    from .target_runtime import TargetRuntime
    from .target_state import TargetState
    from .task_executor import TaskExecutor
    from .task_run import TaskRun


# Maximum wait for the end of a run in one call; a fifth of TARGET_LEASE_S.
HOLD_WAIT_S = 0.1
# A target that is silent for longer gets no further lease; its runs are only listed.
MAX_SILENCE_FOR_RENEWAL_S = 0.6
RETRY_DELAY_S = 0.05
RESTART_DELAY_S = 0.1
# Maximum number of concurrent starts, stops and immediate listings.
CALL_THREADS = 4
# Starts that one thread sends one after the other. Each job for a thread costs two
# thread switches and a wake-up of the event loop; a start takes a few milliseconds.
MAX_STARTS_PER_JOB = 4
# Time after which the remaining starts of a job go to other threads, in seconds; the
# target answers most starts within a few milliseconds.
MAX_JOB_S = 0.01


@dataclass(frozen=True, slots=True)
class StartCall:
    """A start to send to the target.

    Attributes:
        task_run: The assignment.
        run: The run, as the target identifies it.
        lease_until: End of its lease, in seconds of the clock; it is not sent later.
    """

    task_run: TaskRun
    run: Run
    lease_until: float


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """The outcome of a start, and when it was known, in seconds of the clock."""

    call: StartCall
    outcome: StartOutcome
    answered_at: float


@dataclass(frozen=True, slots=True)
class HoldCall:
    """A request to list the runs of the target.

    Attributes:
        requested_at: When it was requested, in seconds of the clock.
        lease_until: End of the lease to request; None for no renewal.
        wait_s: Longest wait for the end of a run, in seconds.
        paused_s: Length of the pauses of this process before the request, in seconds.
    """

    requested_at: float
    lease_until: float | None
    wait_s: float
    paused_s: float = 0.0


class TargetLink:
    """Owns the threads that call the target.

    The threads report to the event loop by callbacks; a future for each call would
    take several iterations of the loop.

    Attributes:
        crashes: Notices crashes of the target.
        running_clock: The clock without the pauses of this process, in which the target
            may have been suspended with it.
        lease_until: Latest end of a lease that the target may have granted, in seconds
            of that clock; a renewal that is under way is not included.
        starts: Starts of this iteration of the event loop, not sent yet.
        is_polling: Whether an immediate listing is pending.
        is_poll_wanted: Whether another one is to follow it.
        after_answer: Called after the executor has handled answers of the target.
    """

    def __init__(
        self,
        runtime: TargetRuntime,
        target: TargetState,
        clock: Clock,
        steady_clock: Clock,
        log: EventLog,
    ) -> None:
        """Creates a link whose threads start when its context is entered.

        Args:
            runtime: Calls the target.
            target: The agent's knowledge about its target.
            clock: Clock in seconds that includes the time that the machine was
                suspended.
            steady_clock: Clock in seconds that need not include it.
            log: Event log.
        """
        self.runtime = runtime
        self.target = target
        self.clock = clock
        self.log = log
        self.running_clock = RunningClock(clock, steady_clock)
        self.executor: TaskExecutor | None = None
        self.crashes = CrashWatch(target, clock, log, self._find_executor)
        self.acknowledged = 0
        self.lease_until = 0.0
        self.last_seen_at = 0.0
        self.pending_stops: set[Run] = set()
        self.starts: list[StartCall] = []
        self.is_polling = False
        self.is_poll_wanted = False
        self.after_answer: Callable[[], None] = lambda: None
        self.is_closed = False

    def __enter__(self) -> Self:
        self.loop = asyncio.get_running_loop()
        self.hold_thread = ThreadPoolExecutor(1, "target-hold")
        self.call_threads = ThreadPoolExecutor(CALL_THREADS, "target-call")
        self.loop.call_soon(self._request_hold)
        return self

    def __exit__(self, *_: object) -> None:
        self.is_closed = True
        self.hold_thread.shutdown(wait=False, cancel_futures=True)
        self.call_threads.shutdown(wait=False, cancel_futures=True)
        self.runtime.close()

    @property
    def tasks(self) -> TaskExecutor:
        """The executor that handles the target's replies."""
        assert self.executor is not None, (
            "the executor is set before the link is entered"
        )
        return self.executor

    def tick(self) -> None:
        """Notices pauses of this process; called at short intervals."""
        self.running_clock()

    def _extend_lease(self, until: float, paused_s: float) -> None:
        """Records a lease that the target may have granted.

        Args:
            until: Its end, in seconds of the clock.
            paused_s: Length of the pauses before it was requested.
        """
        self.lease_until = max(self.lease_until, until - paused_s)

    def _find_executor(self) -> TaskExecutor:
        return self.tasks

    def start(self, run: TaskRun, lease_until: float) -> None:
        """Sends a start and passes its outcome to the executor."""
        self._extend_lease(lease_until, self.running_clock.measure_paused_s())
        if not self.starts:
            self.loop.call_soon(self._send_starts)
        self.starts.append(StartCall(run, run.run, lease_until))

    def _send_starts(self) -> None:
        if self.is_closed:
            return
        starts, self.starts = self.starts, []
        for first in range(0, len(starts), MAX_STARTS_PER_JOB):
            job = starts[first : first + MAX_STARTS_PER_JOB]
            self.call_threads.submit(self._call_starts, job)

    def _call_starts(self, calls: list[StartCall]) -> None:
        began_at = self.clock()
        answers = []
        for number, call in enumerate(calls, 1):
            outcome = self._call_start(call)
            answers.append(StartAnswer(call, outcome, self.clock()))
            if self.clock() > began_at + MAX_JOB_S:
                for other in calls[number:]:
                    self.call_threads.submit(self._call_starts, [other])
                break
        self._run_on_loop(self._handle_start_answers, answers)

    def _call_start(self, call: StartCall) -> StartOutcome:
        run = call.task_run
        if run.phase is not RunPhase.STARTING or run.run != call.run:
            # It was stopped meanwhile. A target that restarts would not know the stop.
            return StartOutcome.STALE_ATTEMPT
        if self.clock() >= call.lease_until:
            return StartOutcome.LEASE_EXPIRED
        token = self.target.fencing_token
        try:
            return self.runtime.start(call.run, run.payload, call.lease_until, token)
        except Exception:
            self.log.record_exception("starting a run")
            return StartOutcome.UNKNOWN

    def _handle_start_answers(self, answers: list[StartAnswer]) -> None:
        for answer in answers:
            try:
                self.tasks.handle_start_outcome(
                    answer.call.task_run,
                    answer.call.run.attempt,
                    answer.outcome,
                    answer.answered_at,
                )
            except Exception:
                # The outcomes of the other starts must not be lost.
                self.log.record_exception("handling the outcome of a start")

    def stop(self, run: Run) -> None:
        """Sends a stop and passes its outcome to the executor.

        It has no effect while an earlier stop of the run is pending.
        """
        if run in self.pending_stops:
            return
        self.pending_stops.add(run)
        self.call_threads.submit(self._call_stop, run)

    def _call_stop(self, run: Run) -> None:
        failure: TargetFailure | None = TargetFailure.NO_ANSWER
        try:
            failure = self.runtime.stop(run, self.target.fencing_token)
        except Exception:
            self.log.record_exception("stopping a run")
        self._run_on_loop(self._handle_stop_outcome, run, failure)

    def _handle_stop_outcome(self, run: Run, failure: TargetFailure | None) -> None:
        self.pending_stops.discard(run)
        task_run = self.tasks.by_run.get(run)
        self.tasks.handle_stop_outcome(run, failure)
        if failure is None and task_run is not None and not task_run.started_at:
            # It may never have begun, and then no end of a run interrupts the pending
            # hold call.
            self._poll_now()

    def _poll_now(self) -> None:
        self.is_poll_wanted = True
        if not self.is_polling:
            self._request_poll()

    def _request_poll(self) -> None:
        self.is_polling = True
        self.is_poll_wanted = False
        call = HoldCall(self.clock(), None, 0.0)
        self.call_threads.submit(self._call_hold, call, self._handle_poll)

    def _handle_poll(self, call: HoldCall, answer: Listing | TargetFailure) -> None:
        self.is_polling = False
        if self.is_poll_wanted:
            self._request_poll()
        if isinstance(answer, Listing):
            self._apply_listing(answer, call.requested_at)

    def _request_hold(self) -> None:
        if self.is_closed:
            return
        try:
            now = self.clock()
            lease_until = self.choose_lease_end(now)
            paused_s = self.running_clock.measure_paused_s()
            call = HoldCall(now, lease_until, HOLD_WAIT_S, paused_s)
            self.hold_thread.submit(self._call_hold, call, self._handle_hold)
        except Exception:
            self.log.record_exception("requesting a listing of the target")
            self.loop.call_later(RESTART_DELAY_S, self._request_hold)

    def _handle_hold(self, call: HoldCall, answer: Listing | TargetFailure) -> None:
        pause_s = 0.0
        if answer is not TargetFailure.UNREACHABLE and call.lease_until is not None:
            self._extend_lease(call.lease_until, call.paused_s)
        try:
            if isinstance(answer, Listing):
                self._apply_listing(answer, call.requested_at)
            else:
                pause_s = RETRY_DELAY_S
                self._handle_failure(answer)
        except Exception:
            self.log.record_exception("handling a listing of the target")
            pause_s = RESTART_DELAY_S
        if pause_s:
            self.loop.call_later(pause_s, self._request_hold)
        else:
            self._request_hold()

    def _call_hold(
        self,
        call: HoldCall,
        handle: Callable[[HoldCall, Listing | TargetFailure], None],
    ) -> None:
        answer: Listing | TargetFailure = TargetFailure.NO_ANSWER
        try:
            answer = self.runtime.hold(
                call.lease_until,
                self.target.fencing_token,
                self.acknowledged,
                call.wait_s,
            )
        except Exception:
            self.log.record_exception("listing the runs of the target")
        self._run_on_loop(handle, call, answer)

    def _run_on_loop(self, handle: Callable[..., None], *arguments: object) -> None:
        """Calls a function on the event loop, from a thread."""

        def handle_answer() -> None:
            handle(*arguments)
            self.after_answer()

        self.loop.call_soon_threadsafe(handle_answer)

    def choose_lease_end(self, now: float) -> float | None:
        """Returns the end of the lease to request now; None for no renewal."""
        is_silent = now >= self.last_seen_at + MAX_SILENCE_FOR_RENEWAL_S
        if is_silent or not self.target.is_prepared:
            return None
        lease_until = min(now + TARGET_LEASE_S, self.tasks.latest_lease_end())
        return lease_until if lease_until > now else None

    def _apply_listing(self, listing: Listing, requested_at: float) -> None:
        is_other_incarnation = listing.born_ms != self.target.born_ms
        if is_other_incarnation and requested_at < self.last_seen_at:
            # A later call has already reached the next incarnation of the target.
            return
        self.last_seen_at = max(self.last_seen_at, requested_at)
        self.target.set_reachable(True)
        self.crashes.record_listing(listing.born_ms)
        if is_other_incarnation:
            self._begin_incarnation(listing.born_ms)
        self.tasks.handle_listing(listing, requested_at)
        numbers = [end.number for end in listing.ended]
        self.acknowledged = max([self.acknowledged, *numbers])
        if not self.target.is_prepared and not listing.running:
            self.target.is_prepared = True

    def _begin_incarnation(self, born_ms: int) -> None:
        if self.target.born_ms:
            self.log.record(EventName.TARGET_GONE, born_ms=self.target.born_ms)
            # Earlier calls that are carried out late are refused from the next call on.
            self.target.fencing_token += 1
            self.lease_until = max(
                self.lease_until, self.running_clock() + MAX_TARGET_LEASE_S
            )
            self.tasks.handle_new_incarnation()
        self.target.born_ms = born_ms
        self.acknowledged = 0

    def _handle_failure(self, failure: TargetFailure) -> None:
        if failure is TargetFailure.STALE_TOKEN:
            self.target.raise_token()
            return
        self.crashes.record_failure()
        is_refused = failure is TargetFailure.UNREACHABLE
        silent_s = self.clock() - self.last_seen_at
        if silent_s > MAX_SILENCE_FOR_RENEWAL_S or is_refused:
            self.target.set_reachable(False, failure.value)
        drift_s = TARGET_CLOCK_DRIFT * (TARGET_LEASE_S + MAX_SILENCE_FOR_RENEWAL_S)
        expired_s = self.running_clock() - self.lease_until - drift_s
        if expired_s > 0:
            self.crashes.record_lost_runs(is_refused=is_refused)
        if expired_s > MAX_TARGET_LEASE_S - TARGET_LEASE_S and self.tasks.by_run:
            # A restarted target, too, has ended all runs.
            self.tasks.handle_target_lost()
        elif expired_s > 0:
            self.tasks.handle_lease_expired()
