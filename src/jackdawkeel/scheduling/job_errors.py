"""Errors of jobs that end without a result, for their callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import DispatchError
from ..errors import ErrorKind
from ..policy.waiting import choose_retry_delay_s


if TYPE_CHECKING:
    import random

    from .job import Job


MS_PER_S = 1000


def describe_disconnect() -> DispatchError:
    """Returns the error of a job that nobody waits for."""
    return DispatchError(ErrorKind.CANCELLED, "the caller disconnected")


def describe_shutdown(job: Job) -> DispatchError:
    """Returns the error of a job whose entry is about to exit."""
    may_have_run = job.has_begun or job.owners
    kind = ErrorKind.EXECUTION_LOST if may_have_run else ErrorKind.SHUTTING_DOWN
    return DispatchError(kind, "the entry shut down before the job had ended")


def describe_full(*, may_run: bool) -> DispatchError:
    """Returns the error of a job whose caller may not wait at this entry.

    Args:
        may_run: Whether the job may be running already.
    """
    kind = ErrorKind.ENTRY_BUSY if may_run else ErrorKind.OVERLOADED
    return DispatchError(kind, "too many callers wait for answers at this entry")


def describe_deadline(job: Job) -> DispatchError:
    """Returns the error of a job whose deadline has passed."""
    if job.has_begun or job.owners:
        kind = ErrorKind.DEADLINE_EXPIRED
        text = "the deadline passed before all tasks had ended"
    else:
        kind = ErrorKind.DEADLINE_BEFORE_START
        text = "the deadline passed before any task was started"
    return DispatchError(kind, text)


def describe_late_refusal(
    job: Job, release_s: float, now: float, rng: random.Random
) -> DispatchError:
    """Returns the error of a job that has waited too long for capacity.

    Args:
        job: The job.
        release_s: Predicted time until there is capacity, in seconds.
        now: Time in clock seconds.
        rng: Spreads the retry delays.
    """
    retry_ms = round(MS_PER_S * choose_retry_delay_s(release_s, rng))
    timing = job.timing
    text = (
        f"the job waited {now - timing.arrived_at:.3f} s without capacity and can't"
        f" end within {timing.limit_at - timing.arrived_at:.3f} s"
    )
    return DispatchError(ErrorKind.OVERLOADED, text, retry_ms)


def describe_refused_takeover(refusal: DispatchError) -> DispatchError:
    """Returns the error of a refused job that another entry has not completed.

    Its tasks may have run there, so it is not answered like a refusal.
    """
    text = f"another entry has not completed the job; here, {refusal.message}"
    return DispatchError(ErrorKind.EXECUTION_LOST, text)
