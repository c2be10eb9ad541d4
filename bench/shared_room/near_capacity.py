"""Compares strategies at loads of 0.8 to 1.3 times the capacity.

Usage: .venv/bin/python -m bench.shared_room.near_capacity [--seeds 4]

The model has six targets, the remainder of a fleet of eleven after an availability zone
is evacuated and a target has left, and three entries with equal numbers of callers.
"""

from __future__ import annotations

import argparse
import random
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from bench.shared_room.shortage import ESTIMATE_ERROR
from bench.shared_room.shortage import LATE_WORTH
from bench.shared_room.shortage import OBJECTIVE_S
from bench.shared_room.shortage import STRETCH_FACTOR
from bench.shared_room.shortage import Kind
from bench.shared_room.simulator import REFUSED
from bench.shared_room.simulator import SharingStrategy
from bench.shared_room.simulator import Simulator
from bench.shared_room.state import ModelAgent
from bench.shared_room.state import ModelEntry
from bench.shared_room.state import ModelJob
from jackdawkeel.policy.waiting import MAX_END_OBJECTIVES
from jackdawkeel.policy.waiting import JobTiming
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.specification import StepSpec


if TYPE_CHECKING:
    from collections.abc import Iterable


LOADS = (0.8, 0.9, 1.0, 1.1, 1.3)
ENTRIES = ("a", "b", "c")
SMALL = Resources(32_000, 131_072)
LARGE = Resources(48_000, 131_072)
# Capacity and relative run time; the first target is larger and slower, as a third of
# the fleet is.
TARGETS = ((LARGE, 1.2), *[(SMALL, 0.95)] * 5)
KINDS = {
    "short": Kind(0, 8, 0.12, 34.4),
    "long": Kind(2, 4, 1.8, 6.25),
    "small": Kind(1, 2, 0.4, 100.0),
}
TASK_CPU_MILLIS = 3100
WIDTH_SPREAD = 0.4
WORK_SPREAD = 0.4
CPU_SPREAD = 0.2
RUN_SPREAD = 0.08
MAX_WIDTH = 4
WIDTH_SAMPLES = 2000
CALM_LOAD = 0.75
LOAD_AT_S = 2.0
JUDGED_S = 10.0
DRAIN_S = 8.0

TODAY = SharingStrategy(limits_wait=True, limits_queues=True, admits_late=True)
STRATEGIES = {
    "today": TODAY,
    "not late": replace(TODAY, admits_late=False),
    "queues not limited": replace(TODAY, limits_queues=False),
    "wait not limited": replace(TODAY, limits_wait=False, limits_queues=False),
}


class Outcomes:
    """Ends of the jobs of one or more runs.

    Attributes:
        in_time: Whether each job ended in time, by kind.
        kept: Whether each job that was admitted as in time ended in time.
        worth: Worth of each end: 1 in time, less if late.
    """

    def __init__(self) -> None:
        self.in_time: dict[str, list[bool]] = {name: [] for name in KINDS}
        self.kept: list[bool] = []
        self.worth: list[float] = []

    def add(self, job: ModelJob) -> None:
        """Adds a job; one that has not ended when its run does counts as refused."""
        end_at = job.ended_at or REFUSED
        objectives = (end_at - job.timing.arrived_at) / _true_objective_s(job)
        is_in_time = objectives <= 1.0
        self.in_time[job.queue].append(is_in_time)
        if end_at != REFUSED and not job.is_late:
            self.kept.append(is_in_time)
        late_worth = LATE_WORTH if objectives <= MAX_END_OBJECTIVES else 0.0
        self.worth.append(1.0 if is_in_time else late_worth)

    def measure(self) -> dict[str, float]:
        """Returns the shares of jobs in time and of kept promises, and the worth."""
        everything = [met for values in self.in_time.values() for met in values]
        kinds = {name: _mean(values) for name, values in self.in_time.items()}
        return {
            "in time": _mean(everything),
            "worst kind": min(kinds.values()),
            "kept": _mean(self.kept),
            "worth": _mean(self.worth),
            **kinds,
        }


def build_agents() -> list[ModelAgent]:
    """Returns the agents of the six targets, in two availability zones."""
    return [
        ModelAgent(f"t{index}", ENTRIES[index % 2], size, size, slowness=slowness)
        for index, (size, slowness) in enumerate(TARGETS)
    ]


