"""Simulates entries that assign target capacity from slightly outdated reports."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from functools import partial

from bench.event_queue import EventQueue
from bench.shared_room.orders import Order
from bench.shared_room.orders import order_strictly
from bench.shared_room.state import ModelAgent
from bench.shared_room.state import ModelAssignment
from bench.shared_room.state import ModelEntry
from bench.shared_room.state import ModelJob
from bench.shared_room.state import ModelView
from jackdawkeel.policy.neighbourhood import choose_entries
from jackdawkeel.policy.neighbourhood import weigh_entry
from jackdawkeel.policy.packing import RunTimeLimit
from jackdawkeel.policy.packing import TargetCapacity
from jackdawkeel.policy.packing import count_fitting_tasks
from jackdawkeel.policy.packing import place_tasks
from jackdawkeel.policy.reporting import MIN_CHANGE_INTERVAL_S
from jackdawkeel.policy.reporting import choose_change_interval_s
from jackdawkeel.policy.reporting import request_change_interval_s
from jackdawkeel.policy.sharing import MEMORY_S
from jackdawkeel.policy.sharing import Admission
from jackdawkeel.policy.sharing import PredictedWait
from jackdawkeel.policy.sharing import QueueLoad
from jackdawkeel.policy.sharing import decide_admission
from jackdawkeel.policy.sharing import exceeds_share
from jackdawkeel.policy.sharing import late_rate_share
from jackdawkeel.policy.sharing import may_late_job_start
from jackdawkeel.policy.waiting import OVERLOAD_S
from jackdawkeel.policy.waiting import predict_wait_s
from jackdawkeel.policy.waiting import would_end_too_late
from jackdawkeel.scheduling.leases import REPORT_INTERVAL_S
from jackdawkeel.scheduling.schedule_trigger import CONTENTION_PAUSE_S


LINK_DELAY_S = 0.001
TICK_INTERVAL_S = 0.05
# An agent returns an assignment at once if it has no room.
ASSIGNMENT_WAIT_S = 0.0
# Objectives until which a job may end if no late ones are admitted: the earlier rule.
EARLIER_MAX_END = 1.5
REFUSED = float("inf")
ALL_ENTRIES = 1000
# Least processors that an entry counts on, one target.
MIN_CORES = 32.0
# Run time of a task outside the rack of its data, relative to the time within it.
REMOTE_PENALTY = 1.5


@dataclass(frozen=True, slots=True)
class SharingStrategy:
    """A strategy for sharing target capacity among entries.

    Attributes:
        notifies_all: Whether an agent reports freed capacity to every entry at once.
        max_waiting_per_agent: Number of assignments of an entry that may wait for
            capacity at each agent.
        min_job_wait_s: Seconds that a job must have waited before its assignments may
            wait at agents.
        agent_wait_s: Seconds that such an assignment waits at its agent.
        reported_entries: Number of entries that an agent reports to; all of them if
            there are fewer.
        limits_wait: Whether an entry refuses new jobs that would wait too long.
        admits_late: Whether it admits jobs that end late, but within their limit.
        limits_queues: Whether a queue that exceeds its share of admissions is refused.
        order: Order of the waiting jobs of an entry under shortage.
    """

    notifies_all: bool = False
    max_waiting_per_agent: int = 0
    min_job_wait_s: float = 0.0
    agent_wait_s: float = 0.0
    reported_entries: int = ALL_ENTRIES
    limits_wait: bool = False
    admits_late: bool = False
    limits_queues: bool = False
    order: Order = order_strictly


class Simulator(EventQueue):
    """Simulates entries, agents and the messages between them.

    Args:
        entries: The entries.
        agents: The agents.
        strategy: Strategy for sharing target capacity.
        seed: Seed of all random draws.
    """

    def __init__(
        self,
        entries: list[ModelEntry],
        agents: list[ModelAgent],
        strategy: SharingStrategy,
        seed: int,
    ) -> None:
        super().__init__()
        self.entries = entries
        self.agents = agents
        self.strategy = strategy
        self.rng = random.Random(seed)
        self.messages = 0
        self.reports = 0
        for agent in agents:
            agent.entries = self._choose_entries(agent)
            for entry in agent.entries:
                entry.views[agent.name] = ModelView(agent, agent.free)
        for index, agent in enumerate(agents):
            self.schedule_at(
                TICK_INTERVAL_S * index / len(agents), partial(self._tick_agent, agent)
            )
        for entry in entries:
            self.schedule_at(0.0, partial(self._tick_entry, entry))

    def _choose_entries(self, agent: ModelAgent) -> list[ModelEntry]:
        ranked = sorted(
            (entry.name for entry in self.entries),
            key=lambda name: weigh_entry(agent.name, name),
            reverse=True,
        )
        count = self.strategy.reported_entries
        chosen = choose_entries(ranked, lambda _name: False, count)
        return [entry for entry in self.entries if entry.name in chosen]

    # Behaviour of entries.

    def submit(self, job: ModelJob) -> None:
        """Queues a job at its entry and schedules an assignment pass."""
        job.entry.unstarted.append(job)
        if self.strategy.limits_wait and not self._admit(job):
            self._refuse(job)
            return
        job.entry.waiting.append(job)
        self._schedule_pass(job.entry)

    def _tick_entry(self, entry: ModelEntry) -> None:
        entry.unstarted = [job for job in entry.unstarted if not job.has_begun]
        for job in list(entry.unstarted):
            if self._is_useless(job):
                self._refuse(job)
        entry.waiting = [job for job in entry.waiting if job.ended_at != REFUSED]
        self._schedule_pass(entry)
        self.schedule_at(self.now + TICK_INTERVAL_S, partial(self._tick_entry, entry))

    def _refuse(self, job: ModelJob) -> None:
        job.entry.unstarted.remove(job)
        job.ended_at = REFUSED
        job.refused_at = self.now

    def _is_useless(self, job: ModelJob) -> bool:
        if self.strategy.admits_late:
            return would_end_too_late(job.timing, self.now, 0.0)
        end_at = self.now + job.timing.expected_s
        return end_at > job.timing.arrived_at + EARLIER_MAX_END * job.timing.objective_s

    def _admit(self, job: ModelJob) -> bool:
        load = self._find_load(job)
        is_over_share = self.strategy.limits_queues and exceeds_share(
            load, job.entry.loads.values()
        )
        wait = self._predict_wait(job)
        admission = decide_admission(
            job.timing, self.now, wait, is_over_share=is_over_share
        )
        is_in_time = admission is Admission.IN_TIME
        load.offered_s += job.work_s()
        load.admitted_s += job.work_s() * is_in_time
        job.is_late = admission is Admission.LATE and self.strategy.admits_late
        return is_in_time or job.is_late

    def _find_load(self, job: ModelJob) -> QueueLoad:
        entry = job.entry
        for load in entry.loads.values():
            load.forget(self.now - entry.loads_at)
        entry.loads_at = self.now
        return entry.loads.setdefault(job.queue, QueueLoad(job.timing.priority))

    def _predict_wait(self, job: ModelJob) -> PredictedWait:
        entry = job.entry
        targets = [self._view_target(entry, view) for view in entry.views.values()]
        free_cores = count_fitting_tasks(job.step, targets) * _cores(job)
        freed = max(entry.claimed.freed_cores_per_s, MIN_CORES / job.timing.expected_s)
        waits = []
        for job.is_late, rate in (
            (False, freed),
            (True, freed * late_rate_share(entry.loads.values())),
        ):
            ordered = self._order(entry, [*entry.waiting, job])
            ahead = sum(
                other.waiting_cores() for other in ordered[: ordered.index(job)]
            )
            waits.append(
                predict_wait_s(
                    needed_cores=ahead + job.waiting_cores(),
                    free_cores=free_cores,
                    freed_cores_per_s=rate,
                )
                if ahead
                else 0.0
            )
        return PredictedWait(waits[0], waits[1], self._shortage_s(entry))

    def _shortage_s(self, entry: ModelEntry) -> float:
        return self.now - min(self.now, entry.short_since)

    def _order(self, entry: ModelEntry, jobs: list[ModelJob]) -> list[ModelJob]:
        is_short = self._shortage_s(entry) >= OVERLOAD_S
        order = self.strategy.order if is_short else order_strictly
        return order(jobs, entry.used_s, self.now)

    def _forget_use(self, entry: ModelEntry) -> None:
        kept = math.exp(-(self.now - entry.used_at) / MEMORY_S)
        for queue, used_s in entry.used_s.items():
            entry.used_s[queue] = used_s * kept
        entry.used_at = self.now

    def _schedule_pass(self, entry: ModelEntry) -> None:
        if entry.waiting and not entry.is_pass_scheduled:
            entry.is_pass_scheduled = True
            time_s = max(self.now, entry.last_pass_at + CONTENTION_PAUSE_S)
            self.schedule_at(time_s, partial(self._run_pass, entry))

    def _run_pass(self, entry: ModelEntry) -> None:
        entry.is_pass_scheduled = False
        entry.last_pass_at = self.now
        self._forget_use(entry)
        entry.waiting = self._order(entry, entry.waiting)
        targets = [self._view_target(entry, view) for view in entry.views.values()]
        for job in entry.waiting:
            is_late = self.strategy.admits_late and job.rank(self.now)[0]
            if is_late and not may_late_job_start(
                job.timing, self.now, _free_share(targets)
            ):
                continue
            limit = RunTimeLimit(job.timing.max_slowdown(self.now), REMOTE_PENALTY)
            names = place_tasks(job.step, len(job.ready), targets, limit).names
            used_s = len(names) * _cores(job) * job.timing.expected_s
            entry.used_s[job.queue] = entry.used_s.get(job.queue, 0.0) + used_s
            for name in names:
                job.has_begun = True
                job.is_late = is_late
                self._assign(job, entry.views[name], ASSIGNMENT_WAIT_S)
            if self.strategy.max_waiting_per_agent and job.ready:
                self._assign_to_wait(job, entry)
        entry.waiting = [job for job in entry.waiting if job.ready]
        if not entry.waiting:
            entry.short_since = math.inf
        elif math.isinf(entry.short_since):
            entry.short_since = self.now

    def _view_target(self, entry: ModelEntry, view: ModelView) -> TargetCapacity:
        free = view.free
        for assignment in view.unconfirmed:
            free = free.minus(assignment.job.step.demand)
        return TargetCapacity(
            name=view.agent.name,
            labels=view.agent.labels,
            free=free,
            capacity=view.agent.capacity,
            is_local=view.agent.zone == entry.zone,
            slowness=view.agent.slowness,
        )

    def _assign_to_wait(self, job: ModelJob, entry: ModelEntry) -> None:
        if self.now < job.timing.arrived_at + self.strategy.min_job_wait_s:
            return
        views = [
            view
            for view in entry.views.values()
            if view.waiting_count < self.strategy.max_waiting_per_agent
        ]
        self.rng.shuffle(views)
        for view in views[: len(job.ready)]:
            view.waiting_count += 1
            self._assign(job, view, self.strategy.agent_wait_s)

    def _assign(self, job: ModelJob, view: ModelView, wait_s: float) -> None:
        task = job.ready.pop()
        assignment = ModelAssignment(job, task, view.agent, self.now, self.now + wait_s)
        view.unconfirmed.append(assignment)
        self.messages += 1
        self.schedule_at(
            self.now + LINK_DELAY_S, partial(self._receive_assignment, assignment)
        )

    def _receive_report(
        self, entry: ModelEntry, agent: ModelAgent, sent_at: float
    ) -> None:
        view = entry.views[agent.name]
        view.free = agent.reported_free[entry.name]
        view.unconfirmed = [
            assignment
            for assignment in view.unconfirmed
            if assignment.sent_at + LINK_DELAY_S > sent_at
        ]
        self._schedule_pass(entry)

    def _receive_result(self, assignment: ModelAssignment, has_run: bool) -> None:
        job = assignment.job
        if assignment.start_by - assignment.sent_at > ASSIGNMENT_WAIT_S:
            job.entry.views[assignment.agent.name].waiting_count -= 1
        if not has_run and job.ended_at == REFUSED:
            return
        if not has_run:
            job.ready.append(assignment.task)
            if job not in job.entry.waiting:
                job.entry.waiting.append(job)
            self._schedule_pass(job.entry)
            return
        job.open_tasks -= 1
        _claim(job, -1)
        if not job.open_tasks:
            job.ended_at = self.now

    # Behaviour of agents.

    def _receive_assignment(self, assignment: ModelAssignment) -> None:
        assignment.arrived_at = self.now
        assignment.is_waiting = True
        assignment.agent.waiting.append(assignment)
        self._start_waiting(assignment.agent)
        if assignment.is_waiting:
            self.schedule_at(
                assignment.start_by, partial(self._return_assignment, assignment)
            )

    def _start_waiting(self, agent: ModelAgent) -> None:
        agent.waiting.sort(key=self._rank_assignment)
        for assignment in list(agent.waiting):
            if assignment.job.ended_at == REFUSED:
                continue
            if agent.free.can_fit(assignment.job.step.demand):
                agent.waiting.remove(assignment)
                assignment.is_waiting = False
                assignment.job.has_begun = True
                _claim(assignment.job, 1)
                agent.free = agent.free.minus(assignment.job.step.demand)
                end_at = self.now + _run_time_s(assignment)
                self.schedule_at(end_at, partial(self._end_task, assignment))

    def _rank_assignment(self, assignment: ModelAssignment) -> tuple[bool, int, float]:
        job = assignment.job
        if self.strategy.max_waiting_per_agent:
            return job.rank(self.now)
        return (False, job.timing.priority, assignment.arrived_at)

    def _return_assignment(self, assignment: ModelAssignment) -> None:
        if assignment.is_waiting:
            assignment.is_waiting = False
            assignment.agent.waiting.remove(assignment)
            self._report_to_owner(assignment, has_run=False)

    def _end_task(self, assignment: ModelAssignment) -> None:
        agent = assignment.agent
        agent.free = agent.free.plus(assignment.job.step.demand)
        self._start_waiting(agent)
        self._report_to_owner(assignment, has_run=True)
        if self.strategy.notifies_all:
            for entry in agent.entries:
                self._report(agent, entry)

    def _report_to_owner(self, assignment: ModelAssignment, *, has_run: bool) -> None:
        self._report(assignment.agent, assignment.job.entry)
        self.schedule_at(
            self.now + LINK_DELAY_S, partial(self._receive_result, assignment, has_run)
        )

    def _tick_agent(self, agent: ModelAgent) -> None:
        for entry in agent.entries:
            age_s = self.now - agent.last_report_at.get(entry.name, -1.0)
            is_changed = agent.reported_free.get(entry.name) != agent.free
            interval_s = choose_change_interval_s(
                request_change_interval_s(len(entry.views)), REPORT_INTERVAL_S
            )
            full_age_s = self.now - agent.full_report_at.get(entry.name, -1.0)
            if full_age_s >= REPORT_INTERVAL_S:
                agent.full_report_at[entry.name] = self.now
                agent.last_report_at[entry.name] = self.now
                self._report(agent, entry)
            elif is_changed and age_s >= interval_s:
                agent.last_report_at[entry.name] = self.now
                self._report(agent, entry)
        self.schedule_at(
            self.now + max(TICK_INTERVAL_S, MIN_CHANGE_INTERVAL_S),
            partial(self._tick_agent, agent),
        )

    def _report(self, agent: ModelAgent, entry: ModelEntry) -> None:
        agent.reported_free[entry.name] = agent.free
        self.messages += 1
        self.reports += 1
        self.schedule_at(
            self.now + LINK_DELAY_S,
            partial(self._receive_report, entry, agent, self.now),
        )


def _cores(job: ModelJob) -> float:
    return job.step.demand.cpu_millis / 1000


def _free_share(targets: list[TargetCapacity]) -> float:
    capacity = sum(target.capacity.cpu_millis for target in targets)
    return sum(target.free.cpu_millis for target in targets) / capacity


def _claim(job: ModelJob, sign: int) -> None:
    job.entry.claimed.cores += sign * _cores(job)
    job.entry.claimed.work_s += sign * _cores(job) * job.timing.expected_s


def _run_time_s(assignment: ModelAssignment) -> float:
    agent, job = assignment.agent, assignment.job
    rack = job.step.preferred_rack
    penalty = REMOTE_PENALTY if rack and rack not in agent.labels else 1.0
    return job.run_s[assignment.task] * agent.slowness * penalty
