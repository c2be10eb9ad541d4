"""Order in which waiting tasks of several jobs are started."""

from __future__ import annotations


SIZE_WEIGHT_S = 0.1


def rank_job(admitted_at: float, tasks: int) -> float:
    """Returns the rank of a job's tasks in queues; the lowest goes first.

    Small jobs go before large ones, which gain a place with time, so that none waits
    for ever. A job of 240 tasks yields to single requests of the next 24 s.

    Args:
        admitted_at: When the job was admitted, in seconds of one clock.
        tasks: Tasks of the job.
    """
    return admitted_at + SIZE_WEIGHT_S * tasks
