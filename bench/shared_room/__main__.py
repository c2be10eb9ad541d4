"""Compares strategies of entries that share target capacity under a burst.

Usage: .venv/bin/python -m bench.shared_room [--seconds 16] [--seed 1]

The model has 52 targets of 32 cores and eight entries in three availability zones.
Each zone has the same number of callers, but one has only two entries instead of
three. Jobs have 2, 4 or 8 tasks of 2.5 cores each, with typical run times of 0.12 to
1.8 s. They use 0.7 of the cores, and more than all of them during the burst.
"""

from __future__ import annotations

import argparse
import random
from collections import defaultdict
from functools import partial

from bench.shared_room.simulator import REFUSED
from bench.shared_room.simulator import SharingStrategy
from bench.shared_room.simulator import Simulator
from bench.shared_room.state import ModelAgent
from bench.shared_room.state import ModelEntry
from bench.shared_room.state import ModelJob
from jackdawkeel.policy.waiting import JobTiming
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.specification import StepSpec


ZONES = ("a", "b", "c")
TARGETS = 52
TARGET_RESOURCES = Resources(32_000, 131_072)
TASK_DEMAND = Resources(2_500, 64)
# Number of tasks, typical run time in seconds and jobs per second, as at the arrivals
# site after its growth.
JOB_KINDS = ((8, 0.12, 103.0), (4, 1.8, 18.8), (2, 0.4, 300.0))
RUN_SPREAD = 0.4
STRETCH_FACTOR = 2.0
OBJECTIVE_S = 0.06
DEADLINE_S = 15.0
BURST_WINDOW_S = (4.0, 8.0)
BURST_FACTOR = 1.8

STRATEGIES = {
    "owner first (today)": SharingStrategy(),
    "all entries notified at once": SharingStrategy(notifies_all=True),
    "assignments wait at agents, 1 each, after 0.05 s": SharingStrategy(
        max_waiting_per_agent=1, min_job_wait_s=0.05, agent_wait_s=0.2
    ),
    "assignments wait at agents, 1 each": SharingStrategy(
        max_waiting_per_agent=1, agent_wait_s=0.2
    ),
    "assignments wait at agents, 1 each, 0.5 s": SharingStrategy(
        max_waiting_per_agent=1, agent_wait_s=0.5
    ),
    "assignments wait at agents, 3 each": SharingStrategy(
        max_waiting_per_agent=3, agent_wait_s=0.2
    ),
}


def build_entries() -> list[ModelEntry]:
    """Returns three entries in two availability zones each and two in the third."""
    counts = {"a": 3, "b": 3, "c": 2}
    return [
        ModelEntry(f"{zone}{index}", zone, 1 / len(ZONES) / counts[zone])
        for zone in ZONES
        for index in range(counts[zone])
    ]


def build_agents() -> list[ModelAgent]:
    """Returns the agents, distributed over the availability zones in turn."""
    return [
        ModelAgent(
            f"t{index}", ZONES[index % len(ZONES)], TARGET_RESOURCES, TARGET_RESOURCES
        )
        for index in range(TARGETS)
    ]


def make_job(
    entry: ModelEntry, time_s: float, tasks: int, typical_s: float, rng: random.Random
) -> ModelJob:
    """Returns a job whose run times vary log-normally around the typical one."""
    expected_s = typical_s
    timing = JobTiming(
        priority=0,
        arrived_at=time_s,
        expected_s=expected_s,
        objective_s=STRETCH_FACTOR * expected_s + OBJECTIVE_S,
        deadline_at=time_s + DEADLINE_S,
    )
    run_s = [typical_s * rng.lognormvariate(0.0, RUN_SPREAD) for _ in range(tasks)]
    step = StepSpec(tasks, TASK_DEMAND, round(1000 * typical_s))
    return ModelJob(entry, timing, step, run_s, list(range(tasks)), tasks)


def generate_jobs(
    entries: list[ModelEntry], seconds: float, burst: float, rng: random.Random
) -> list[ModelJob]:
    """Returns the jobs of a run as open-loop Poisson arrivals with a burst.

    Args:
        entries: Entries that receive the jobs, by their share of the callers.
        seconds: Duration of the arrivals in seconds.
        burst: Factor of the arrival rates during the burst.
        rng: Source of all random draws.
    """
    jobs = []
    for tasks, typical_s, rate in JOB_KINDS:
        time_s = 0.0
        while time_s < seconds:
            is_burst = BURST_WINDOW_S[0] <= time_s < BURST_WINDOW_S[1]
            time_s += rng.expovariate(rate * (burst if is_burst else 1.0))
            entry = rng.choices(entries, [entry.share for entry in entries])[0]
            jobs.append(make_job(entry, time_s, tasks, typical_s, rng))
    return jobs


def measure(
    strategy: SharingStrategy, seconds: float, seed: int, burst: float
) -> dict[str, float]:
    """Runs one strategy and returns its figures.

    The shares of jobs that end in time cover jobs that arrive during the burst or in
    the second after it.
    """
    entries = build_entries()
    simulator = Simulator(entries, build_agents(), strategy, seed)
    jobs = generate_jobs(entries, seconds, burst, random.Random(seed))
    for job in jobs:
        simulator.schedule_at(job.timing.arrived_at, partial(simulator.submit, job))
    simulator.run_until(seconds + DEADLINE_S)
    in_time: dict[str, list[bool]] = defaultdict(list)
    for job in jobs:
        if not BURST_WINDOW_S[0] <= job.timing.arrived_at < BURST_WINDOW_S[1] + 1.0:
            continue
        due = job.timing.arrived_at + job.timing.objective_s
        in_time[job.entry.zone].append(0.0 < job.ended_at <= due)
    everywhere = [is_met for zone in in_time.values() for is_met in zone]
    refused = sum(job.ended_at == REFUSED for job in jobs)
    return {
        "in time": _share(everywhere),
        "zones of 3": _share(in_time["a"] + in_time["b"]),
        "zone of 2": _share(in_time["c"]),
        "refused": refused / len(jobs),
        "messages a task": simulator.messages / sum(len(job.run_s) for job in jobs),
    }


def _share(values: list[bool]) -> float:
    return sum(values) / max(1, len(values))


def main() -> None:
    """Prints one row of figures for each strategy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=16.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--burst", type=float, default=BURST_FACTOR)
    arguments = parser.parse_args()
    for name, strategy in STRATEGIES.items():
        figures = measure(strategy, arguments.seconds, arguments.seed, arguments.burst)
        shown = ", ".join(f"{key} {value:.3f}" for key, value in figures.items())
        print(f"{name}: {shown}", flush=True)


if __name__ == "__main__":
    main()
