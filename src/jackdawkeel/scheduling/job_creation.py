"""Creates the state of a submitted job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..policy.waiting import JobTiming
from .job import Job
from .job import longest_chain_s
from .job import make_tasks


if TYPE_CHECKING:
    from .job import TaskNamer
    from .run_times import RunTimes
    from .specification import JobSpec
    from .specification import Queue


MS_PER_S = 1000


def make_job(
    spec: JobSpec,
    queue: Queue,
    deadline_s: float,
    *,
    now: float,
    run_times: RunTimes,
    format_task_name: TaskNamer,
) -> Job:
    """Returns a job that arrives now.

    Args:
        spec: The job as its caller submitted it.
        queue: Its queue.
        deadline_s: How long its caller waits for the answer, in seconds.
        now: Time in clock seconds.
        run_times: Scales the caller's estimates.
        format_task_name: Builds the name under which a target knows a task.
    """
    declared_s = longest_chain_s(spec)
    expected_s = run_times.scale_estimate(queue.service, queue.name, declared_s)
    timing = JobTiming(
        priority=queue.priority,
        arrived_at=now,
        expected_s=expected_s,
        objective_s=queue.stretch_factor * expected_s + queue.objective_ms / MS_PER_S,
        deadline_at=now + deadline_s,
    )
    job = Job(spec, queue, timing, now, make_tasks(spec, format_task_name))
    job.unblock_steps()
    return job
