"""Compares rules for the choice of targets when fast targets and one rack are short.

Usage: .venv/bin/python -m bench.large_fleet.uneven [--seconds 8] [--seed 1]

The model has 57 targets in three availability zones and 9 entries. A third of the
targets is 1.5 times as large and runs tasks 2.4 times as long as the others. Tasks
outside the rack of their data take 3 times as long. 0.6 of the short wide jobs prefer
one rack of eight targets. Loads are multiples of the work that all targets can run.
"""

from __future__ import annotations

import argparse
import random
from dataclasses import dataclass
from functools import partial
from statistics import fmean
from typing import TYPE_CHECKING

from bench.shared_room.simulator import ASSIGNMENT_WAIT_S
from bench.shared_room.simulator import SharingStrategy
from bench.shared_room.simulator import Simulator
from bench.shared_room.state import ModelAgent
from bench.shared_room.state import ModelEntry
from bench.shared_room.state import ModelJob
from jackdawkeel.policy.packing import RunTimeLimit
from jackdawkeel.policy.packing import TargetCapacity
from jackdawkeel.policy.packing import place_tasks
from jackdawkeel.policy.rack_demand import decay_work
from jackdawkeel.policy.rack_demand import reserve_millis
from jackdawkeel.policy.target_rank import predict_slowdown
from jackdawkeel.policy.waiting import JobTiming
from jackdawkeel.policy.waiting import rank_job
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.specification import StepSpec


if TYPE_CHECKING:
    from bench.shared_room.state import ModelAssignment
    from bench.shared_room.state import ModelView


