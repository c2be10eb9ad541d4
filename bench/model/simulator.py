"""Runs jobs through the model."""

from __future__ import annotations

import bisect
import random
from functools import partial
from typing import TYPE_CHECKING

from bench.event_queue import EventQueue
from bench.model.state import Agent
from bench.model.state import Entry
from bench.model.state import Job
from bench.model.state import Learned
from bench.model.state import Tally
from bench.model.state import Task
from bench.model.state import View
from bench.model.state import Ways
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
NEAR_S = 0.0003
FAR_S = 0.0008
HEDGE_CHECK_S = 0.05
FAILURE_S = 0.005
DEADLINE_MS = 60_000


class Simulator(EventQueue):
    """Runs jobs over agents and entries and tallies what became of them."""

    def __init__(
        self, agents: list[Agent], entries: list[Entry], ways: Ways, seed: int
    ) -> None:
        super().__init__()
        self.agents = {agent.name: agent for agent in agents}
        self.entries = entries
        self.ways = ways
        self.rng = random.Random(seed)
        self.tally = Tally()
        self.learned = Learned()
        self.last_heard = {agent.name: agent.load for agent in agents}
        for agent in agents:
            phase_s = self.rng.uniform(0, HEARTBEAT_S)
            self.schedule(phase_s, partial(self.heartbeat, agent))

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Has an action done after a delay in seconds."""
        self.at(self.now + delay_s, action)

    def run(self, arrivals: Iterable[JobArrival], until_s: float) -> Tally:
        """Runs until the given time and returns the tally."""
        for arrival in arrivals:
            self.schedule(arrival.at_s, partial(self.arrive, arrival))
        self.run_until(until_s)
        self.tally.ended_s = until_s
        return self.tally

    def arrive(self, arrival: JobArrival) -> None:
        """Takes a job in at an entry and passes it to a home."""
        entry = self.rng.choice(self.entries)
        if self.ways.refuses and self.is_refused(arrival):
            self.tally.refused += 1
            return
        name = self.choose_home(entry, arrival.idempotent)
        if name is None:
            self.tally.refused += 1
            return
        home = self.agents[name]
        job = Job(arrival, home, entry, len(arrival.run_s))
        entry.outstanding[name] = entry.outstanding.get(name, 0) + 1
        tasks = [Task(job, i, run_s) for i, run_s in enumerate(arrival.run_s)]
        self.tally.messages += 1
        delay_s = NEAR_S if entry.zone == home.zone else FAR_S
        self.schedule(delay_s, lambda: self.admit(home, tasks))

    def is_refused(self, arrival: JobArrival) -> bool:
        """Estimates the wait from the loads that were last heard."""
        usable = [one for one in self.agents.values() if one.in_service]
        slots = sum(one.slots for one in usable)
        held = sum(self.last_heard[one.name] for one in usable)
        running = min(held, slots)
        load = ServiceLoad(slots, running, held - running, self.learned.run_time)
        return find_refusal(load, len(arrival.run_s), DEADLINE_MS, None) is not None

    def choose_home(self, entry: Entry, is_idempotent: bool) -> str | None:
        """Chooses a home, or an ejected agent as a probe."""
        if self.ways.ejects:
            for name in self.agents:
                if admit_probe(
                    entry.ejection, name, self.now, is_idempotent=is_idempotent
                ):
                    return name
        candidates = [
            self.candidate(agent, entry.outstanding, entry.views)
            for agent in self.agents.values()
        ]
        return self.ways.home(candidates, entry.zone, self.rng)

    def candidate(
        self, agent: Agent, outstanding: dict[str, int], views: dict[str, View]
    ) -> Candidate:
        """Returns an agent as a chooser sees it."""
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
        """Queues a job's tasks at its home."""
        for task in tasks:
            self.insert(home.pending, task)
        self.place_pending(home)

    def insert(self, queue: list[Task], task: Task) -> None:
        """Puts a task at its place in a queue."""
        bisect.insort(
            queue, task, key=lambda one: self.ways.order(one.job.arrival, one.index)
        )

    def place_pending(self, home: Agent) -> None:
        """Sends out what fits on free slots and short queues."""
        while home.pending:
            task = home.pending[0]
            name = self.choose_executor(home, task)
            if name is None:
                return
            home.pending.pop(0)
            self.dispatch(home, task, self.agents[name])

    def choose_executor(self, home: Agent, task: Task) -> str | None:
        """Chooses a target by what the home knows."""
        own = home.outstanding.get(home.name, 0)
        home.views[home.name] = View(max(0, home.load - own))
        reserved = self.reserved_slots(task)
        candidates = [
            self.candidate(agent, home.outstanding, home.views)
            for agent in self.agents.values()
        ]
        if task.copies:
            candidates = [
                one
                for one in candidates
                if task.executor and one.incarnation != task.executor.name
            ]
        allowance = 0 if task.copies else self.ways.queue_allowance
        return self.ways.executor(
            candidates, home.name, home.zone, allowance, self.rng, reserved
        )

    def reserved_slots(self, task: Task) -> int:
        """Returns the slots that a task must leave free."""
        if len(task.job.arrival.run_s) == 1:
            return 0
        if self.learned.busy_share > self.ways.reserve_below:
            return 0
        return self.ways.reserved

    def dispatch(self, home: Agent, task: Task, executor: Agent) -> None:
        """Sends a task to its target."""
        home.outstanding[executor.name] = home.outstanding.get(executor.name, 0) + 1
        task.copies += 1
        if task.copies == 1:
            task.dispatched_s = self.now
            task.executor = executor
            record_first_attempt(self.learned.budget)
            if self.ways.hedges and task.job.arrival.idempotent:
                self.schedule(HEDGE_CHECK_S, lambda: self.check_hedge(home, task))
        self.schedule(
            self.send(home, executor), lambda: self.receive(home, task, executor)
        )

    def send(self, sender: Agent, receiver: Agent) -> float:
        """Counts a message and returns its delay in seconds."""
        if sender is receiver:
            return 0.0
        self.tally.messages += 1
        return NEAR_S if sender.zone == receiver.zone else FAR_S

    def receive(self, home: Agent, task: Task, executor: Agent) -> None:
        """Starts a task at its target, or queues it there."""
        if not executor.in_service and self.ways.takes_back:
            self.hand_back(home, task, executor)
            return
        self.insert(executor.queue, task)
        self.start_queued(executor)
        queued = len(executor.queue)
        self.tally.most_queued = max(self.tally.most_queued, queued)

    def hand_back(self, home: Agent, task: Task, executor: Agent) -> None:
        """Returns a task that has not started to its home."""
        task.copies -= 1

        def take() -> None:
            home.outstanding[executor.name] -= 1
            self.insert(home.pending, task)
            self.place_pending(home)

        self.schedule(self.send(executor, home), take)

    def start_queued(self, executor: Agent) -> None:
        """Starts queued tasks on free slots."""
        while (
            executor.queue and executor.running < executor.slots and executor.in_service
        ):
            task = executor.queue.pop(0)
            executor.running += 1
            self.tally.started += 1
            run_s = FAILURE_S if executor.fails else task.run_s / executor.speed
            self.schedule(run_s, partial(self.end, task, executor, run_s))

    def end(self, task: Task, executor: Agent, run_s: float) -> None:
        """Ends a task and reports it to its home."""
        executor.running -= 1
        failed = executor.fails
        executor.failed += failed
        executor.completed += not failed
        home = task.job.home
        self.start_queued(executor)
        load = executor.load
        delay_s = self.send(executor, home)
        self.schedule(delay_s, lambda: self.report(task, executor, run_s, failed, load))
        if home is not executor:
            self.place_pending(executor)

    def report(
        self, task: Task, executor: Agent, run_s: float, failed: bool, load: int
    ) -> None:
        """Takes a result in at the home."""
        home = task.job.home
        home.outstanding[executor.name] -= 1
        own = home.outstanding[executor.name]
        home.views[executor.name] = View(max(0, load - own))
        if not failed:
            elapsed_ms = run_s * 1000
            self.learned.run_time = observe_run(self.learned.run_time, elapsed_ms)
        if not task.ended:
            task.ended = True
            self.finish_task(task, failed)
        self.place_pending(home)

    def finish_task(self, task: Task, failed: bool) -> None:
        """Counts a task's end, and its job's if it was the last."""
        job = task.job
        job.left -= 1
        job.failed += failed
        if not failed:
            self.tally.work.append((self.now, task.run_s))
        if job.left:
            return
        delay_s = NEAR_S if job.entry.zone == job.home.zone else FAR_S
        job.ended_s = self.now + delay_s
        job.entry.outstanding[job.home.name] -= 1
        self.tally.messages += 1
        self.tally.jobs.append(job)

    def check_hedge(self, home: Agent, task: Task) -> None:
        """Sends a second copy of a straggler to a free slot."""
        if task.ended or task.copies != 1:
            return
        elapsed_ms = (self.now - task.dispatched_s) * 1000
        name = self.choose_executor(home, task)
        if name is not None and try_spend_hedge(
            True, task.copies, elapsed_ms, self.learned.run_time, self.learned.budget
        ):
            self.tally.hedges += 1
            self.dispatch(home, task, self.agents[name])
            return
        self.schedule(HEDGE_CHECK_S, lambda: self.check_hedge(home, task))

    def heartbeat(self, agent: Agent) -> None:
        """Tells entries of an agent's load, and the agent of its peers'."""
        self.last_heard[agent.name] = agent.load + len(agent.pending)
        self.observe_busy(agent.running / agent.slots)
        self.tally.queued_samples.append(len(agent.queue))
        for entry in self.entries:
            own = entry.outstanding.get(agent.name, 0)
            entry.views[agent.name] = View(max(0, agent.load - own))
            self.update_ejection(entry, agent)
        for peer in self.agents.values():
            own = agent.outstanding.get(peer.name, 0)
            heard = self.last_heard[peer.name] - len(peer.pending)
            agent.views[peer.name] = View(max(0, heard - own))
        self.place_pending(agent)
        self.schedule(HEARTBEAT_S, lambda: self.heartbeat(agent))

    def observe_busy(self, share: float) -> None:
        """Learns the mean share of busy slots."""
        weight = HEARTBEAT_S / (BUSY_TIME_CONSTANT_S * len(self.agents))
        self.learned.busy_share += weight * (share - self.learned.busy_share)

    def update_ejection(self, entry: Entry, agent: Agent) -> None:
        """Has an entry decide on ejections; the first entry's holds for all."""
        if not self.ways.ejects:
            return
        record_counters(entry.ejection, agent.name, agent.completed, agent.failed)
        ejected = update_ejected(entry.ejection, {"s": self.agents}, self.now)
        if entry is self.entries[0]:
            for one in self.agents.values():
                one.ejected = one.name in ejected

    def set_zone(self, zone: str, in_service: bool) -> None:
        """Takes an availability zone out of service or brings it back."""
        for agent in self.agents.values():
            if agent.zone == zone:
                agent.in_service = in_service
        for agent in self.agents.values():
            if agent.zone == zone and not in_service and self.ways.takes_back:
                while agent.queue:
                    task = agent.queue.pop()
                    self.hand_back(task.job.home, task, agent)
            self.start_queued(agent)
        for agent in self.agents.values():
            self.place_pending(agent)
