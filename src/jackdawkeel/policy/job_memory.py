"""How much memory the jobs of an entry may take, open and ended.

Load: some hundred callers that each submit a job of a few hundred bytes with up to
10,000 tasks, and stay connected or leave and submit the next one.
"""

from __future__ import annotations

from dataclasses import dataclass


# Upper estimates of what the entry keeps for each part of a job.
JOB_BYTES = 8 * 1024
STEP_BYTES = 1024
TASK_BYTES = 512
DEPENDENCY_BYTES = 16

OPEN_JOBS_SHARE = 0.25
ENDED_JOBS_SHARE = 0.0625


@dataclass(frozen=True, slots=True)
class JobMemoryLimits:
    """Limits on the estimated memory of jobs.

    Attributes:
        open_bytes: All open jobs together; a single one may take more.
        ended_bytes: What is kept of jobs that have ended.
    """

    open_bytes: int
    ended_bytes: int


def limit_job_memory(memory_bytes: int) -> JobMemoryLimits:
    """Returns the limits for a process.

    Args:
        memory_bytes: Memory that the process may use.
    """
    return JobMemoryLimits(
        open_bytes=int(memory_bytes * OPEN_JOBS_SHARE),
        ended_bytes=int(memory_bytes * ENDED_JOBS_SHARE),
    )


def estimate_specification_bytes(
    steps: int, dependencies: int, payload_bytes: int
) -> int:
    """Returns the memory of a job's specification.

    Args:
        steps: Number of steps.
        dependencies: Number of dependencies of all steps.
        payload_bytes: Length of the payload.
    """
    return (
        JOB_BYTES + steps * STEP_BYTES + dependencies * DEPENDENCY_BYTES + payload_bytes
    )


def estimate_task_bytes(tasks: int) -> int:
    """Returns the memory of the state of a job's tasks."""
    return tasks * TASK_BYTES
