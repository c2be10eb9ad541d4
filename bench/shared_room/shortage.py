"""Compares how scarce capacity is shared between queues, with and without late jobs.

Usage: .venv/bin/python -m bench.shared_room.shortage [--seed 1] [--load 1.3]
       .venv/bin/python -m bench.shared_room.shortage --kind long --load 2.6

The model has 27 targets of 64 or 96 cores, the latter 1.3 times slower, and five
entries in three availability zones with equal numbers of callers. Three queues of
different priorities claim 0.6 of the capacity, and a multiple of it during a burst.
With ``--kind``, they claim 0.68, and the load multiplies the jobs of one queue.
"""

from __future__ import annotations

import argparse
import random
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import replace
from functools import partial

from bench.shared_room.orders import order_by_share
from bench.shared_room.orders import order_by_work
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


ZONES = ("a", "b", "c")
ENTRIES = {"a": 2, "b": 2, "c": 1}
TARGETS = 27
SMALL = Resources(64_000, 262_144)
LARGE = Resources(96_000, 262_144)
LARGE_RUN_FACTOR = 1.3
TASK_DEMAND = Resources(6_700, 64)
CALM_LOAD = 0.6
CALM_LOAD_OF_ONE_KIND = 0.68
RUN_SPREAD = 0.1
# Callers' estimates are wrong by up to this part of the run time.
ESTIMATE_ERROR = 0.4
STRETCH_FACTOR = 1.6
OBJECTIVE_S = 0.06
DEADLINE_S = 15.0
BURST_AT_S = 2.0
DRAIN_S = 9.0
# Share of the jobs of a kind and the factor of their number of tasks.
WIDTHS = ((0.7, 0.75), (0.2, 1.25), (0.1, 2.25))
WIDEST = WIDTHS[-1][1]
LATE_WORTH = 0.2
HELD_WORTH = -0.5
HELD_OBJECTIVES = 0.25


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of job, which has a queue of its own.

    Attributes:
        priority: Priority of its queue.
        tasks: Mean number of tasks of a job.
        run_s: Typical run time of a task in seconds.
        weight: Its part of the jobs.
    """

    priority: int
    tasks: int
    run_s: float
    weight: float


KINDS = {
    "short": Kind(0, 8, 0.12, 103.0),
    "long": Kind(2, 4, 1.8, 19.0),
    "small": Kind(1, 2, 0.4, 300.0),
}


UNLIMITED = SharingStrategy(limits_wait=True, limits_queues=False)
STRATEGIES = {
    "strict priority": UNLIMITED,
    "weighted share": replace(UNLIMITED, order=order_by_share),
    "value per core-second": replace(UNLIMITED, order=order_by_work),
    "strict, limited admission": replace(UNLIMITED, limits_queues=True),
}


def build_agents() -> list[ModelAgent]:
    """Returns the agents; a third of each zone has large targets."""
    sizes = [(SMALL, 1.0), (SMALL, 1.0), (LARGE, LARGE_RUN_FACTOR)]
    return [
        ModelAgent(
            f"t{index}",
            ZONES[index % 3],
            sizes[index // 3 % 3][0],
            sizes[index // 3 % 3][0],
            slowness=sizes[index // 3 % 3][1],
        )
        for index in range(TARGETS)
    ]


def build_entries() -> list[ModelEntry]:
    """Returns two entries in two zones and one in the third."""
    return [
        ModelEntry(f"{zone}{index}", zone, 1 / len(ZONES) / count)
        for zone, count in ENTRIES.items()
        for index in range(count)
    ]


def make_job(
    entry: ModelEntry, time_s: float, name: str, width: float, rng: random.Random
) -> ModelJob:
    """Returns a job of a kind whose run times vary around the typical one."""
    kind = KINDS[name]
    count = max(1, round(kind.tasks * width))
    estimate_s = kind.run_s * rng.uniform(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR)
    timing = JobTiming(
        priority=kind.priority,
        arrived_at=time_s,
        expected_s=estimate_s,
        objective_s=STRETCH_FACTOR * estimate_s + OBJECTIVE_S,
        deadline_at=time_s + DEADLINE_S,
    )
    run_s = [kind.run_s * rng.lognormvariate(0.0, RUN_SPREAD) for _ in range(count)]
    step = StepSpec(count, TASK_DEMAND, round(1000 * estimate_s))
    return ModelJob(
        entry, timing, step, run_s, list(range(count)), count, queue=name, width=width
    )


def jobs_per_s(load: float) -> float:
    """Returns the rate of all jobs that claims a multiple of the capacity."""
    cores = sum(
        agent.capacity.cpu_millis / 1000 / agent.slowness for agent in build_agents()
    )
    total = sum(kind.weight for kind in KINDS.values())
    spread = random.Random(0)
    mean_run = sum(spread.lognormvariate(0.0, RUN_SPREAD) for _ in range(10_000)) / 1e4
    work_s = sum(
        kind.weight / total * share * max(1, round(kind.tasks * width)) * kind.run_s
        for kind in KINDS.values()
        for share, width in WIDTHS
    )
    return load * cores / (work_s * mean_run * TASK_DEMAND.cpu_millis / 1000)


def generate_jobs(
    entries: list[ModelEntry],
    load: float,
    burst_s: float,
    rng: random.Random,
    burst_kind: str = "",
) -> list[ModelJob]:
    """Returns the jobs of a run as Poisson arrivals with a burst of some seconds.

    Args:
        entries: Entries that receive the jobs, by their share of the callers.
        load: Claimed multiple of the capacity during the burst; the multiple of the
            usual jobs of ``burst_kind`` if that is given.
        burst_s: Length of the burst in seconds.
        rng: Source of all random draws.
        burst_kind: Kind of the additional jobs; empty for all kinds.
    """
    calm = {name: kind.weight for name, kind in KINDS.items()}
    rates = {True: jobs_per_s(load), False: jobs_per_s(CALM_LOAD)}
    weights = {True: calm, False: calm}
    if burst_kind:
        burst = calm | {burst_kind: load * calm[burst_kind]}
        rate = jobs_per_s(CALM_LOAD_OF_ONE_KIND)
        growth = sum(burst.values()) / sum(calm.values())
        rates = {True: rate * growth, False: rate}
        weights = {True: burst, False: calm}
    jobs = []
    time_s = 0.0
    while time_s < BURST_AT_S + burst_s + 2.0:
        is_burst = BURST_AT_S <= time_s < BURST_AT_S + burst_s
        time_s += rng.expovariate(rates[is_burst])
        entry = rng.choices(entries, [entry.share for entry in entries])[0]
        name = rng.choices(list(KINDS), list(weights[is_burst].values()))[0]
        width = rng.choices(
            [width for _, width in WIDTHS], [share for share, _ in WIDTHS]
        )[0]
        jobs.append(make_job(entry, time_s, name, width, rng))
    return jobs


def measure(
    strategy: SharingStrategy,
    load: float,
    burst_s: float,
    seed: int,
    burst_kind: str = "",
) -> dict[str, float]:
    """Runs one strategy; returns shares of the jobs of the burst and 1 s after it."""
    entries = build_entries()
    simulator = Simulator(entries, build_agents(), strategy, seed)
    rng = random.Random(seed)
    jobs = generate_jobs(entries, load, burst_s, rng, burst_kind)
    for job in jobs:
        simulator.schedule_at(job.timing.arrived_at, partial(simulator.submit, job))
    simulator.run_until(BURST_AT_S + burst_s + DRAIN_S)
    end_s = BURST_AT_S + burst_s + 1.0
    judged = [job for job in jobs if BURST_AT_S <= job.timing.arrived_at < end_s]
    by_kind: defaultdict[str, list[float]] = defaultdict(list)
    by_zone: defaultdict[str, list[float]] = defaultdict(list)
    for job in judged:
        by_kind[job.queue].append(_is_in_time(job))
        by_zone[job.entry.zone].append(_is_in_time(job))
    kinds = {name: _mean(values) for name, values in by_kind.items()}
    return {
        "in time": _mean([_is_in_time(job) for job in judged]),
        "answered": _mean([_end_objectives(job) <= 3.0 for job in judged]),
        "worst kind": min(kinds.values()),
        "worst zone": min(_mean(values) for values in by_zone.values()),
        "largest 10%": _mean([_is_in_time(job) for job in judged if _is_wide(job)]),
        "refused late": _mean([_is_held(job) for job in judged]),
        "worth": _mean([weigh_job(job) for job in judged]),
        **kinds,
    }


def weigh_job(job: ModelJob) -> float:
    """Returns what the end of a job is worth to its caller."""
    if job.ended_at == REFUSED:
        return HELD_WORTH if _is_held(job) else 0.0
    ends = _end_objectives(job)
    return 1.0 if ends <= 1.0 else LATE_WORTH if ends <= MAX_END_OBJECTIVES else 0.0


def _end_objectives(job: ModelJob) -> float:
    if not job.ended_at:
        return float("inf")
    return (job.ended_at - job.timing.arrived_at) / _objective_s(job)


def _objective_s(job: ModelJob) -> float:
    """Returns the objective by the typical run time, which only the caller knows."""
    return STRETCH_FACTOR * KINDS[job.queue].run_s + OBJECTIVE_S


def _is_in_time(job: ModelJob) -> bool:
    return _end_objectives(job) <= 1.0


def _is_wide(job: ModelJob) -> bool:
    return job.width == WIDEST


def _is_held(job: ModelJob) -> bool:
    held_s = job.refused_at - job.timing.arrived_at
    return held_s > HELD_OBJECTIVES * _objective_s(job)


def _mean(values: list[float] | list[bool]) -> float:
    return sum(values) / max(1, len(values))


def main() -> None:
    """Prints one row of figures for each load, length and strategy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", type=float, nargs="+", default=[1.1, 1.3, 1.6, 2.0])
    parser.add_argument("--burst-s", type=float, nargs="+", default=[3.0, 7.0])
    parser.add_argument("--kind", choices=list(KINDS), default="")
    arguments = parser.parse_args()
    for load in arguments.load:
        for burst_s in arguments.burst_s:
            for name, base in STRATEGIES.items():
                for admits_late in (False, True):
                    strategy = replace(base, admits_late=admits_late)
                    figures = measure(
                        strategy, load, burst_s, arguments.seed, arguments.kind
                    )
                    late = "late" if admits_late else "not late"
                    cells = " | ".join(f"{value:.3f}" for value in figures.values())
                    print(f"| {load}, {burst_s:.0f} s | {name}, {late} | {cells} |")


if __name__ == "__main__":
    main()
