"""Simulator of the discrete-event model."""

from __future__ import annotations

import bisect
import random
from functools import partial
from typing import TYPE_CHECKING

from bench.event_queue import EventQueue
from bench.model.state import Agent
from bench.model.state import Entry
from bench.model.state import Job
from bench.model.state import LearnedEstimates
from bench.model.state import LoadView
from bench.model.state import PolicyVariant
from bench.model.state import RunStatistics
from bench.model.state import Task
from jackdawkeel.policy.admission_estimate import ServiceLoad
from jackdawkeel.policy.admission_estimate import find_refusal
from jackdawkeel.policy.candidates import Candidate
from jackdawkeel.policy.ejection import admit_probe
from jackdawkeel.policy.ejection import record_counters
from jackdawkeel.policy.ejection import update_ejected
from jackdawkeel.policy.hedging import try_spend_hedge
from jackdawkeel.policy.retry_budget import record_first_attempt
from jackdawkeel.policy.run_time import observe_run


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from bench.workload import JobArrival


HEARTBEAT_S = 1.0
BUSY_TIME_CONSTANT_S = 5.0
SAME_ZONE_DELAY_S = 0.0003
CROSS_ZONE_DELAY_S = 0.0008
HEDGE_CHECK_S = 0.05
FAILED_RUN_S = 0.005
DEADLINE_MS = 60_000


