"""Compares numbers of entries that an agent reports to, in a large fleet.

Usage: .venv/bin/python -m bench.large_fleet [--seconds 10] [--seed 1] [--burst 1.45]

The model has 160 targets in five availability zones and 15 racks, and 35 entries. The
61 callers of the zones choose entries at random, so that entries have different loads.
Two thirds of the targets have 32 cores; the others have 48 and run tasks 1.3 times as
long. Each job of eight tasks prefers one rack, and its tasks take 1.5 times as long
elsewhere. The jobs use 0.78 of the cores, and more during the burst.
"""

from __future__ import annotations

import argparse
import random
from functools import partial
from typing import TYPE_CHECKING

from bench.large_fleet.fleet import build_agents
from bench.large_fleet.fleet import build_entries
from bench.large_fleet.fleet import generate_jobs
from bench.large_fleet.scenario import SCENARIOS
from bench.shared_room.simulator import ALL_ENTRIES
from bench.shared_room.simulator import REFUSED
from bench.shared_room.simulator import SharingStrategy
from bench.shared_room.simulator import Simulator


if TYPE_CHECKING:
    from bench.shared_room.state import ModelJob


BURST_WINDOW_S = (3.0, 7.0)
DRAIN_S = 4.0
# Worth of a job to its caller, by priority, and the share of it if the answer is late.
JOB_WORTH = {0: 0.00323, 1: 0.00111, 2: 0.0178}
LATE_SHARE = 0.2
# A refusal after this share of the objective has kept its caller waiting for nothing.
HELD_SHARE = 0.25
STRATEGIES = {
    f"{count} entries per agent": SharingStrategy(reported_entries=count)
    for count in (6, 8, 10, 12, 14, 20, ALL_ENTRIES)
}
STRATEGIES |= {
    f"{count} entries per agent, limited wait": SharingStrategy(
        reported_entries=count, limits_wait=True
    )
    for count in (8, 12)
}


def measure(
    scenario: str,
    strategy: SharingStrategy,
    seconds: float,
    seed: int,
    burst: float,
) -> dict[str, float]:
    """Runs the load once and returns the figures of the jobs of the burst."""
    rng = random.Random(seed)
    entries, agents = build_entries(rng), build_agents()
    SCENARIOS[scenario](entries, agents)
    agents = [agent for agent in agents if agent.capacity.cpu_millis]
    simulator = Simulator(entries, agents, strategy, seed)
    hot_rack = "rack-0" if scenario == "hot rack" else ""
    jobs = generate_jobs(entries, seconds, burst, BURST_WINDOW_S, hot_rack, rng)
    for job in jobs:
        simulator.schedule_at(job.timing.arrived_at, partial(simulator.submit, job))
    simulator.run_until(seconds + DRAIN_S)
    judged = [
        job
        for job in jobs
        if BURST_WINDOW_S[0] <= job.timing.arrived_at < BURST_WINDOW_S[1] + 1.0
    ]
    in_time = [
        0.0 < job.ended_at <= job.timing.arrived_at + job.timing.objective_s
        for job in judged
    ]
    held = [
        job.refused_at > job.timing.arrived_at + HELD_SHARE * job.timing.objective_s
        for job in judged
    ]
    racked = [met for met, job in zip(in_time, judged, strict=True) if _has_rack(job)]
    owed = sum(JOB_WORTH[job.timing.priority] for job in judged)
    earned = sum(
        JOB_WORTH[job.timing.priority] * (1.0 if met else _late_credit(job))
        for met, job in zip(in_time, judged, strict=True)
    )
    return {
        "worth": earned / owed,
        "in time": sum(in_time) / len(in_time),
        "with a rack": sum(racked) / len(racked),
        "refused": sum(job.ended_at == REFUSED for job in judged) / len(judged),
        "held and refused": sum(held) / len(held),
        "reports a second and entry": simulator.reports
        / (seconds + DRAIN_S)
        / len(entries),
    }


def _late_credit(job: ModelJob) -> float:
    latest = job.timing.arrived_at + 3 * job.timing.objective_s
    return LATE_SHARE if 0.0 < job.ended_at <= latest else 0.0


def _has_rack(job: ModelJob) -> bool:
    return bool(job.step.preferred_rack)


def main() -> None:
    """Prints one row of figures for each scenario and strategy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--burst", type=float, default=1.45)
    arguments = parser.parse_args()
    for scenario in SCENARIOS:
        for name, strategy in STRATEGIES.items():
            figures = measure(
                scenario, strategy, arguments.seconds, arguments.seed, arguments.burst
            )
            shown = ", ".join(f"{key} {value:.3f}" for key, value in figures.items())
            print(f"{scenario}, {name}: {shown}", flush=True)


if __name__ == "__main__":
    main()
