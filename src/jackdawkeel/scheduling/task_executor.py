"""Runs the orders of entries on the agent's target, driven by messages and a clock.

Load it answers: many short tasks from several entries at once on a target that takes
only what fits. The agent alone calls the target, so it knows the room exactly; orders
without room wait a short time in order of priority, and are then handed back.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..events import EventName
from ..messages.scheduling import TaskStatus
from ..policy.progress import Progress
from ..policy.progress import has_stalled
from ..policy.progress import is_too_slow
from ..policy.progress import project_run_s
from ..policy.progress import project_slowness
from .attempts import AttemptNumbers
from .leases import OWNER_LEASE_S
from .leases import TARGET_LEASE_S
from .owners import Owner
from .resources import Resources
from .target_quality import TargetQuality
from .target_runtime import EndKind
from .target_runtime import Run
from .target_runtime import StartOutcome
from .target_runtime import TargetFailure
from .task_run import RunPhase
from .task_run import TaskRun


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import PeerAddress
    from ..messages.scheduling import JobOrders
    from ..messages.scheduling import StartTasks
    from .target_runtime import EndedTask
    from .target_runtime import Listing
    from .target_state import TargetState


# Starts of one order that the target may refuse without having run anything.
MAX_TRIES = 6
# Pause after the target lacked room that the agent believed to be there.
ROOM_RETRY_S = 0.02
# Pause after an unhealthy target refused a start.
UNHEALTHY_PAUSE_S = 0.3
# Time between two sends of a stop that was not answered.
STOP_RETRY_S = 0.1
# Silent owners without orders are forgotten after this time.
FORGET_OWNER_S = 30.0
MS_PER_S = 1000

END_STATUS = {
    EndKind.DONE: TaskStatus.DONE,
    EndKind.FAILED: TaskStatus.FAILED,
    EndKind.OTHER: TaskStatus.LOST,
}
# Outcomes after which the same order may be sent to the target again.
RETRIED_OUTCOMES = frozenset(
    {
        StartOutcome.STALE_ATTEMPT,
        StartOutcome.STALE_TOKEN,
        StartOutcome.LEASE_EXPIRED,
        StartOutcome.NO_ROOM,
    }
)


class TaskExecutor:
    """Keeps all orders of an agent and decides when each is started or stopped."""

    def __init__(
        self,
        *,
        target: TargetState,
        clock: Clock,
        log: EventLog,
        start: Callable[[TaskRun, float], None],
        stop: Callable[[Run], None],
        changed: Callable[[Owner], None],
    ) -> None:
        """Creates the controller.

        Args:
            target: What is known of the target.
            clock: Clock in seconds that counts suspensions.
            log: Event log.
            start: Sends a start with the end of its lease; the outcome comes back
                through ``handle_start_outcome``.
            stop: Sends a stop; the outcome comes back through
                ``handle_stop_outcome``.
            changed: Called when an owner has new updates.
        """
        self.target = target
        self.clock = clock
        self.log = log
        self.start = start
        self.stop = stop
        self.changed = changed
        self.owners: dict[str, Owner] = {}
        self.by_run: dict[Run, TaskRun] = {}
        self.by_task: dict[str, TaskRun] = {}
        self.waiting: list[TaskRun] = []
        self.claimed = Resources()
        self.attempts = AttemptNumbers()
        self.quality = TargetQuality()
        self.paused_until = 0.0
        self.listed_at = 0.0
        self.usual_slowness = 1.0
        self.next_stop_at: dict[Run, float] = {}
        self.counts: Counter[str] = Counter()

    # Owners.

    def renew_owner(self, address: PeerAddress, echo: float) -> Owner:
        """Renews the lease of an owner by the time of the report that it echoes."""
        owner = self._find_owner(address)
        owner.heard_at = self.clock()
        owner.fresh_until = max(owner.fresh_until, echo + OWNER_LEASE_S)
        if owner.is_silent and owner.fresh_until > owner.heard_at:
            owner.is_silent = False
            self.log.record(EventName.OWNER_HEARD, entry=address.incarnation)
        return owner

    def _find_owner(self, address: PeerAddress) -> Owner:
        owner = self.owners.get(address.incarnation)
        if owner is not None:
            return owner
        self._end_predecessors(address)
        owner = Owner(address, fresh_until=0.0, heard_at=self.clock())
        self.owners[address.incarnation] = owner
        self.log.record(
            EventName.OWNER_HEARD, entry=address.incarnation, link=address.link
        )
        return owner

    def _end_predecessors(self, address: PeerAddress) -> None:
        for owner in self.owners.values():
            if owner.address.link == address.link:
                owner.fresh_until = 0.0
                self._end_silent_owner(owner)

    def free_capacity(self) -> Resources:
        """Returns what no order claims; negative if orders wait for room."""
        waiting = Resources()
        for run in self.waiting:
            waiting = waiting.plus(run.order.demand)
        return self.target.capacity.minus(self.claimed).minus(waiting)

    # Orders.

    def handle_start(self, sender: PeerAddress, message: StartTasks) -> None:
        """Takes the orders of an entry."""
        owner = self.renew_owner(sender, message.echo)
        for job in message.jobs:
            self._take_job_orders(owner, job)
        self.start_waiting()

    def handle_stop(self, sender: PeerAddress, numbers: Iterable[int]) -> None:
        """Ends orders of an entry; one that has not come yet will not start."""
        owner = self._find_owner(sender)
        for number in numbers:
            run = owner.runs.get(number)
            if run is not None:
                self.end_run(run)
            elif number not in owner.ended:
                owner.note_ended(number)
                self._report(owner, number, TaskStatus.NOT_STARTED, 0, 0.0)

    def _take_job_orders(self, owner: Owner, job: JobOrders) -> None:
        now = self.clock()
        for order in job.orders:
            owner.orders_through = max(owner.orders_through, order.number)
            if owner.knows(order.number):
                continue
            run = TaskRun(
                owner, order, job.job_id, job.queue, job.priority, job.payload, now
            )
            reason = self._find_refusal(owner, now)
            if reason is not None:
                self._refuse(run, reason)
                continue
            owner.runs[order.number] = run
            earlier = self.by_task.get(order.task)
            if earlier is not None:
                # The caller sent the job again: its former run serves nobody.
                self.end_run(earlier)
            self.waiting.append(run)

    def _find_refusal(self, owner: Owner, now: float) -> str | None:
        if now >= owner.fresh_until:
            return "the order is older than the lease of its entry"
        return self.target.find_refusal(now)

    def _refuse(self, run: TaskRun, reason: str) -> None:
        self.log.record(
            EventName.TASK_REFUSED,
            job=run.job_id,
            task=run.order.task,
            order=run.order.number,
            reason=reason,
        )
        self._finish(run, TaskStatus.NOT_STARTED)

    def start_waiting(self) -> None:
        """Starts the orders that fit, in order of priority and arrival."""
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
        """Returns whether the order has left the list of those that wait."""
        reason = self._find_refusal(run.owner, now)
        if reason is not None:
            self._refuse(run, reason)
            return True
        earlier = self.by_task.get(run.order.task)
        free = self.target.capacity.minus(self.claimed)
        if earlier is not None or not free.holds(run.order.demand):
            if now >= run.start_by:
                self._refuse(run, "no room in time")
                return True
            return False
        self._start(run, now)
        return True

    def _start(self, run: TaskRun, now: float) -> None:
        run.attempt = self.attempts.take(run.order.task, run.order.attempt)
        run.phase = RunPhase.STARTING
        self.by_run[run.run] = run
        self.by_task[run.order.task] = run
        self.claimed = self.claimed.plus(run.order.demand)
        self.start(run, min(now + TARGET_LEASE_S, run.owner.fresh_until))

    def handle_start_outcome(
        self, run: TaskRun, attempt: int, outcome: StartOutcome
    ) -> None:
        """Takes the target's answer to a start."""
        if run.attempt != attempt or run.phase is RunPhase.ENDED:
            return
        if outcome is StartOutcome.STARTED:
            self._note_started(run)
        elif outcome is StartOutcome.UNKNOWN:
            self._send_stop(run)
        else:
            self._note_not_started(run, outcome)

    def _note_started(self, run: TaskRun) -> None:
        run.started_at = self.clock()
        run.advanced_at = run.started_at
        if run.phase is not RunPhase.STARTING:
            return
        run.phase = RunPhase.RUNNING
        if run.is_unwanted:
            self._send_stop(run)
            return
        number = run.order.number
        self._report(run.owner, number, TaskStatus.STARTED, run.attempt, 0.0)

    def _note_not_started(self, run: TaskRun, outcome: StartOutcome) -> None:
        self._release(run)
        run.phase = RunPhase.WAITING
        run.tries += 1
        now = self.clock()
        if outcome is StartOutcome.STALE_TOKEN:
            self.target.raise_token()
        if outcome is StartOutcome.NO_ROOM:
            self.paused_until = now + ROOM_RETRY_S
        if outcome is StartOutcome.UNHEALTHY:
            self.target.pause_until(now + UNHEALTHY_PAUSE_S)
        if outcome is StartOutcome.REJECTED:
            self._finish(run, TaskStatus.REJECTED)
            return
        may_retry = outcome in RETRIED_OUTCOMES and run.tries < MAX_TRIES
        if run.is_unwanted or not may_retry:
            self._refuse(run, f"the target did not start it: {outcome.value}")
            return
        self.waiting.append(run)
        self.start_waiting()

    # Ends.

    def end_run(self, run: TaskRun) -> None:
        """Ends an order that nobody wants any more."""
        run.is_unwanted = True
        if run.phase is RunPhase.WAITING:
            if run in self.waiting:
                self.waiting.remove(run)
            self._finish(run, TaskStatus.NOT_STARTED)
        elif run.phase in (RunPhase.RUNNING, RunPhase.STARTING):
            # A stop bars a start that the target has not handled yet.
            self._send_stop(run)

    def _send_stop(self, run: TaskRun) -> None:
        run.phase = RunPhase.STOPPING
        self.next_stop_at[run.run] = self.clock() + STOP_RETRY_S
        self.stop(run.run)

    def handle_stop_outcome(self, run: Run, failure: TargetFailure | None) -> None:
        """Takes the target's answer to a stop."""
        found = self.by_run.get(run)
        if found is None or found.phase is not RunPhase.STOPPING:
            return
        if failure is None:
            self.next_stop_at.pop(run, None)
            found.phase = RunPhase.STOPPED
            found.stopped_at = self.clock()
        elif failure is TargetFailure.STALE_TOKEN:
            self.target.raise_token()

    def handle_listing(self, listing: Listing, asked_at: float) -> None:
        """Takes what the target says that it runs and what has ended.

        Args:
            listing: The answer.
            asked_at: When it was asked for, in seconds of the clock.
        """
        self.listed_at = max(self.listed_at, asked_at)
        for end in listing.ended:
            self._handle_end(end)
        listed = {item.run for item in listing.running}
        for item in listing.running:
            self._handle_running(item.run, item.percent)
        for run in list(self.by_run.values()):
            if run.run not in listed:
                self._handle_absent(run, asked_at)
        self.next_stop_at = {
            key: at
            for key, at in self.next_stop_at.items()
            if key in listed or key in self.by_run
        }
        self.start_waiting()

    def _handle_end(self, end: EndedTask) -> None:
        run = self.by_run.get(end.run)
        if run is None:
            return
        self._finish(run, END_STATUS[end.kind])

    def _handle_running(self, key: Run, percent: float) -> None:
        run = self.by_run.get(key)
        if run is None:
            self._stop_foreign(key)
            return
        if percent != run.percent:
            run.percent = percent
            run.advanced_at = self.clock()

    def _stop_foreign(self, key: Run) -> None:
        now = self.clock()
        if now >= self.next_stop_at.get(key, 0.0):
            self.next_stop_at[key] = now + STOP_RETRY_S
            self.stop(key)

    def _handle_absent(self, run: TaskRun, asked_at: float) -> None:
        settled_at = {
            RunPhase.STOPPED: run.stopped_at,
            RunPhase.RUNNING: run.started_at,
        }.get(run.phase)
        if settled_at is not None and settled_at <= asked_at:
            self._finish(run, TaskStatus.LOST)

    def handle_target_gone(self) -> None:
        """Takes it that all that the target ran has ended."""
        for run in list(self.by_run.values()):
            self._finish(run, TaskStatus.LOST)
        self.handle_new_incarnation()

    def handle_new_incarnation(self) -> None:
        """Takes it that the target has restarted.

        Which runs ended with the former incarnation only a listing tells: the new one
        may have started some before it was known.
        """
        self.next_stop_at.clear()
        self.attempts = AttemptNumbers()

    def tick(self) -> None:
        """Ends what belongs to silent owners, and repeats stops without answer."""
        now = self.clock()
        self.quality.forget_old(now)
        slowness = self.read_slowness() / self.usual_slowness
        for owner in list(self.owners.values()):
            if now >= owner.fresh_until and not owner.is_silent:
                self._end_silent_owner(owner)
            if now >= owner.heard_at + FORGET_OWNER_S and not owner.runs:
                del self.owners[owner.address.incarnation]
        for run in list(self.by_run.values()):
            due = self.next_stop_at.get(run.run, now)
            if run.phase is RunPhase.STOPPING and now >= due:
                self._send_stop(run)
            elif run.phase is RunPhase.RUNNING and run.order.may_move:
                self._move_if_stuck(run, now, slowness)
        self.start_waiting()

    def read_slowness(self) -> float:
        """Returns observed over expected run time of recent and present tasks."""
        running = [
            project_slowness(self._read_progress(run))
            for run in self.by_run.values()
            if run.phase is RunPhase.RUNNING
        ]
        return self.quality.read_slowness([item for item in running if item])

    def _read_progress(self, run: TaskRun) -> Progress:
        return Progress(
            age_s=self.listed_at - run.started_at,
            idle_s=self.listed_at - run.advanced_at,
            percent=run.percent,
            expected_s=run.order.expected_ms / MS_PER_S,
        )

    def _move_if_stuck(self, run: TaskRun, now: float, slowness: float) -> None:
        if not self.target.is_reachable:
            return
        progress = self._read_progress(run)
        stalled = has_stalled(progress)
        if not stalled and not is_too_slow(progress, slowness):
            return
        run.is_moved = True
        projected_ms = MS_PER_S * project_run_s(progress)
        self.quality.record(
            now,
            is_good=not stalled,
            run_ms=projected_ms,
            expected_ms=run.order.expected_ms,
        )
        self.log.record(
            EventName.TASK_MOVED,
            job=run.job_id,
            task=run.order.task,
            order=run.order.number,
            percent=run.percent,
            age_ms=round(MS_PER_S * progress.age_s, 1),
            idle_ms=round(MS_PER_S * progress.idle_s, 1),
            expected_ms=run.order.expected_ms,
        )
        self.end_run(run)

    def _end_silent_owner(self, owner: Owner) -> None:
        if not owner.is_silent:
            owner.is_silent = True
            self.log.record(
                EventName.OWNER_SILENT,
                entry=owner.address.incarnation,
                silent_s=round(self.clock() - owner.heard_at, 3),
                orders=len(owner.runs),
            )
        for run in list(owner.runs.values()):
            self.end_run(run)

    def _finish(self, run: TaskRun, status: TaskStatus) -> None:
        if run.phase is RunPhase.ENDED:
            return
        self._release(run)
        run_ms = MS_PER_S * (self.clock() - run.started_at) if run.started_at else 0.0
        run.phase = RunPhase.ENDED
        self.next_stop_at.pop(run.run, None)
        self._record_quality(run, status, run_ms)
        self.log.record(
            EventName.TASK_RUN,
            job=run.job_id,
            task=run.order.task,
            order=run.order.number,
            attempt=run.attempt,
            status=status.value,
            waited_ms=round(MS_PER_S * (run.started_at - run.arrived_at), 1)
            if run.started_at
            else None,
            run_ms=round(run_ms, 1),
            expected_ms=run.order.expected_ms,
            percent=run.percent,
        )
        self.counts[status.value] += 1
        run.owner.note_ended(run.order.number)
        self._report(run.owner, run.order.number, status, run.attempt, run_ms)

    def _record_quality(self, run: TaskRun, status: TaskStatus, run_ms: float) -> None:
        now = self.clock()
        if status is TaskStatus.DONE and not run.is_moved:
            expected_ms = run.order.expected_ms
            self.quality.record(
                now, is_good=True, run_ms=run_ms, expected_ms=expected_ms
            )
        elif status is TaskStatus.FAILED:
            self.quality.record(now, is_good=False, run_ms=0.0, expected_ms=0.0)

    def _release(self, run: TaskRun) -> None:
        if run.claims_capacity:
            self.claimed = self.claimed.minus(run.order.demand)
        if self.by_run.get(run.run) is run:
            del self.by_run[run.run]
        if self.by_task.get(run.order.task) is run:
            del self.by_task[run.order.task]

    def _report(
        self, owner: Owner, number: int, status: TaskStatus, attempt: int, run_ms: float
    ) -> None:
        owner.add_update(number, status, attempt, round(run_ms, 1))
        self.changed(owner)
