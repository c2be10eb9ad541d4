"""Generates seeded open-loop arrivals with the users' mix of jobs."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass
from dataclasses import replace


SHORT_MIN_S = 0.05
SHORT_MAX_S = 1.0
LONG_MIN_S = 2.0
LONG_MAX_S = 6.0
LONG_SHARE = 0.03
SINGLE_SHARE = 0.9
MIN_JOB_TASKS = 2
MAX_JOB_TASKS = 240


@dataclass(frozen=True, slots=True)
class JobArrival:
    """A job of the generated load.

    Attributes:
        at_s: Arrival time in seconds from the start.
        run_s: Run time of each task in seconds.
        idempotent: Whether the caller allows a task to run more than once.
    """

    at_s: float
    run_s: list[float]
    idempotent: bool

    def delayed(self, delay_s: float) -> JobArrival:
        """Returns the job with its arrival delayed by some seconds."""
        return replace(self, at_s=self.at_s + delay_s)


@dataclass(frozen=True, slots=True)
class WorkloadShape:
    """Parameters of the generated load.

    Attributes:
        slots: Number of slots that ``load`` refers to.
        load: Offered work as a share of the slots.
        duration_s: Duration of the arrivals in seconds.
        single_share: Share of jobs with a single task.
        seed: Seed of all random draws.
    """

    slots: int
    load: float
    duration_s: float
    single_share: float = SINGLE_SHARE
    seed: int = 1


def mean_run_s() -> float:
    """Returns the mean run time of a task in seconds.

    Short run times follow a log-uniform distribution, long ones a uniform one.
    """
    short_s = (SHORT_MAX_S - SHORT_MIN_S) / math.log(SHORT_MAX_S / SHORT_MIN_S)
    long_s = (LONG_MIN_S + LONG_MAX_S) / 2
    return (1 - LONG_SHARE) * short_s + LONG_SHARE * long_s


def mean_tasks(single_share: float) -> float:
    """Returns the mean number of tasks of a job.

    The task counts of larger jobs follow a log-uniform distribution.
    """
    ratio = MAX_JOB_TASKS / MIN_JOB_TASKS
    large = (MAX_JOB_TASKS - MIN_JOB_TASKS) / math.log(ratio)
    return single_share + (1 - single_share) * large


def generate_jobs(shape: WorkloadShape) -> list[JobArrival]:
    """Returns the jobs by arrival time; arrivals form a Poisson process."""
    rng = random.Random(shape.seed)
    work_s = mean_tasks(shape.single_share) * mean_run_s()
    rate = shape.load * shape.slots / work_s
    jobs: list[JobArrival] = []
    at_s = rng.expovariate(rate)
    while at_s < shape.duration_s:
        tasks = _draw_tasks(rng, shape.single_share)
        run_s = [_draw_run_s(rng) for _ in range(tasks)]
        jobs.append(JobArrival(at_s, run_s, rng.random() < 0.5))
        at_s += rng.expovariate(rate)
    return jobs


def ideal_duration_s(run_s: list[float], slots: int) -> float:
    """Returns the duration of a job in seconds on idle slots, without overhead.

    Tasks start in order, each on the next free slot.
    """
    slot_ends_s = list(run_s[:slots])
    heapq.heapify(slot_ends_s)
    end_s = max(slot_ends_s)
    for task_s in run_s[slots:]:
        finished_s = heapq.heappop(slot_ends_s) + task_s
        heapq.heappush(slot_ends_s, finished_s)
        end_s = max(end_s, finished_s)
    return end_s


def _draw_tasks(rng: random.Random, single_share: float) -> int:
    if rng.random() < single_share:
        return 1
    low, high = math.log(MIN_JOB_TASKS), math.log(MAX_JOB_TASKS)
    return round(math.exp(rng.uniform(low, high)))


def _draw_run_s(rng: random.Random) -> float:
    if rng.random() < LONG_SHARE:
        return rng.uniform(LONG_MIN_S, LONG_MAX_S)
    return math.exp(rng.uniform(math.log(SHORT_MIN_S), math.log(SHORT_MAX_S)))
