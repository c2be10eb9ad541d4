"""Orders of waiting jobs that the model of shared capacity compares."""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from bench.shared_room.state import ModelJob


# Orders jobs by the recent use of capacity of their queues, in core-seconds, and the
# time.
Order = Callable[[Iterable[ModelJob], Mapping[str, float], float], list[ModelJob]]

# Share of the capacity used recently that each queue gets before jobs go by their work.
MIN_QUEUE_SHARE = 0.15


def order_strictly(
    jobs: Iterable[ModelJob], _used_s: Mapping[str, float], now: float
) -> list[ModelJob]:
    """Returns jobs by priority and latest start, late ones last, as the product."""
    return sorted(jobs, key=lambda job: job.rank(now))


def order_by_share(
    jobs: Iterable[ModelJob], used_s: Mapping[str, float], now: float
) -> list[ModelJob]:
    """Returns jobs so that each queue gets core-seconds in proportion to its weight.

    The next job is the first one of the queue whose recent use, including the jobs
    before it, is smallest for its weight, 1 / (1 + priority).
    """
    in_time, late = _split(jobs, now)
    by_queue: defaultdict[str, list[ModelJob]] = defaultdict(list)
    for job in reversed(in_time):
        by_queue[job.queue].append(job)
    heap = [
        (used_s.get(queue, 0.0) / _weight(waiting[0]), queue)
        for queue, waiting in by_queue.items()
    ]
    heapq.heapify(heap)
    ordered: list[ModelJob] = []
    while heap:
        level, queue = heap[0]
        job = by_queue[queue].pop()
        ordered.append(job)
        if by_queue[queue]:
            heapq.heapreplace(heap, (level + job.work_s() / _weight(job), queue))
        else:
            heapq.heappop(heap)
    return ordered + late


def order_by_work(
    jobs: Iterable[ModelJob], used_s: Mapping[str, float], now: float
) -> list[ModelJob]:
    """Returns jobs with the least work first, after a minimum for each queue."""
    in_time, late = _split(jobs, now)
    least_s = MIN_QUEUE_SHARE * sum(used_s.values())
    in_time.sort(key=lambda job: (used_s.get(job.queue, 0.0) >= least_s, job.work_s()))
    return in_time + late


def _split(
    jobs: Iterable[ModelJob], now: float
) -> tuple[list[ModelJob], list[ModelJob]]:
    ranked = [(job.rank(now), job) for job in jobs]
    ranked.sort(key=lambda item: item[0])
    in_time = [job for rank, job in ranked if not rank[0]]
    return in_time, [job for rank, job in ranked if rank[0]]


def _weight(job: ModelJob) -> float:
    return 1.0 / (1 + job.timing.priority)
