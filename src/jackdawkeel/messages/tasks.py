"""Messages between homes and executing agents."""

from __future__ import annotations

import msgspec


class TaskDispatch(msgspec.Struct, frozen=True, array_like=True):
    """One task on its way to the agent that runs it.

    Attributes:
        number: Names this dispatch; the home never uses a number twice.
        job_id: The job.
        index: The task's place in the job.
        service: The service that runs it.
        payload: The JSON payload.
        deadline_ms: Time within which it may start, in milliseconds.
    """

    number: int
    job_id: str
    index: int
    service: str
    payload: bytes
    deadline_ms: int


class DispatchTasks(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """From a home to an executing agent.

    Attributes:
        oldest_open: The lowest dispatch number that the home has not settled with
            this agent; records of lower numbers may be dropped.
        tasks: The tasks to run.
    """

    oldest_open: int
    tasks: list[TaskDispatch]


class TaskQuery(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """From a home to an executing agent: what became of these dispatches.

    A dispatch that has not arrived is reported as not started; if it is still under
    way on an older session, the agent drops it on arrival.
    """

    oldest_open: int
    numbers: list[int]


class CancelTasks(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """From a home to an executing agent: these dispatches must not start."""

    oldest_open: int
    numbers: list[int]


class TaskReport(msgspec.Struct, frozen=True, array_like=True):
    """What became of one dispatch.

    Attributes:
        number: The dispatch.
        state: A value of ``TaskState``.
        body: The target's JSON body if the state is done.
        reason: One sentence if the state is neither done nor running.
        run_ms: How long the target took, in milliseconds; 0 if it did not end.
    """

    number: int
    state: str
    body: bytes = b""
    reason: str = ""
    run_ms: float = 0.0


class TaskReports(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """From an executing agent to a home.

    Attributes:
        reports: What became of dispatches of this home.
        running: Tasks that the target is running.
        queued: Tasks that wait at the agent.
    """

    reports: list[TaskReport]
    running: int
    queued: int


class SettleTasks(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """From a home to an executing agent that it has no other message for."""

    oldest_open: int
