"""Plays entries that give out room which they see a little late."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial

from bench.event_queue import EventQueue
from bench.shared_room.state import ModelAgent
from bench.shared_room.state import ModelAssignment
from bench.shared_room.state import ModelEntry
from bench.shared_room.state import ModelJob
from bench.shared_room.state import ModelView
from jackdawkeel.policy.packing import TargetCapacity
from jackdawkeel.policy.packing import place_tasks
from jackdawkeel.policy.waiting import rank_job
from jackdawkeel.policy.waiting import would_end_too_late
from jackdawkeel.scheduling.agent_reports import MIN_CHANGE_INTERVAL_S
from jackdawkeel.scheduling.leases import REPORT_INTERVAL_S
from jackdawkeel.scheduling.schedule_trigger import CONTENTION_PAUSE_S


LINK_S = 0.001
TICK_S = 0.05
ASSIGNMENT_WAIT_S = 0.04
REFUSED = float("inf")


@dataclass(frozen=True, slots=True)
class Way:
    """A way of sharing.

    Attributes:
        tells_all: Whether an agent tells every entry at once that room became free.
        parks: Orders of an entry that may wait for room at each agent.
        park_after_s: How long a job must have waited before its orders may.
        park_s: How long such an assignment waits at its agent.
    """

    tells_all: bool = False
    parks: int = 0
    park_after_s: float = 0.0
    park_s: float = 0.0


class Simulator(EventQueue):
    """Runs events in order of time."""

    def __init__(
        self,
        entries: list[ModelEntry],
        agents: list[ModelAgent],
        way: Way,
        seed: int,
    ) -> None:
        super().__init__()
        self.entries = entries
        self.agents = agents
        self.way = way
        self.rng = random.Random(seed)
        self.messages = 0
        for entry in entries:
            for agent in agents:
                entry.views[agent.name] = ModelView(agent, agent.free)
        for index, agent in enumerate(agents):
            self.at(TICK_S * index / len(agents), partial(self._tick_agent, agent))
        for entry in entries:
            self.at(0.0, partial(self._tick_entry, entry))

    # Entries.

    def submit(self, job: ModelJob) -> None:
        """Takes a job."""
        job.entry.waiting.append(job)
        job.entry.not_begun.append(job)
        self._plan_look(job.entry)

    def _tick_entry(self, entry: ModelEntry) -> None:
        entry.not_begun = [job for job in entry.not_begun if not job.has_begun]
        for job in list(entry.not_begun):
            if would_end_too_late(job.timing, self.now, 0.0):
                entry.not_begun.remove(job)
                job.ended_at = REFUSED
        entry.waiting = [job for job in entry.waiting if job.ended_at != REFUSED]
        self._plan_look(entry)
        self.at(self.now + TICK_S, partial(self._tick_entry, entry))

    def _plan_look(self, entry: ModelEntry) -> None:
        if entry.waiting and not entry.is_look_planned:
            entry.is_look_planned = True
            moment = max(self.now, entry.looked_at + CONTENTION_PAUSE_S)
            self.at(moment, partial(self._look, entry))

    def _look(self, entry: ModelEntry) -> None:
        entry.is_look_planned = False
        entry.looked_at = self.now
        entry.waiting.sort(
            key=lambda job: rank_job(job.timing, self.now, has_begun=job.has_begun)
        )
        targets = [self._view_target(entry, view) for view in entry.views.values()]
        for job in entry.waiting:
            names = place_tasks(job.step, len(job.ready), targets).names
            for name in names:
                job.has_begun = True
                self._assign(job, entry.views[name], ASSIGNMENT_WAIT_S)
            if self.way.parks and job.ready:
                self._park(job, entry)
        entry.waiting = [job for job in entry.waiting if job.ready]

    def _view_target(self, entry: ModelEntry, view: ModelView) -> TargetCapacity:
        free = view.free
        for assignment in view.unseen:
            free = free.minus(assignment.job.step.demand)
        return TargetCapacity(
            name=view.agent.name,
            labels=frozenset(),
            free=free,
            capacity=view.agent.capacity,
            is_local=view.agent.zone == entry.zone,
        )

    def _park(self, job: ModelJob, entry: ModelEntry) -> None:
        if self.now < job.timing.arrived_at + self.way.park_after_s:
            return
        views = [v for v in entry.views.values() if v.parked < self.way.parks]
        self.rng.shuffle(views)
        for view in views[: len(job.ready)]:
            view.parked += 1
            self._assign(job, view, self.way.park_s)

    def _assign(self, job: ModelJob, view: ModelView, wait_s: float) -> None:
        task = job.ready.pop()
        assignment = ModelAssignment(job, task, view.agent, self.now, self.now + wait_s)
        view.unseen.append(assignment)
        self.messages += 1
        self.at(self.now + LINK_S, partial(self._receive_assignment, assignment))

    def _hear(self, entry: ModelEntry, agent: ModelAgent, sent_at: float) -> None:
        view = entry.views[agent.name]
        view.free = agent.told_free[entry.name]
        view.unseen = [o for o in view.unseen if o.sent_at + LINK_S > sent_at]
        self._plan_look(entry)

    def _hear_end(self, assignment: ModelAssignment, has_run: bool) -> None:
        job = assignment.job
        if assignment.start_by - assignment.sent_at > ASSIGNMENT_WAIT_S:
            job.entry.views[assignment.agent.name].parked -= 1
        if not has_run and job.ended_at == REFUSED:
            return
        if not has_run:
            job.ready.append(assignment.task)
            if job not in job.entry.waiting:
                job.entry.waiting.append(job)
            self._plan_look(job.entry)
            return
        job.open_tasks -= 1
        if not job.open_tasks:
            job.ended_at = self.now

    # Agents.

    def _receive_assignment(self, assignment: ModelAssignment) -> None:
        assignment.arrived_at = self.now
        assignment.is_waiting = True
        assignment.agent.waiting.append(assignment)
        self._start_waiting(assignment.agent)
        if assignment.is_waiting:
            self.at(assignment.start_by, partial(self._hand_back, assignment))

    def _start_waiting(self, agent: ModelAgent) -> None:
        agent.waiting.sort(key=self._rank_assignment)
        for assignment in list(agent.waiting):
            if assignment.job.ended_at == REFUSED:
                continue
            if agent.free.holds(assignment.job.step.demand):
                agent.waiting.remove(assignment)
                assignment.is_waiting = False
                assignment.job.has_begun = True
                agent.free = agent.free.minus(assignment.job.step.demand)
                end_at = self.now + assignment.job.run_s[assignment.task]
                self.at(end_at, partial(self._end_task, assignment))

    def _rank_assignment(self, assignment: ModelAssignment) -> tuple[bool, int, float]:
        job = assignment.job
        if self.way.parks:
            return rank_job(job.timing, self.now, has_begun=job.has_begun)
        return (False, job.timing.priority, assignment.arrived_at)

    def _hand_back(self, assignment: ModelAssignment) -> None:
        if assignment.is_waiting:
            assignment.is_waiting = False
            assignment.agent.waiting.remove(assignment)
            self._tell_owner(assignment, has_run=False)

    def _end_task(self, assignment: ModelAssignment) -> None:
        agent = assignment.agent
        agent.free = agent.free.plus(assignment.job.step.demand)
        self._start_waiting(agent)
        self._tell_owner(assignment, has_run=True)
        if self.way.tells_all:
            for entry in self.entries:
                self._report(agent, entry)

    def _tell_owner(self, assignment: ModelAssignment, *, has_run: bool) -> None:
        self._report(assignment.agent, assignment.job.entry)
        self.at(self.now + LINK_S, partial(self._hear_end, assignment, has_run))

    def _tick_agent(self, agent: ModelAgent) -> None:
        for entry in self.entries:
            is_due = self.now >= agent.full_at.get(entry.name, -1.0) + REPORT_INTERVAL_S
            if is_due or agent.told_free.get(entry.name) != agent.free:
                agent.full_at[entry.name] = self.now
                self._report(agent, entry)
        self.at(
            self.now + max(TICK_S, MIN_CHANGE_INTERVAL_S),
            partial(self._tick_agent, agent),
        )

    def _report(self, agent: ModelAgent, entry: ModelEntry) -> None:
        agent.told_free[entry.name] = agent.free
        self.messages += 1
        self.at(self.now + LINK_S, partial(self._hear, entry, agent, self.now))
