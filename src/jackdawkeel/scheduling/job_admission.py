"""Decides whether an entry accepts a new job, and whether a waiting one may start."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..errors import DispatchError
from ..errors import ErrorKind
from ..policy.packing import can_ever_run
from ..policy.packing import count_fitting_tasks
from ..policy.sharing import Admission
from ..policy.sharing import PredictedWait
from ..policy.sharing import decide_admission
from ..policy.sharing import late_rate_share
from ..policy.sharing import may_late_job_start
from ..policy.waiting import can_end_before
from ..policy.waiting import choose_retry_delay_s
from ..policy.waiting import predict_wait_s
from ..policy.waiting import rank_job
from ..policy.waiting import would_end_too_late
from .queue_loads import QueueLoads


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..policy.packing import TargetCapacity
    from .job import Job
    from .open_assignments import ClaimedCapacity
    from .open_assignments import OpenAssignments
    from .specification import Queue


# Bounds the capacity that very short tasks are predicted to free.
MIN_RUN_S = 0.05
MS_PER_S = 1000
MILLIS_PER_CORE = 1000


@dataclass(slots=True)
class JobQueue:
    """The jobs of an entry with tasks that wait for capacity.

    Attributes:
        jobs: The jobs.
        short_since: Since when jobs of a pool have been waiting for capacity without
            a break, in seconds of the clock; none waits if it is missing.
        discovers_until: Until when agents are still being discovered after the start of
            the entry, in seconds of the clock; capacity is then higher than known.
        shutdown_at: When the entry ends, in seconds of the clock; None if it does not
            shut down.
        loads: Recent work of each queue.
    """

    jobs: list[Job] = field(default_factory=list)
    short_since: dict[str, float] = field(default_factory=dict)
    discovers_until: float = 0.0
    shutdown_at: float | None = None
    loads: QueueLoads = field(default_factory=QueueLoads)

    def measure_shortage(self, now: float, startable: Iterable[Job]) -> None:
        """Records whether jobs that may start still wait after a run of the scheduler.

        Args:
            now: Time in clock seconds.
            startable: The jobs that may start.
        """
        short = {
            self.loads.find_pool(job.queue) for job in startable if job.lacks_capacity()
        }
        self.short_since = {pool: self.short_since.get(pool, now) for pool in short}

    def measure_shortage_s(self, queue: Queue, now: float) -> float:
        """Returns how long jobs of a queue's pool have been waiting, in seconds."""
        pool = self.loads.find_pool(queue)
        return now - min(now, self.short_since.get(pool, now))


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a job is refused.

    Attributes:
        error: The error that is returned to the caller.
        reason: Kind of the reason, for counters and logs.
        wait_s: Its predicted wait, in seconds; None if it was not predicted.
        limit_s: Longest useful wait, in seconds.
        share: Admitted share of its queue's recent work.
    """

    error: DispatchError
    reason: str
    wait_s: float | None = None
    limit_s: float | None = None
    share: float | None = None


def admit_job(
    job: Job,
    targets: list[TargetCapacity],
    queue: JobQueue,
    assignments: OpenAssignments,
    now: float,
    rng: random.Random,
) -> Refusal | None:
    """Returns why a new job is refused, or None if it is accepted.

    Records the job in the loads of the queues, and marks it if it is accepted as a late
    one.

    Args:
        job: The job.
        targets: Targets that may run tasks of its service.
        queue: Jobs that wait at this entry.
        assignments: Open assignments of this entry.
        now: Time in clock seconds.
        rng: Spreads the retry delays.
    """
    if not targets:
        text = f"service {job.queue.service} has no target in service"
        return _refuse_no_target(text)
    if not all(can_ever_run(step, targets) for step in job.spec.steps):
        text = "no target in service has the label and capacity for a task of the job"
        return _refuse_no_target(text)
    share = queue.loads.find_load(job, now).admitted_share
    claimed = assignments.claimed[job.queue.service]
    wait = _predict_wait(job, targets, queue, claimed, now)
    if queue.shutdown_at is not None and not can_end_before(
        job.timing, now, wait.in_time_s, queue.shutdown_at
    ):
        text = "the entry shuts down before the job would end"
        kind = ErrorKind.SHUTTING_DOWN
        return Refusal(DispatchError(kind, text), kind.value)
    is_over_share = queue.loads.exceeds_share(job, now)
    admission = decide_admission(job.timing, now, wait, is_over_share=is_over_share)
    is_in_time = admission is Admission.IN_TIME
    if not would_end_too_late(job.timing, now, 0.0):
        # A queue whose callers have no time limits no others.
        queue.loads.record(job, now, is_admitted=is_in_time)
    job.is_late = admission is Admission.LATE
    job.is_promised = is_in_time
    if is_in_time or job.is_late:
        return None
    release_s = predict_release_s(job, targets, queue, assignments, now)
    retry_ms = round(MS_PER_S * choose_retry_delay_s(release_s, rng))
    if admission is Admission.OVER_SHARE:
        wait_s = wait.in_time_s
        limit_s = job.timing.latest_start - now
        text = (
            f"the job would wait about {wait_s:.3f} s, but its queue had a larger share"
            f" of its work admitted ({share:.2f}) than one of higher priority"
        )
    else:
        wait_s = wait.late_s
        limit_s = job.timing.last_useful_start - now
        text = (
            f"the job would wait about {wait_s:.3f} s for free capacity,"
            f" its limit is {max(0.0, limit_s):.3f} s"
        )
    error = DispatchError(ErrorKind.OVERLOADED, text, retry_ms)
    return Refusal(error, admission.value, wait_s, limit_s, share)


def _refuse_no_target(text: str) -> Refusal:
    kind = ErrorKind.NO_TARGET
    return Refusal(DispatchError(kind, text), kind.value)


def _predict_wait(
    job: Job,
    targets: list[TargetCapacity],
    queue: JobQueue,
    claimed: ClaimedCapacity,
    now: float,
) -> PredictedWait:
    """Returns the predicted wait of a new job, in time and as a late one."""
    shortage_s = queue.measure_shortage_s(job.queue, now)
    if now < queue.discovers_until:
        return PredictedWait(0.0, 0.0, shortage_s)
    ranks = [
        rank_job(job.timing, now, has_begun=False, is_late=late)
        for late in (False, True)
    ]
    ahead = [0.0, 0.0]
    for other in _waiting_for(job, queue):
        rank, cores = other.rank(now), other.waiting_cores()
        for index in (0, 1):
            ahead[index] += cores * (rank <= ranks[index])
    step = job.spec.steps[0]
    task_cores = step.demand.cpu_millis / MILLIS_PER_CORE
    if not any(ahead) or not task_cores:
        return PredictedWait(0.0, 0.0, shortage_s)
    free_cores = count_fitting_tasks(step, targets) * task_cores
    freed = _freed_cores_per_s(job, targets, claimed)
    loads = queue.loads.list_pool(job.queue)
    waits = [
        predict_wait_s(
            needed_cores=cores + job.waiting_cores(),
            free_cores=free_cores,
            freed_cores_per_s=rate,
        )
        if cores
        else 0.0
        for cores, rate in zip(
            ahead, (freed, freed * late_rate_share(loads)), strict=True
        )
    ]
    return PredictedWait(waits[0], waits[1], shortage_s)


def predict_release_s(
    job: Job,
    targets: list[TargetCapacity],
    queue: JobQueue,
    assignments: OpenAssignments,
    now: float,
) -> float:
    """Returns the time until all waiting jobs of a service have capacity, in seconds.

    Counts the expected ends of the open assignments, since those of a burst end
    together, and the mean rate beyond them.

    Args:
        job: Job of the service; counted too, whether it waits or not.
        targets: Targets that may run tasks of the service.
        queue: Jobs that wait at this entry.
        assignments: Open assignments of this entry.
        now: Time in clock seconds.
    """
    if not targets:
        return 0.0
    waiting = sum(other.waiting_cores() for other in _waiting_for(job, queue))
    free = sum(target.free.cpu_millis for target in targets) / MILLIS_PER_CORE
    missing = waiting + job.waiting_cores() - free
    if missing <= 0:
        return 0.0
    service = job.queue.service
    ends = sorted(
        (max(0.0, item.sent_at + item.expected_s - now), item.demand.cpu_millis)
        for item in assignments.by_number.values()
        if item.job.queue.service == service
        and item.agent not in assignments.unreachable
    )
    last_end_s = 0.0
    for end_s, cpu_millis in ends:
        last_end_s = end_s
        missing -= cpu_millis / MILLIS_PER_CORE
        if missing <= 0:
            return end_s
    rate = _freed_cores_per_s(job, targets, assignments.claimed[service])
    return last_end_s + missing / rate


@dataclass(frozen=True, slots=True)
class ServicePass:
    """What one pass of the scheduler uses of a service.

    Attributes:
        targets: Its targets; their free capacity falls during the pass.
        may_use_capacity: Returns whether a job may use free capacity.
        reserves: Processors to keep free by rack, in thousandths of a core.
    """

    targets: list[TargetCapacity]
    may_use_capacity: Callable[[Job], bool]
    reserves: dict[str, float]


def make_start_check(
    targets: list[TargetCapacity], now: float
) -> Callable[[Job], bool]:
    """Returns a function that decides whether a job may use free capacity.

    Jobs in time may always; late ones leave a reserve.

    Args:
        targets: Targets of its service, whose free capacity falls between the calls.
        now: Time in clock seconds.
    """
    capacity = sum(target.capacity.cpu_millis for target in targets)
    free_share = math.inf

    def may_start(job: Job) -> bool:
        nonlocal free_share
        if job.can_be_in_time(now):
            return True
        if may_late_job_start(job.timing, now, 0.0):
            return True
        if any(step.required_label for step in job.spec.steps):
            # The free share of all targets says nothing about those with the label.
            return True
        if not may_late_job_start(job.timing, now, free_share):
            return False
        free = sum(target.free.cpu_millis for target in targets)
        free_share = free / max(1, capacity)
        return may_late_job_start(job.timing, now, free_share)

    return may_start


def _waiting_for(job: Job, queue: JobQueue) -> Iterable[Job]:
    pool = queue.loads.find_pool(job.queue)
    return (
        other
        for other in queue.jobs
        if other is not job and queue.loads.find_pool(other.queue) == pool
    )


def _freed_cores_per_s(
    job: Job, targets: list[TargetCapacity], claimed: ClaimedCapacity
) -> float:
    """Returns the processors freed per second, at least those of one target.

    One target is counted as if it ran only tasks of this job.
    """
    total = sum(target.capacity.cpu_millis for target in targets)
    mean_cores = total / len(targets) / MILLIS_PER_CORE
    least = mean_cores / max(job.timing.expected_s, MIN_RUN_S)
    return max(claimed.freed_cores_per_s, least)
