"""Keeps the jobs of an entry within their share of its memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import DispatchError
from ..errors import ErrorKind
from ..policy.job_memory import estimate_specification_bytes
from ..policy.job_memory import estimate_task_bytes
from .job_admission import Refusal


if TYPE_CHECKING:
    from ..policy.job_memory import JobMemoryLimits
    from .job import Job
    from .specification import JobSpec


# Ended jobs that are kept, so that late copies of their requests start nothing.
MAX_ENDED_JOBS = 2000
REASON = "memory"


class JobMemory:
    """Estimated memory of the jobs of an entry.

    Attributes:
        limits: Limits of the sums.
        opened: Bytes of the jobs that have not ended.
        ended: Bytes of those that have, the oldest first.
    """

    def __init__(self, limits: JobMemoryLimits) -> None:
        self.limits = limits
        self.opened = JobSizes()
        self.ended = JobSizes()

    def has_room(self, spec: JobSpec) -> bool:
        """Returns whether a job may be opened beside the others."""
        total = self.opened.total_bytes
        return not total or total + _estimate_open(spec) <= self.limits.open_bytes

    def record_opened(self, spec: JobSpec) -> None:
        """Counts a job that has been opened."""
        self.opened.add(spec.job_id, _estimate_open(spec))

    def record_ended(self, spec: JobSpec) -> None:
        """Counts a job that has ended and is kept without its tasks."""
        self.opened.remove(spec.job_id)
        self.ended.add(spec.job_id, _estimate_ended(spec))

    def drop_ended(self, ended_jobs: dict[str, Job]) -> None:
        """Drops the oldest ended jobs while they exceed a limit."""
        sizes = self.ended.bytes_by_job
        while sizes and (
            len(sizes) > MAX_ENDED_JOBS
            or self.ended.total_bytes > self.limits.ended_bytes
        ):
            oldest = next(iter(sizes))
            if ended_jobs[oldest].open_assignments:
                return
            self.ended.remove(oldest)
            del ended_jobs[oldest]


class JobSizes:
    """Bytes of several jobs.

    Attributes:
        bytes_by_job: Bytes of each job by its id, in the order of their addition.
        total_bytes: Their sum.
    """

    def __init__(self) -> None:
        self.bytes_by_job: dict[str, int] = {}
        self.total_bytes = 0

    def add(self, job_id: str, size: int) -> None:
        """Adds a job; replaces an earlier one with the same id."""
        self.remove(job_id)
        self.bytes_by_job[job_id] = size
        self.total_bytes += size

    def remove(self, job_id: str) -> None:
        """Removes a job, if it is there."""
        self.total_bytes -= self.bytes_by_job.pop(job_id, 0)


def refuse_for_memory(*, may_run: bool) -> Refusal:
    """Returns the refusal of a job for which there is no room.

    Args:
        may_run: Whether the job may be running already.
    """
    text = "the open jobs of this entry take too much memory"
    kind = ErrorKind.ENTRY_BUSY if may_run else ErrorKind.OVERLOADED
    return Refusal(DispatchError(kind, text), REASON)


def _estimate_open(spec: JobSpec) -> int:
    tasks = sum(step.count for step in spec.steps)
    return _estimate_ended(spec) + estimate_task_bytes(tasks)


def _estimate_ended(spec: JobSpec) -> int:
    return estimate_specification_bytes(
        len(spec.steps),
        sum(len(step.after) for step in spec.steps),
        len(spec.payload),
    )
