"""Plays entries that give out room which they see a little late."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial

from bench.event_queue import EventQueue
from bench.shared_room.state import ModelAgent
from bench.shared_room.state import ModelEntry
from bench.shared_room.state import ModelJob
from bench.shared_room.state import ModelOrder
from bench.shared_room.state import ModelView
from jackdawkeel.policy.packing import TargetCapacity
from jackdawkeel.policy.packing import place_tasks
from jackdawkeel.policy.waiting import rank_job
from jackdawkeel.policy.waiting import would_end_too_late
from jackdawkeel.scheduling.agent_reports import CHANGE_INTERVAL_S
from jackdawkeel.scheduling.leases import REPORT_INTERVAL_S
from jackdawkeel.scheduling.schedule_trigger import CROWDED_PAUSE_S


LINK_S = 0.001
TICK_S = 0.05
ORDER_WAIT_S = 0.04
REFUSED = float("inf")


@dataclass(frozen=True, slots=True)
class Way:
    """A way of sharing.

    Attributes:
        tells_all: Whether an agent tells every entry at once that room became free.
        parks: Orders of an entry that may wait for room at each agent.
        park_after_s: How long a job must have waited before its orders may.
        park_s: How long such an order waits at its agent.
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
            moment = max(self.now, entry.looked_at + CROWDED_PAUSE_S)
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
                self._order(job, entry.views[name], ORDER_WAIT_S)
            if self.way.parks and job.ready:
                self._park(job, entry)
        entry.waiting = [job for job in entry.waiting if job.ready]

    def _view_target(self, entry: ModelEntry, view: ModelView) -> TargetCapacity:
        free = view.free
        for order in view.unseen:
            free = free.minus(order.job.step.demand)
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
            self._order(job, view, self.way.park_s)

    def _order(self, job: ModelJob, view: ModelView, wait_s: float) -> None:
        task = job.ready.pop()
        order = ModelOrder(job, task, view.agent, self.now, self.now + wait_s)
        view.unseen.append(order)
        self.messages += 1
        self.at(self.now + LINK_S, partial(self._take_order, order))

    def _hear(self, entry: ModelEntry, agent: ModelAgent, sent_at: float) -> None:
        view = entry.views[agent.name]
        view.free = agent.told_free[entry.name]
        view.unseen = [o for o in view.unseen if o.sent_at + LINK_S > sent_at]
        self._plan_look(entry)

    def _hear_end(self, order: ModelOrder, has_run: bool) -> None:
        job = order.job
        if order.start_by - order.sent_at > ORDER_WAIT_S:
            job.entry.views[order.agent.name].parked -= 1
        if not has_run and job.ended_at == REFUSED:
            return
        if not has_run:
            job.ready.append(order.task)
            if job not in job.entry.waiting:
                job.entry.waiting.append(job)
            self._plan_look(job.entry)
            return
        job.open_tasks -= 1
        if not job.open_tasks:
            job.ended_at = self.now

    # Agents.

    def _take_order(self, order: ModelOrder) -> None:
        order.arrived_at = self.now
        order.is_waiting = True
        order.agent.waiting.append(order)
        self._start_waiting(order.agent)
        if order.is_waiting:
            self.at(order.start_by, partial(self._hand_back, order))

    def _start_waiting(self, agent: ModelAgent) -> None:
        agent.waiting.sort(key=self._rank_order)
        for order in list(agent.waiting):
            if order.job.ended_at == REFUSED:
                continue
            if agent.free.holds(order.job.step.demand):
                agent.waiting.remove(order)
                order.is_waiting = False
                order.job.has_begun = True
                agent.free = agent.free.minus(order.job.step.demand)
                end_at = self.now + order.job.run_s[order.task]
                self.at(end_at, partial(self._end_task, order))

    def _rank_order(self, order: ModelOrder) -> tuple[bool, int, float]:
        job = order.job
        if self.way.parks:
            return rank_job(job.timing, self.now, has_begun=job.has_begun)
        return (False, job.timing.priority, order.arrived_at)

    def _hand_back(self, order: ModelOrder) -> None:
        if order.is_waiting:
            order.is_waiting = False
            order.agent.waiting.remove(order)
            self._tell_owner(order, has_run=False)

    def _end_task(self, order: ModelOrder) -> None:
        agent = order.agent
        agent.free = agent.free.plus(order.job.step.demand)
        self._start_waiting(agent)
        self._tell_owner(order, has_run=True)
        if self.way.tells_all:
            for entry in self.entries:
                self._report(agent, entry)

    def _tell_owner(self, order: ModelOrder, *, has_run: bool) -> None:
        self._report(order.agent, order.job.entry)
        self.at(self.now + LINK_S, partial(self._hear_end, order, has_run))

    def _tick_agent(self, agent: ModelAgent) -> None:
        for entry in self.entries:
            is_due = self.now >= agent.full_at.get(entry.name, -1.0) + REPORT_INTERVAL_S
            if is_due or agent.told_free.get(entry.name) != agent.free:
                agent.full_at[entry.name] = self.now
                self._report(agent, entry)
        self.at(
            self.now + max(TICK_S, CHANGE_INTERVAL_S), partial(self._tick_agent, agent)
        )

    def _report(self, agent: ModelAgent, entry: ModelEntry) -> None:
        agent.told_free[entry.name] = agent.free
        self.messages += 1
        self.at(self.now + LINK_S, partial(self._hear, entry, agent, self.now))
