"""Finds the stragglers of an idempotent job, the candidates for hedging."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..policy.hedging import hedge_delay_ms


if TYPE_CHECKING:
    from ..policy.run_time import RunTime
    from .job import Dispatch
    from .job import Job


MS_PER_S = 1000


def find_stragglers(job: Job, run_time: RunTime, now: float) -> list[Dispatch]:
    """Returns the late dispatches that are the only open one of their task.

    Args:
        job: An idempotent job.
        run_time: Run times of its service.
        now: The current time in seconds.
    """
    delay_ms = hedge_delay_ms(run_time)
    if delay_ms is None:
        return []
    latest_sent_at = now - delay_ms / MS_PER_S
    late = [
        dispatch
        for dispatch in job.outstanding.values()
        if dispatch.sent_at <= latest_sent_at
    ]
    if not late:
        return []
    copies = Counter(dispatch.index for dispatch in job.outstanding.values())
    return [dispatch for dispatch in late if copies[dispatch.index] == 1]
