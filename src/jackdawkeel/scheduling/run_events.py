"""The log events of an agent about its runs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from ..events import EventName
from .task_run import StopCause


if TYPE_CHECKING:
    from ..logs import EventLog
    from ..messages.scheduling import TaskStatus
    from ..policy.progress import Progress
    from .target_runtime import Run
    from .task_run import TaskRun


MS_PER_S = 1000


def record_started(log: EventLog, run: TaskRun, attempt: int, now: float) -> None:
    """Records that the target has confirmed a start."""
    log.record(
        EventName.TASK_STARTED,
        **_describe(run, now) | {"attempt": attempt},
        lease_ms=round(MS_PER_S * (run.owner.lease_until - now), 1),
    )


def record_stopping(log: EventLog, run: TaskRun, cause: StopCause, now: float) -> None:
    """Records why a run is stopped."""
    log.record(
        EventName.TASK_STOPPING,
        **_describe(run, now),
        cause=cause.value,
        last_listed_ms=_age_ms(run.listed_at, now),
    )


def record_stopping_unknown(
    log: EventLog, key: Run, requested_at: float, now: float
) -> None:
    """Records the stop of a run that this process did not start, or has given up."""
    log.record(
        EventName.TASK_STOPPING,
        task=key.task,
        attempt=key.attempt,
        cause=StopCause.UNKNOWN_RUN.value,
        last_listed_ms=_age_ms(requested_at, now),
    )


def record_moved(
    log: EventLog,
    run: TaskRun,
    progress: Progress,
    cause: StopCause,
    remaining_s: float | None,
) -> None:
    """Records the progress of a run that is ended to start elsewhere.

    Args:
        log: Event log.
        run: The run.
        progress: Its progress.
        cause: Why it is ended.
        remaining_s: Time until its target ends, in seconds; None without short notice.
    """
    log.record(
        EventName.TASK_MOVED,
        job=run.job_id,
        task=run.assignment.task,
        order=run.assignment.number,
        percent=run.percent,
        age_ms=round(MS_PER_S * progress.age_s, 1),
        idle_ms=round(MS_PER_S * progress.idle_s, 1),
        expected_ms=run.assignment.expected_ms,
        cause=cause.value,
        remaining_ms=None if remaining_s is None else round(MS_PER_S * remaining_s, 1),
    )


def record_ended(
    log: EventLog, run: TaskRun, status: TaskStatus, run_ms: float, now: float
) -> None:
    """Records the end of an assignment."""
    waited_s = run.started_at - run.arrived_at if run.started_at else None
    log.record(
        EventName.TASK_RUN,
        **_describe(run, now),
        status=status.value,
        waited_ms=None if waited_s is None else round(MS_PER_S * waited_s, 1),
        run_ms=round(run_ms, 1),
        expected_ms=run.assignment.expected_ms,
        percent=run.percent,
        last_listed_ms=_age_ms(run.listed_at, now),
        cause=run.stop_causes[0].value if run.stop_causes else None,
        stopping_ms=_age_ms(run.first_stop_at, now),
    )


def _describe(run: TaskRun, now: float) -> dict[str, Any]:
    """Returns the fields that all events of a run have."""
    return {
        "job": run.job_id,
        "task": run.assignment.task,
        "order": run.assignment.number,
        "attempt": run.attempt,
        "entry": run.owner.address.incarnation,
        "sent_ms": _age_ms(run.start_sent_at, now),
    }


def _age_ms(at: float, now: float) -> float | None:
    return round(MS_PER_S * (now - at), 1) if at else None
