"""The entries, agents and jobs of a large fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.shared_room.state import ModelAgent
from bench.shared_room.state import ModelEntry
from bench.shared_room.state import ModelJob
from jackdawkeel.policy.waiting import JobTiming
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.specification import StepSpec


if TYPE_CHECKING:
    import random


# Entries and callers by availability zone, as in the large deployment of the users.
ZONES = {"a": (8, 11), "b": (7, 11), "c": (8, 13), "d": (6, 12), "e": (6, 14)}
TARGETS_PER_ZONE = 32
TARGETS_PER_RACK = 12
RACKS = 15
SMALL = Resources(32_000, 131_072)
BIG = Resources(48_000, 196_608)
BIG_SLOWNESS = 1.3
TASK_DEMAND = Resources(5_000, 64)
STRETCH_FACTOR = 1.6
OBJECTIVE_S = 0.064
DEADLINE_S = 1.6
# Standard deviations of the logarithms of task counts and run times.
COUNT_SPREAD = 0.4
RUN_SPREAD = 0.15
# Typical number of tasks, typical run time in seconds, priority, jobs per second, and
# whether the job prefers a rack.
JOB_KINDS = (
    (8, 0.12, 0, 154.0, True),
    (4, 1.8, 2, 28.1, False),
    (2, 0.4, 1, 450.0, False),
)
# Share of the jobs with a rack that prefer the hot one, if there is one.
HOT_SHARE = 0.5


def build_entries(rng: random.Random) -> list[ModelEntry]:
    """Returns the entries; each caller of a zone uses one of its entries at random."""
    callers = sum(count for _, count in ZONES.values())
    entries = []
    for zone, (count, zone_callers) in ZONES.items():
        chosen = [rng.randrange(count) for _ in range(zone_callers)]
        entries += [
            ModelEntry(f"{zone}{index}", zone, chosen.count(index) / callers)
            for index in range(count)
        ]
    return entries


def build_agents() -> list[ModelAgent]:
    """Returns the agents; each zone has three racks, and every third target is big."""
    agents = []
    for number, zone in enumerate(ZONES):
        for index in range(TARGETS_PER_ZONE):
            is_big = index % 3 == 2
            capacity = BIG if is_big else SMALL
            rack = f"rack-{3 * number + index // TARGETS_PER_RACK}"
            agent = ModelAgent(f"t{zone}{index}", zone, capacity, capacity)
            agent.labels = frozenset({rack})
            agent.slowness = BIG_SLOWNESS if is_big else 1.0
            agents.append(agent)
    return agents


def generate_jobs(
    entries: list[ModelEntry],
    seconds: float,
    burst: float,
    burst_window_s: tuple[float, float],
    hot_rack: str,
    rng: random.Random,
) -> list[ModelJob]:
    """Returns the jobs of a run as open-loop Poisson arrivals with a burst.

    Args:
        entries: Entries that receive the jobs, by their share of the callers.
        seconds: Duration of the arrivals in seconds.
        burst: Factor of the arrival rates during the burst.
        burst_window_s: Begin and end of the burst in seconds.
        hot_rack: Rack that ``HOT_SHARE`` of the jobs with a rack prefer; empty if none.
        rng: Source of all random draws.
    """
    shares = [entry.share for entry in entries]
    jobs = []
    for tasks, typical_s, priority, rate, has_rack in JOB_KINDS:
        time_s = 0.0
        while time_s < seconds:
            is_burst = burst_window_s[0] <= time_s < burst_window_s[1]
            time_s += rng.expovariate(rate * (burst if is_burst else 1.0))
            entry = rng.choices(entries, shares)[0]
            rack = f"rack-{rng.randrange(RACKS)}" if has_rack else ""
            if has_rack and hot_rack and rng.random() < HOT_SHARE:
                rack = hot_rack
            timing = JobTiming(
                priority=priority,
                arrived_at=time_s,
                expected_s=typical_s,
                objective_s=STRETCH_FACTOR * typical_s + OBJECTIVE_S,
                deadline_at=time_s + max(DEADLINE_S, 3 * typical_s),
            )
            count = max(1, round(tasks * rng.lognormvariate(0.0, COUNT_SPREAD)))
            run_s = [
                typical_s * rng.lognormvariate(0.0, RUN_SPREAD) for _ in range(count)
            ]
            step = StepSpec(
                count, TASK_DEMAND, round(1000 * typical_s), preferred_rack=rack
            )
            jobs.append(ModelJob(entry, timing, step, run_s, list(range(count)), count))
    return jobs
