"""Messages between homes and executing agents."""

from __future__ import annotations

import msgspec


class TaskDispatch(msgspec.Struct, frozen=True, array_like=True):
    """One task that a home dispatches to the agent that runs it.

    Attributes:
        number: Identifies the dispatch; the home never uses a number twice.
        job_id: Id of the job.
        index: Position of the task in the job.
        service: Name of the service that runs the task.
        payload: The JSON payload.
        deadline_ms: Time within which the task may start, in milliseconds.
    """

    number: int
    job_id: str
    index: int
    service: str
    payload: bytes
    deadline_ms: int


class DispatchTasks(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """From a home to an executing agent: dispatches tasks.

    Attributes:
        oldest_open: The lowest dispatch number that the home has not settled with
            this agent; records of lower numbers may be dropped.
        tasks: The tasks to run.
    """

    oldest_open: int
    tasks: list[TaskDispatch]


class TaskQuery(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """From a home to an executing agent: requests reports on these dispatches.

    A dispatch that has not arrived is reported as not started. If it arrives later
    over an older session, the agent drops it.
    """

    oldest_open: int
    numbers: list[int]


class CancelTasks(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """From a home to an executing agent: these dispatches must not start."""

    oldest_open: int
    numbers: list[int]


class TaskReport(msgspec.Struct, frozen=True, array_like=True):
    """The state of one dispatch.

    Attributes:
        number: Number of the dispatch.
        state: A value of ``TaskState``.
        body: The target's JSON body if the state is done.
        reason: The reason in one sentence if the state is neither done nor running.
        run_ms: Run time at the target in milliseconds; 0 if the task did not end.
    """

    number: int
    state: str
    body: bytes = b""
    reason: str = ""
    run_ms: float = 0.0


class TaskReports(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """From an executing agent to a home: reports on dispatches and the agent's load.

    Attributes:
        reports: The states of dispatches from this home.
        running: Number of tasks that the target is running.
        queued: Number of tasks that are queued at the agent.
    """

    reports: list[TaskReport]
    running: int
    queued: int


class SettleTasks(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """From a home to an executing agent: settles dispatches below ``oldest_open``.

    Sent only if no other message to the agent carries the number.
    """

    oldest_open: int