def generate_jobs(
    entries: list[ModelEntry], load: float, rng: random.Random
) -> list[ModelJob]:
    """Returns Poisson arrivals that claim a multiple of the capacity."""
    cores = sum(size.cpu_millis / 1000 / slowness for size, slowness in TARGETS)
    jobs_per_s = cores / _mean_work_s()
    jobs = []
    time_s = 0.0
    while time_s < LOAD_AT_S + JUDGED_S:
        present = load if time_s >= LOAD_AT_S else CALM_LOAD
        time_s += rng.expovariate(jobs_per_s * present)
        jobs.append(_make_job(rng.choice(entries), time_s, rng))
    return jobs


def _make_job(entry: ModelEntry, time_s: float, rng: random.Random) -> ModelJob:
    name = rng.choices(list(KINDS), [kind.weight for kind in KINDS.values()])[0]
    kind = KINDS[name]
    work_s = kind.run_s * _spread(WORK_SPREAD, rng)
    estimate_s = work_s * rng.uniform(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR)
    count = _draw_width(kind, rng)
    cpu = round(TASK_CPU_MILLIS * _spread(CPU_SPREAD, rng))
    timing = JobTiming(
        priority=kind.priority,
        arrived_at=time_s,
        expected_s=estimate_s,
        objective_s=STRETCH_FACTOR * estimate_s + OBJECTIVE_S,
        deadline_at=time_s + DRAIN_S,
    )
    step = StepSpec(count, Resources(cpu, 64), round(1000 * estimate_s))
    run_s = [work_s * rng.lognormvariate(0.0, RUN_SPREAD) for _ in range(count)]
    return ModelJob(entry, timing, step, run_s, list(range(count)), count, queue=name)


def _draw_width(kind: Kind, rng: random.Random) -> int:
    width = round(kind.tasks * _spread(WIDTH_SPREAD, rng))
    return max(1, min(MAX_WIDTH * kind.tasks, width))


def _spread(sigma: float, rng: random.Random) -> float:
    """Returns a factor with a mean of 1."""
    return rng.lognormvariate(-sigma * sigma / 2, sigma)


def _mean_work_s() -> float:
    """Returns the mean processor seconds of a job."""
    rng = random.Random(0)
    total = sum(kind.weight for kind in KINDS.values())
    return sum(
        kind.weight
        / total
        * _mean([float(_draw_width(kind, rng)) for _ in range(WIDTH_SAMPLES)])
        * kind.run_s
        * TASK_CPU_MILLIS
        / 1000
        for kind in KINDS.values()
    )


def _true_objective_s(job: ModelJob) -> float:
    """Returns the objective by the true run time, which only the caller knows."""
    return STRETCH_FACTOR * _mean(job.run_s) + OBJECTIVE_S


def play(strategy: SharingStrategy, load: float, seeds: Iterable[int]) -> Outcomes:
    """Returns the ends of the jobs that arrive while the load is present."""
    outcomes = Outcomes()
    for seed in seeds:
        entries = [ModelEntry(zone, zone, 1 / len(ENTRIES)) for zone in ENTRIES]
        simulator = Simulator(entries, build_agents(), strategy, seed)
        jobs = generate_jobs(entries, load, random.Random(seed))
        for job in jobs:
            simulator.schedule_at(job.timing.arrived_at, partial(simulator.submit, job))
        simulator.run_until(LOAD_AT_S + JUDGED_S + DRAIN_S)
        for job in jobs:
            if job.timing.arrived_at >= LOAD_AT_S:
                outcomes.add(job)
    return outcomes


def _mean(values: list[float] | list[bool]) -> float:
    return sum(values) / max(1, len(values))


def main() -> None:
    """Prints one row of figures for each load and strategy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    arguments = parser.parse_args()
    for load in LOADS:
        for name, strategy in STRATEGIES.items():
            outcomes = play(strategy, load, range(1, arguments.seeds + 1))
            figures = outcomes.measure().items()
            cells = ", ".join(f"{key} {value:.3f}" for key, value in figures)
            print(f"{load} {name}: {cells}", flush=True)


if __name__ == "__main__":
    main()