class Simulator(EventQueue):
    """Runs jobs on modelled agents and entries and collects statistics.

    A home is the agent that admits a job and dispatches its tasks; an executor is the
    agent whose target runs a task.

    Args:
        agents: The agents.
        entries: The entries.
        variant: Policies of the run.
        seed: Seed of all random draws.
    """

    def __init__(
        self,
        agents: list[Agent],
        entries: list[Entry],
        variant: PolicyVariant,
        seed: int,
    ) -> None:
        super().__init__()
        self.agents = {agent.name: agent for agent in agents}
        self.entries = entries
        self.variant = variant
        self.rng = random.Random(seed)
        self.statistics = RunStatistics()
        self.estimates = LearnedEstimates()
        self.last_reported = {agent.name: agent.load for agent in agents}
        for agent in agents:
            phase_s = self.rng.uniform(0, HEARTBEAT_S)
            self.schedule(phase_s, partial(self.heartbeat, agent))

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay in seconds."""
        self.schedule_at(self.now + delay_s, action)

    def run(self, arrivals: Iterable[JobArrival], until_s: float) -> RunStatistics:
        """Runs the arrivals up to a simulated time and returns the statistics."""
        for arrival in arrivals:
            self.schedule(arrival.at_s, partial(self.submit, arrival))
        self.run_until(until_s)
        self.statistics.ended_s = until_s
        return self.statistics

    def submit(self, arrival: JobArrival) -> None:
        """Submits a job to a random entry, which refuses it or sends it to a home."""
        entry = self.rng.choice(self.entries)
        if self.variant.refuses and self.is_refused(arrival):
            self.statistics.refused += 1
            return
        name = self.choose_home(entry, arrival.idempotent)
        if name is None:
            self.statistics.refused += 1
            return
        home = self.agents[name]
        job = Job(arrival, home, entry, len(arrival.run_s))
        entry.outstanding[name] = entry.outstanding.get(name, 0) + 1
        tasks = [Task(job, i, run_s) for i, run_s in enumerate(arrival.run_s)]
        self.statistics.messages += 1
        delay_s = SAME_ZONE_DELAY_S if entry.zone == home.zone else CROSS_ZONE_DELAY_S
        self.schedule(delay_s, lambda: self.admit(home, tasks))

    def is_refused(self, arrival: JobArrival) -> bool:
        """Whether the wait estimated from the last reported loads is too long."""
        usable = [agent for agent in self.agents.values() if agent.in_service]
        slots = sum(agent.slots for agent in usable)
        reported = sum(self.last_reported[agent.name] for agent in usable)
        running = min(reported, slots)
        load = ServiceLoad(slots, running, reported - running, self.estimates.run_time)
        return find_refusal(load, len(arrival.run_s), DEADLINE_MS, None) is not None

    def choose_home(self, entry: Entry, is_idempotent: bool) -> str | None:
        """Chooses a home, or an ejected agent that is due for a probe."""
        if self.variant.ejects:
            for name in self.agents:
                if admit_probe(
                    entry.ejection, name, self.now, is_idempotent=is_idempotent
                ):
                    return name
        candidates = [
            self.make_candidate(agent, entry.outstanding, entry.views)
            for agent in self.agents.values()
        ]
        return self.variant.home(candidates, entry.zone, self.rng)

    def make_candidate(
        self, agent: Agent, outstanding: dict[str, int], views: dict[str, LoadView]
    ) -> Candidate:
        """Returns an agent as a candidate, as far as the chooser knows its load."""
        view = views.get(agent.name)
        return Candidate(
            agent.name,
            agent.zone,
            agent.slots,
            outstanding.get(agent.name, 0),
            view.reported if view else 0,
            agent.ejected,
            False,
            agent.in_service,
        )

    def admit(self, home: Agent, tasks: list[Task]) -> None:
        """Queues the tasks of a job at its home and dispatches what it can."""
        for task in tasks:
            self.enqueue(home.pending, task)
        self.dispatch_pending(home)

    def enqueue(self, queue: list[Task], task: Task) -> None:
        """Inserts a task into a queue that is sorted by the order of the variant."""
        bisect.insort(
            queue,
            task,
            key=lambda queued: self.variant.order(queued.job.arrival, queued.index),
        )

    def dispatch_pending(self, home: Agent) -> None:
        """Dispatches pending tasks in order, until one has no suitable executor."""
        while home.pending:
            task = home.pending[0]
            name = self.choose_executor(home, task)
            if name is None:
                return
            home.pending.pop(0)
            self.dispatch(home, task, self.agents[name])

    def choose_executor(self, home: Agent, task: Task) -> str | None:
        """Chooses an executor for a task from the load known to its home.

        A second copy goes to another executor and only to a free slot.
        """
        own = home.outstanding.get(home.name, 0)
        home.views[home.name] = LoadView(max(0, home.load - own))
        reserved = self.count_reserved_slots(task)
        candidates = [
            self.make_candidate(agent, home.outstanding, home.views)
            for agent in self.agents.values()
        ]
        if task.copies:
            candidates = [
                candidate
                for candidate in candidates
                if task.executor and candidate.incarnation != task.executor.name
            ]
        allowance = 0 if task.copies else self.variant.queue_allowance
        return self.variant.executor(
            candidates, home.name, home.zone, allowance, self.rng, reserved
        )

    def count_reserved_slots(self, task: Task) -> int:
        """Returns the number of slots of a target that a task must leave free."""
        if len(task.job.arrival.run_s) == 1:
            return 0
        if self.estimates.busy_share > self.variant.reserve_below:
            return 0
        return self.variant.reserved

    def dispatch(self, home: Agent, task: Task, executor: Agent) -> None:
        """Sends a task to its executor."""
        home.outstanding[executor.name] = home.outstanding.get(executor.name, 0) + 1
        task.copies += 1
        if task.copies == 1:
            task.dispatched_s = self.now
            task.executor = executor
            record_first_attempt(self.estimates.budget)
            if self.variant.hedges and task.job.arrival.idempotent:
                self.schedule(HEDGE_CHECK_S, lambda: self.check_hedge(home, task))
        self.schedule(
            self.count_message(home, executor),
            lambda: self.receive_task(home, task, executor),
        )

    def count_message(self, sender: Agent, receiver: Agent) -> float:
        """Counts a message and returns its delay in seconds.

        An agent that sends to itself needs no message.
        """
        if sender is receiver:
            return 0.0
        self.statistics.messages += 1
        return SAME_ZONE_DELAY_S if sender.zone == receiver.zone else CROSS_ZONE_DELAY_S

    def receive_task(self, home: Agent, task: Task, executor: Agent) -> None:
        """Queues a task at its executor and starts it if a slot is free.

        With ``returns_unstarted``, an executor out of service returns the task instead.
        """
        if not executor.in_service and self.variant.returns_unstarted:
            self.return_task(home, task, executor)
            return
        self.enqueue(executor.queue, task)
        self.start_queued(executor)
        queued = len(executor.queue)
        self.statistics.max_queued = max(self.statistics.max_queued, queued)

    def return_task(self, home: Agent, task: Task, executor: Agent) -> None:
        """Returns an unstarted task from its executor to its home."""
        task.copies -= 1

        def requeue() -> None:
            home.outstanding[executor.name] -= 1
            self.enqueue(home.pending, task)
            self.dispatch_pending(home)

        self.schedule(self.count_message(executor, home), requeue)

    def start_queued(self, executor: Agent) -> None:
        """Starts queued tasks while the executor has free slots and is in service."""
        while (
            executor.queue and executor.running < executor.slots and executor.in_service
        ):
            task = executor.queue.pop(0)
            executor.running += 1
            self.statistics.started += 1
            run_s = FAILED_RUN_S if executor.fails else task.run_s / executor.speed
            self.schedule(run_s, partial(self.end_task, task, executor, run_s))

    def end_task(self, task: Task, executor: Agent, run_s: float) -> None:
        """Ends a task at its executor and reports the result to its home."""
        executor.running -= 1
        failed = executor.fails
        executor.failed += failed
        executor.completed += not failed
        home = task.job.home
        self.start_queued(executor)
        load = executor.load
        delay_s = self.count_message(executor, home)
        self.schedule(
            delay_s, lambda: self.handle_report(task, executor, run_s, failed, load)
        )
        if home is not executor:
            self.dispatch_pending(executor)

    def handle_report(
        self, task: Task, executor: Agent, run_s: float, failed: bool, load: int
    ) -> None:
        """Updates load, run-time estimate and task at the home from a result."""
        home = task.job.home
        home.outstanding[executor.name] -= 1
        own = home.outstanding[executor.name]
        home.views[executor.name] = LoadView(max(0, load - own))
        if not failed:
            elapsed_ms = run_s * 1000
            self.estimates.run_time = observe_run(self.estimates.run_time, elapsed_ms)
        if not task.ended:
            task.ended = True
            self.finish_task(task, failed)
        self.dispatch_pending(home)

    def finish_task(self, task: Task, failed: bool) -> None:
        """Records the end of a task, and of its job after the last task."""
        job = task.job
        job.open_tasks -= 1
        job.failed += failed
        if not failed:
            self.statistics.work.append((self.now, task.run_s))
        if job.open_tasks:
            return
        delay_s = (
            SAME_ZONE_DELAY_S if job.entry.zone == job.home.zone else CROSS_ZONE_DELAY_S
        )
        job.ended_s = self.now + delay_s
        job.entry.outstanding[job.home.name] -= 1
        self.statistics.messages += 1
        self.statistics.jobs.append(job)

    def check_hedge(self, home: Agent, task: Task) -> None:
        """Sends a second copy of a slow task to a free slot, or checks again later."""
        if task.ended or task.copies != 1:
            return
        elapsed_ms = (self.now - task.dispatched_s) * 1000
        name = self.choose_executor(home, task)
        if name is not None and try_spend_hedge(
            True,
            task.copies,
            elapsed_ms,
            self.estimates.run_time,
            self.estimates.budget,
        ):
            self.statistics.hedges += 1
            self.dispatch(home, task, self.agents[name])
            return
        self.schedule(HEDGE_CHECK_S, lambda: self.check_hedge(home, task))

    def heartbeat(self, agent: Agent) -> None:
        """Reports the load of an agent to the entries, and its peers' loads to it."""
        self.last_reported[agent.name] = agent.load + len(agent.pending)
        self.update_busy_share(agent.running / agent.slots)
        self.statistics.queued_samples.append(len(agent.queue))
        for entry in self.entries:
            own = entry.outstanding.get(agent.name, 0)
            entry.views[agent.name] = LoadView(max(0, agent.load - own))
            self.update_ejection(entry, agent)
        for peer in self.agents.values():
            own = agent.outstanding.get(peer.name, 0)
            reported = self.last_reported[peer.name] - len(peer.pending)
            agent.views[peer.name] = LoadView(max(0, reported - own))
        self.dispatch_pending(agent)
        self.schedule(HEARTBEAT_S, lambda: self.heartbeat(agent))

    def update_busy_share(self, share: float) -> None:
        """Updates the moving average of the share of busy slots."""
        weight = HEARTBEAT_S / (BUSY_TIME_CONSTANT_S * len(self.agents))
        self.estimates.busy_share += weight * (share - self.estimates.busy_share)

    def update_ejection(self, entry: Entry, agent: Agent) -> None:
        """Updates the ejections of an entry.

        The decisions of the first entry apply to all agents and entries.
        """
        if not self.variant.ejects:
            return
        record_counters(entry.ejection, agent.name, agent.completed, agent.failed)
        ejected = update_ejected(entry.ejection, {"s": self.agents}, self.now)
        if entry is self.entries[0]:
            for member in self.agents.values():
                member.ejected = member.name in ejected

    def set_zone_service(self, zone: str, in_service: bool) -> None:
        """Takes an availability zone out of service or puts it back.

        With ``returns_unstarted``, the agents of a zone that is taken out of service
        return queued tasks to their homes.
        """
        for agent in self.agents.values():
            if agent.zone == zone:
                agent.in_service = in_service
        for agent in self.agents.values():
            if agent.zone == zone and not in_service and self.variant.returns_unstarted:
                while agent.queue:
                    task = agent.queue.pop()
                    self.return_task(task.job.home, task, agent)
            self.start_queued(agent)
        for agent in self.agents.values():
            self.dispatch_pending(agent)
