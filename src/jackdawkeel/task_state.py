"""The states of one task, as executing agents report them to homes."""

from __future__ import annotations

from enum import StrEnum


class TaskState(StrEnum):
    """What became of one task.

    Attributes:
        RUNNING: It waits at the executing agent or runs on the target.
        DONE: The target answered with a result.
        FAILED: The target answered, but not with a result.
        NOT_STARTED: No byte of it went to a target, and none ever will.
        UNKNOWN: It may have run; its answer is lost.
    """

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    UNKNOWN = "unknown"
