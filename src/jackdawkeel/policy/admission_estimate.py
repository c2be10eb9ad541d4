"""Early refusal of jobs that would wait too long or miss their deadline."""

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
        running: Tasks that run.
        waiting: Admitted tasks that have not started, at homes and executors.
        run_time: What was learned of its tasks.
    """

    slots: int
    running: int
    waiting: int
    run_time: RunTime


def expected_wait_ms(load: ServiceLoad) -> float:
    """Returns how long the next admitted task would wait, in milliseconds."""
    ahead = load.waiting + load.running + 1 - load.slots
    if ahead <= 0 or load.slots <= 0:
        return 0.0
    return ahead * load.run_time.mean_ms / load.slots


def min_duration_ms(load: ServiceLoad, tasks: int) -> float:
    """Returns the shortest time in which a job could run on idle slots.

    Jobs larger than the slots take their share of the mean; the run time of smaller
    ones is only known to be rarely below the low quantile.
    """
    if not is_reliable(load.run_time) or load.slots <= 0:
        return 0.0
    if tasks <= load.slots:
        return load.run_time.low_ms
    return tasks * load.run_time.mean_ms / load.slots


def find_refusal(
    load: ServiceLoad, tasks: int, deadline_ms: int, max_wait_ms: int | None
) -> DispatchError | None:
    """Decides whether a job is refused at once.

    Args:
        load: The load of the job's service.
        tasks: Tasks of the job.
        deadline_ms: The job's deadline in milliseconds from now.
        max_wait_ms: Longest expected wait that is admitted, or None for the default.

    Returns:
        None to admit; else the error. Its delay is the time in which the queue drains
        far enough if nothing else is admitted.
    """
    if load.slots <= 0:
        return DispatchError(ErrorKind.NO_TARGET, "no target may start this service")
    min_ms = min_duration_ms(load, tasks)
    if min_ms > deadline_ms:
        message = f"the job takes {min_ms:.0f} ms at least, its deadline is shorter"
        return DispatchError(ErrorKind.DEADLINE_TOO_SHORT, message)
    limit_ms = DEFAULT_MAX_WAIT_MS if max_wait_ms is None else max_wait_ms
    allowed_ms = min(float(limit_ms), deadline_ms - min_ms)
    wait_ms = expected_wait_ms(load)
    if wait_ms <= allowed_ms:
        return None
    message = f"the expected wait is {wait_ms:.0f} ms, {allowed_ms:.0f} are allowed"
    retry_after_ms = _bound_delay(wait_ms - allowed_ms)
    return DispatchError(ErrorKind.OVERLOADED, message, retry_after_ms)


def _bound_delay(delay_ms: float) -> int:
    return min(max(math.ceil(delay_ms), MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
