"""Refusal at admission of jobs that would wait too long or miss their deadline."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..errors import DispatchError
from ..errors import ErrorKind
from .run_time import RunTime
from .run_time import is_reliable


DEFAULT_MAX_WAIT_MS = 2000
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 60_000


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The load of a service over the agents that may start its tasks.

    Attributes:
        slots: Slots of all those agents.
        running: Tasks that run or are queued at those agents.
        waiting: Tasks at homes that are dispatched before a new job's tasks.
        run_time: Estimate learned from the service's finished tasks.
    """

    slots: int
    running: int
    waiting: int
    run_time: RunTime


def expected_wait_ms(load: ServiceLoad) -> float:
    """Returns how long a task admitted now would wait for a slot, in milliseconds."""
    ahead = load.waiting + load.running + 1 - load.slots
    if ahead <= 0 or load.slots <= 0:
        return 0.0
    return ahead * load.run_time.mean_ms / load.slots


def min_duration_ms(load: ServiceLoad, tasks: int) -> float:
    """Returns the shortest run time of a job on idle slots, in milliseconds.

    For a job with more tasks than slots, it is the number of tasks times the mean run
    time, divided by the slots. The run time of a smaller job is only known to be rarely
    below the low quantile. Returns 0 while the estimate is unreliable or there are no
    slots.
    """
    if not is_reliable(load.run_time) or load.slots <= 0:
        return 0.0
    if tasks <= load.slots:
        return load.run_time.low_ms
    return tasks * load.run_time.mean_ms / load.slots


def find_refusal(
    load: ServiceLoad, tasks: int, deadline_ms: int, max_wait_ms: int | None
) -> DispatchError | None:
    """Decides whether a job is refused at admission.

    Args:
        load: The load of the job's service.
        tasks: Number of tasks in the job.
        deadline_ms: The job's deadline in milliseconds from now.
        max_wait_ms: Longest expected wait that is accepted, or None for
            ``DEFAULT_MAX_WAIT_MS``.

    Returns:
        None to admit the job, otherwise the error to answer with. The retry delay of an
        ``OVERLOADED`` error is the time after which the queue has drained far enough if
        nothing else is admitted.
    """
    if load.slots <= 0:
        return DispatchError(
            ErrorKind.NO_TARGET, "no target may start tasks of this service"
        )
    min_ms = min_duration_ms(load, tasks)
    if min_ms > deadline_ms:
        message = f"the job takes at least {min_ms:.0f} ms, longer than its deadline"
        return DispatchError(ErrorKind.DEADLINE_TOO_SHORT, message)
    limit_ms = DEFAULT_MAX_WAIT_MS if max_wait_ms is None else max_wait_ms
    allowed_ms = min(float(limit_ms), deadline_ms - min_ms)
    wait_ms = expected_wait_ms(load)
    if wait_ms <= allowed_ms:
        return None
    message = f"the expected wait is {wait_ms:.0f} ms, the limit is {allowed_ms:.0f} ms"
    retry_after_ms = _bound_delay(wait_ms - allowed_ms)
    return DispatchError(ErrorKind.OVERLOADED, message, retry_after_ms)


def _bound_delay(delay_ms: float) -> int:
    return min(max(math.ceil(delay_ms), MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
