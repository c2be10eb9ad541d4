"""Counts and logs how the jobs of an entry end, by queue."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..errors import ErrorKind
from ..events import EventName
from ..metrics import CounterName
from .job import JobResult


if TYPE_CHECKING:
    from ..logs import EventLog
    from ..metrics import Metrics
    from ..policy.crash_blame import CrashCounts
    from .job import Job
    from .job import Task
    from .job_admission import Refusal
    from .specification import JobSpec
    from .specification import Queue


MS_PER_S = 1000
# Reason of a refusal of a job that was admitted and did not start in time.
WAITED = "waited"
# Errors of admitted jobs that show that the prediction was wrong.
BROKEN_PROMISES = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_EXPIRED,
        ErrorKind.DEADLINE_BEFORE_START,
    )
)


class JobOutcomes:
    """Jobs by outcome and queue.

    Attributes:
        counts: Jobs answered in time, late, and given up because a task crashes
            targets, by queue, and refused, by queue and reason; jobs that were
            predicted to be in time and were, or were not, by queue.
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.counts: dict[CounterName, Counter[str]] = {
            name: Counter()
            for name in (
                CounterName.JOBS_IN_TIME,
                CounterName.JOBS_LATE,
                CounterName.JOBS_REFUSED,
                CounterName.JOBS_GIVEN_UP,
                CounterName.PROMISES_KEPT,
                CounterName.PROMISES_BROKEN,
            )
        }

    def record_refused(
        self,
        spec: JobSpec,
        queue: Queue,
        refusal: Refusal,
        waiting_jobs: int,
        open_orders: int,
    ) -> None:
        """Records a job that was refused at its arrival.

        Args:
            spec: The job.
            queue: Its queue.
            refusal: Why it is refused.
            waiting_jobs: Number of jobs that wait at the entry.
            open_orders: Number of open assignments of the entry.
        """
        self._count_refused(queue, refusal.reason)
        self.log.record(
            EventName.JOB_REFUSED,
            job=spec.job_id,
            queue=queue.name,
            kind=refusal.error.kind.value,
            reason=refusal.error.message,
            cause=refusal.reason,
            wait_ms=_to_ms(refusal.wait_s),
            limit_ms=_to_ms(refusal.limit_s),
            share=None if refusal.share is None else round(refusal.share, 3),
            retry_ms=refusal.error.retry_after_ms,
            waiting_jobs=waiting_jobs,
            open_orders=open_orders,
        )

    def record_given_up(self, job: Job, task: Task, counts: CrashCounts) -> None:
        """Records that a job is about to end because a task crashes targets."""
        self.counts[CounterName.JOBS_GIVEN_UP][job.queue.name] += 1
        self.log.record(
            EventName.TASK_GIVEN_UP,
            job=job.spec.job_id,
            task=task.name,
            blamed=counts.blamed,
            crashes=counts.total,
            attempts=task.attempts,
        )

    def record_ended(self, job: Job, took_s: float) -> None:
        """Records a job that has ended, after this time in seconds."""
        is_in_time: bool | None = None
        if job.result is JobResult.COMPLETED:
            is_in_time = took_s <= job.timing.objective_s
            name = CounterName.JOBS_IN_TIME if is_in_time else CounterName.JOBS_LATE
            self.counts[name][job.queue.name] += 1
        elif job.error is not None and job.error.kind is ErrorKind.OVERLOADED:
            self._count_refused(job.queue, WAITED)
        self._count_promise(job, is_in_time)
        self.log.record(
            EventName.JOB_ENDED,
            job=job.spec.job_id,
            queue=job.queue.name,
            result=None if job.result is None else job.result.value,
            error=None if job.error is None else job.error.kind.value,
            took_ms=_to_ms(took_s),
            objective_ms=_to_ms(job.timing.objective_s),
            in_time=is_in_time,
            admitted_late=job.is_late,
            promised=job.is_promised,
            orders=sum(task.attempts for tasks in job.tasks for task in tasks),
            stopped_orders=list(job.open_assignments),
        )

    def export(self, metrics: Metrics) -> None:
        """Copies the counts to the metrics of the process."""
        for name, counts in self.counts.items():
            metrics.replace_counts(name, counts)

    def _count_promise(self, job: Job, is_in_time: bool | None) -> None:
        """Counts a job that was predicted to be in time, unless its caller left."""
        is_served = is_in_time is not None
        is_refused = job.error is not None and job.error.kind in BROKEN_PROMISES
        if not job.is_promised or not (is_served or is_refused):
            return
        name = CounterName.PROMISES_KEPT if is_in_time else CounterName.PROMISES_BROKEN
        self.counts[name][job.queue.name] += 1

    def _count_refused(self, queue: Queue, reason: str) -> None:
        self.counts[CounterName.JOBS_REFUSED][f"{queue.name}:{reason}"] += 1


def _to_ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(MS_PER_S * seconds, 1)
