"""The states of a task that an executing agent reports to the job's home.

The home of a job is the agent that admitted it.
"""

from __future__ import annotations

from enum import StrEnum


class TaskState(StrEnum):
    """The state of a task at the agent that executes it.

    Attributes:
        RUNNING: The task waits at the executing agent or runs on the target.
        DONE: The target responded with a result.
        FAILED: The target responded without a result.
        NOT_STARTED: No byte of the task was sent to a target, and none will be.
        UNKNOWN: The task may have run; the response of the target was lost.
    """

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    UNKNOWN = "unknown"