ZONES = 3
TARGETS_PER_ZONE = 19
TARGETS_PER_RACK = 8
ENTRIES_PER_ZONE = 3
SMALL = Resources(32_000, 131_072)
BIG = Resources(48_000, 196_608)
KIND_RATIO = 2.4
REMOTE_SLOWDOWN = 3.0
HOT_RACK = "rack-0-0"
HOT_SHARE = 0.6
TASK_DEMAND = Resources(2_700, 64)
STRETCH_FACTOR = 1.6
OBJECTIVE_S = 0.06
COUNT_SPREAD = 0.4
RUN_SPREAD = 0.15
# Name, typical number of tasks, typical run time in seconds, priority, jobs per second.
JOB_KINDS = (
    ("short", 8, 0.102, 0, 91.0),
    ("long", 4, 1.52, 2, 17.0),
    ("small", 2, 0.34, 1, 264.0),
)
LOADS = (0.7, 0.9, 1.1)
WARM_UP_S = 2.0
DRAIN_S = 6.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules for the choice of targets.

    Attributes:
        knows_kinds: Whether the run-time factor of a kind is known; otherwise the
            targets of a slow kind appear as slow.
        waits: Whether tasks wait for a target on which they end in time.
        reserves: Whether racks keep free capacity for observed demand.
    """

    knows_kinds: bool = False
    waits: bool = False
    reserves: bool = False


BEFORE = Rules()
AFTER = Rules(knows_kinds=True, waits=True, reserves=True)
RULES = {
    "before": BEFORE,
    "kinds": Rules(knows_kinds=True),
    "kinds, wait": Rules(knows_kinds=True, waits=True),
    "kinds, racks": Rules(knows_kinds=True, reserves=True),
    "after": AFTER,
}


class UnevenSimulator(Simulator):
    """Simulates entries that choose targets by the given rules.

    Attributes:
        rules: The rules.
        work: Decayed work of hot jobs in thousandths of a core times seconds, and the
            time of its last decay, by entry.
        late: Jobs with a task that is predicted to end late.
    """

    def __init__(
        self,
        entries: list[ModelEntry],
        agents: list[ModelAgent],
        rules: Rules,
        seed: int,
    ) -> None:
        self.rules = rules
        self.work: dict[str, tuple[float, float]] = {}
        self.late: set[ModelJob] = set()
        super().__init__(entries, agents, SharingStrategy(limits_wait=True), seed)

    def submit(self, job: ModelJob) -> None:
        """Queues a job at its entry and records the demand for its rack."""
        if job.step.preferred_rack:
            work, at = self.work.get(job.entry.name, (0.0, self.now))
            millis_s = job.step.count * TASK_DEMAND.cpu_millis * job.timing.expected_s
            work = decay_work(work, self.now - at) + millis_s
            self.work[job.entry.name] = (work, self.now)
        super().submit(job)

    def _measure_reserves(self, entry: ModelEntry) -> dict[str, float]:
        work, at = self.work.get(entry.name, (0.0, self.now))
        waiting = sum(
            len(job.ready) * TASK_DEMAND.cpu_millis
            for job in entry.waiting
            if job.step.preferred_rack
        )
        reserve = reserve_millis(decay_work(work, self.now - at), waiting)
        return {HOT_RACK: reserve} if reserve else {}

    def _run_pass(self, entry: ModelEntry) -> None:
        entry.is_pass_scheduled = False
        entry.last_pass_at = self.now
        entry.waiting.sort(
            key=lambda job: rank_job(job.timing, self.now, has_begun=job.has_begun)
        )
        targets = [self._view_target(entry, view) for view in entry.views.values()]
        reserves = self._measure_reserves(entry) if self.rules.reserves else {}
        for job in entry.waiting:
            max_slowdown = job.timing.max_slowdown(self.now)
            may_wait = self.rules.waits and job not in self.late
            limit = RunTimeLimit(max_slowdown, REMOTE_SLOWDOWN, may_wait)
            chosen = place_tasks(job.step, len(job.ready), targets, limit, reserves)
            for target in chosen.targets:
                job.has_begun = True
                if predict_slowdown(job.step, target, REMOTE_SLOWDOWN) > max_slowdown:
                    self.late.add(job)
                self._assign(job, entry.views[target.name], ASSIGNMENT_WAIT_S)
        entry.waiting = [job for job in entry.waiting if job.ready]
        if not entry.waiting:
            entry.short_since = float("inf")
        elif entry.short_since == float("inf"):
            entry.short_since = self.now

    def _view_target(self, entry: ModelEntry, view: ModelView) -> TargetCapacity:
        target = super()._view_target(entry, view)
        if self.rules.knows_kinds:
            target.run_time_factor, target.slowness = target.slowness, 1.0
        return target

    def _start_waiting(self, agent: ModelAgent) -> None:
        agent.waiting.sort(key=self._rank_assignment)
        for assignment in list(agent.waiting):
            job = assignment.job
            if agent.free.can_fit(job.step.demand):
                agent.waiting.remove(assignment)
                assignment.is_waiting = False
                job.has_begun = True
                agent.free = agent.free.minus(job.step.demand)
                self._claim(assignment)
                end_at = self.now + _run_time_s(assignment)
                self.schedule_at(end_at, partial(self._end_task, assignment))

    def _claim(self, assignment: ModelAssignment) -> None:
        claimed = assignment.job.entry.claimed
        cores = assignment.job.step.demand.cpu_millis / 1000
        claimed.cores += cores
        claimed.work_s += cores * assignment.job.timing.expected_s


def _run_time_s(assignment: ModelAssignment) -> float:
    agent, job = assignment.agent, assignment.job
    rack = job.step.preferred_rack
    distance = REMOTE_SLOWDOWN if rack and rack not in agent.labels else 1.0
    return job.run_s[assignment.task] * agent.slowness * distance


def build_fleet() -> tuple[list[ModelEntry], list[ModelAgent]]:
    """Returns entries and agents; the mean run-time factor of the targets is 1."""
    entries = [
        ModelEntry(f"e{zone}{index}", f"z{zone}", 1 / (ZONES * ENTRIES_PER_ZONE))
        for zone in range(ZONES)
        for index in range(ENTRIES_PER_ZONE)
    ]
    agents = []
    for zone in range(ZONES):
        for index in range(TARGETS_PER_ZONE):
            is_big = (zone * TARGETS_PER_ZONE + index) % 3 == 2
            capacity = BIG if is_big else SMALL
            agent = ModelAgent(f"t{zone}{index}", f"z{zone}", capacity, capacity)
            agent.labels = frozenset({f"rack-{zone}-{index // TARGETS_PER_RACK}"})
            agent.slowness = KIND_RATIO if is_big else 1.0
            agents.append(agent)
    mean = fmean(agent.slowness for agent in agents)
    for agent in agents:
        agent.slowness /= mean
    return entries, agents


def generate_jobs(
    entries: list[ModelEntry],
    agents: list[ModelAgent],
    load: float,
    seconds: float,
    rng: random.Random,
) -> list[ModelJob]:
    """Returns jobs as Poisson arrivals.

    Args:
        entries: Entries that receive the jobs with equal probability.
        agents: Agents, whose capacity determines the rates.
        load: Work that arrives, divided by the work that the targets can run.
        seconds: Duration of the arrivals in seconds.
        rng: Source of all random draws.
    """
    capacity = sum(agent.capacity.cpu_millis / agent.slowness for agent in agents)
    work = sum(rate * count * run_s for _, count, run_s, _, rate in JOB_KINDS)
    rate_factor = load * capacity / (work * TASK_DEMAND.cpu_millis)
    jobs = []
    for name, tasks, typical_s, priority, rate in JOB_KINDS:
        time_s = rng.expovariate(rate * rate_factor)
        while time_s < seconds:
            timing = JobTiming(
                priority=priority,
                arrived_at=time_s,
                expected_s=typical_s,
                objective_s=STRETCH_FACTOR * typical_s + OBJECTIVE_S,
                deadline_at=time_s + max(DRAIN_S, 3 * typical_s),
            )
            count = max(1, round(tasks * rng.lognormvariate(0.0, COUNT_SPREAD)))
            run_s = [
                typical_s * rng.lognormvariate(0.0, RUN_SPREAD) for _ in range(count)
            ]
            is_hot = name == "short" and rng.random() < HOT_SHARE
            rack = HOT_RACK if is_hot else ""
            step = StepSpec(
                count, TASK_DEMAND, round(1000 * typical_s), preferred_rack=rack
            )
            entry = rng.choice(entries)
            jobs.append(ModelJob(entry, timing, step, run_s, list(range(count)), count))
            time_s += rng.expovariate(rate * rate_factor)
    return jobs


def measure(rules: Rules, load: float, seconds: float, seed: int) -> dict[str, float]:
    """Runs the load once and returns shares of the jobs that ended in time."""
    rng = random.Random(seed)
    entries, agents = build_fleet()
    simulator = UnevenSimulator(entries, agents, rules, seed)
    jobs = generate_jobs(entries, agents, load, seconds, rng)
    for job in jobs:
        simulator.schedule_at(job.timing.arrived_at, partial(simulator.submit, job))
    simulator.run_until(seconds + DRAIN_S)
    judged = [job for job in jobs if job.timing.arrived_at >= WARM_UP_S]
    groups = {
        name: [job for job in judged if job.timing.priority == priority]
        for name, _, _, priority, _ in JOB_KINDS
    }
    groups["hot"] = [job for job in judged if job.step.preferred_rack]
    shares = {name: fmean(map(_is_in_time, group)) for name, group in groups.items()}
    return {
        "in time": fmean(map(_is_in_time, judged)),
        "answered": fmean(0.0 < job.ended_at < float("inf") for job in judged),
        **shares,
    }


def _is_in_time(job: ModelJob) -> bool:
    return 0.0 < job.ended_at <= job.timing.arrived_at + job.timing.objective_s


def main() -> None:
    """Prints one row of figures for each load and set of rules."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for load in LOADS:
        for name, rules in RULES.items():
            figures = measure(rules, load, arguments.seconds, arguments.seed)
            shown = ", ".join(f"{key} {value:.3f}" for key, value in figures.items())
            print(f"load {load}, {name}: {shown}", flush=True)


if __name__ == "__main__":
    main()
