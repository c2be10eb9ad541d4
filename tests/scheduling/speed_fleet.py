"""Simulated fleet of unequal targets, with the real scheduler and measures of quality.

Agents list their target every 50 ms and report every 200 ms and at each end of a run.
"""

from __future__ import annotations

import asyncio
import heapq
import random
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from jackdawkeel.messages.scheduling import AgentReport
from jackdawkeel.messages.scheduling import StartTasks
from jackdawkeel.messages.scheduling import TargetView
from jackdawkeel.messages.scheduling import TaskStatus
from jackdawkeel.messages.scheduling import TaskUpdate
from jackdawkeel.scheduling.agent_views import AgentViews
from jackdawkeel.scheduling.job_scheduler import JobScheduler
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.run_quality import RunQuality
from jackdawkeel.scheduling.specification import JobSpec
from jackdawkeel.scheduling.specification import Queue
from jackdawkeel.scheduling.specification import StepSpec
from jackdawkeel.scheduling.task_run import RunPhase
from jackdawkeel.scheduling.task_run import TaskRun
from tests.fakes import FakeClock
from tests.fakes import Outbox
from tests.fakes import make_address
from tests.fakes import make_log


TICK_S = 0.05
REMOTE_SLOWDOWN = 3.0
KIND_B_SLOWDOWN = 2.4
DEMAND = Resources(2700, 0)
# Name, tasks, run time in milliseconds on kind a, and jobs a second for 57 targets.
JOB_KINDS = (("wide", 8, 102, 91), ("long", 4, 1520, 17), ("small", 2, 340, 264))
CALM_SHARE = 0.6


@dataclass
class SimulatedAgent:
    """An agent and its target, whose runs take ``slowdown`` times as long."""

    address: Any
    labels: list[str]
    capacity: Resources
    slowdown: float
    free: Resources
    quality: RunQuality = field(default_factory=RunQuality)
    runs: dict[int, tuple[TaskRun, float]] = field(default_factory=dict)
    through: int = 0
    sequence: int = 0

    def report(self, now: float, update: tuple[int, str, float] | None) -> AgentReport:
        """Builds a report, with the number, status and run time of a run that ended."""
        updates = []
        if update is not None:
            self.sequence += 1
            updates = [TaskUpdate(self.sequence, update[0], update[1], 1, update[2])]
        target = TargetView("node", "svc", "zone-a", self.labels, self.capacity, True)
        slowness = round(self.quality.slowness, 2)
        ends = self.quality.recent_ends
        return AgentReport(
            now, target, self.free, self.through, updates, False, [], slowness, *ends
        )


class SpeedFleet:
    """Simulates callers, one entry, and 15 targets of two kinds in five racks.

    Attributes:
        ended, moved: Numbers of runs that succeeded, and that their agents ended early.
        remote: Number of assignments outside the rack of their data.
        excluded: How long each agent was excluded, in seconds.
        racks: Racks that have data.
        load: Share of the jobs of ``JOB_KINDS`` that arrive.
        stretch_factor: Objective of all jobs, as a multiple of their run time.
    """

    def __init__(
        self,
        seed: int,
        racks: tuple[int, ...] = (0, 1, 2, 3, 4),
        load: float = CALM_SHARE,
        stretch_factor: float = 1.6,
    ) -> None:
        self.racks = racks
        self.load = load
        self.stretch_factor = stretch_factor
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.outbox = Outbox()
        self.loop = asyncio.new_event_loop()
        self.lines: list[bytes] = []
        log = make_log(self.lines)
        self.views = AgentViews("zone-a", self.clock, log, self.outbox.redial)
        self.scheduler = JobScheduler(
            clock=self.clock,
            log=log,
            views=self.views,
            send=self.outbox.send,
            format_task_name=lambda job, step, index: f"{job}/{step}/{index}",
            evacuated_zones=frozenset,
            schedule_soon=lambda: None,
            rng=self.rng,
            remote_slowdown=REMOTE_SLOWDOWN,
        )
        self.agents: dict[str, SimulatedAgent] = {}
        for index in range(15):
            is_b = index % 3 == 0
            capacity = Resources(48_000 if is_b else 32_000, 0)
            slowdown = KIND_B_SLOWDOWN if is_b else 1.0
            labels = ["b" if is_b else "a", f"rack-{index % 5}"]
            address = make_address(f"{index:016x}", index + 1)
            agent = SimulatedAgent(address, labels, capacity, slowdown, capacity)
            self.agents[address.incarnation] = agent
        self.ends: list[tuple[float, int, SimulatedAgent]] = []
        self.ended = 0
        self.moved = 0
        self.remote = 0
        self.jobs = 0
        self.excluded = dict.fromkeys(self.agents, 0.0)

    def run(self, seconds: float) -> None:
        """Simulates some seconds."""
        share = self.load * len(self.agents) / 57
        arrivals = [
            (self.clock() + self.rng.expovariate(share * kind[3]), kind)
            for kind in JOB_KINDS
        ]
        until = self.clock() + seconds
        while self.clock() < until:
            next_tick = self.clock() + TICK_S
            while True:
                at, kind = min(arrivals)
                if self.ends and self.ends[0][0] < min(at, next_tick):
                    at, number, agent = heapq.heappop(self.ends)
                    self.clock.now = max(self.clock.now, at)
                    self._end(agent, number, TaskStatus.DONE)
                elif at < next_tick:
                    self.clock.now = at
                    arrivals.remove((at, kind))
                    gap_s = self.rng.expovariate(share * kind[3])
                    arrivals.append((at + gap_s, kind))
                    self._submit(kind)
                else:
                    break
            self.clock.now = next_tick
            self._tick()

    def _submit(self, kind: tuple[str, int, int, int]) -> None:
        name, count, run_ms, _ = kind
        self.jobs += 1
        # The caller's estimate is wrong by up to 40%; the payload is the true time.
        true_ms = run_ms * self.rng.uniform(0.8, 1.25)
        estimate_ms = round(true_ms * self.rng.uniform(0.6, 1.4))
        is_local = name == "wide" and self.rng.random() < 0.6
        rack = f"rack-{self.rng.choice(self.racks)}" if is_local else ""
        step = StepSpec(count, DEMAND, estimate_ms, preferred_rack=rack)
        spec = JobSpec(f"{self.jobs:016x}", f"{true_ms} {rack}", (step,))
        queue = Queue(name, "host", "/", "svc", 0, 2, self.stretch_factor, 60)
        self.scheduler.submit(spec, queue, 30.0, self.loop.create_future())
        self._schedule()

    def _schedule(self) -> None:
        self.scheduler.schedule()
        for sent in self.outbox.sent:
            agent = self.agents[sent.recipient.incarnation]
            if isinstance(sent.message, StartTasks):
                for job in sent.message.jobs:
                    self._start(agent, job)
        self.outbox.sent.clear()

    def _start(self, agent: SimulatedAgent, job: Any) -> None:
        now = self.clock()
        true_ms, rack = job.payload.split(" ")
        distance = REMOTE_SLOWDOWN if rack and rack not in agent.labels else 1.0
        self.remote += len(job.assignments) if distance > 1 else 0
        for assignment in job.assignments:
            tail = 7.0 if self.rng.random() < 0.03 else 1.0
            run_s = float(true_ms) / 1000 * agent.slowdown * distance * tail
            run = TaskRun(None, assignment, "", "", 0, "", now)  # type: ignore[arg-type]
            run.phase = RunPhase.RUNNING
            run.started_at = run.last_progress_at = now
            agent.runs[assignment.number] = (run, run_s)
            agent.through = assignment.number
            agent.free = agent.free.minus(DEMAND)
            heapq.heappush(self.ends, (now + run_s, assignment.number, agent))

    def _end(self, agent: SimulatedAgent, number: int, status: TaskStatus) -> None:
        if number not in agent.runs:
            return
        run, run_s = agent.runs.pop(number)
        run_ms = 1000 * run_s
        agent.free = agent.free.plus(DEMAND)
        agent.quality.record_end(run, status, run_ms, self.clock())
        self.ended += status is TaskStatus.DONE
        self._report(agent, (number, status.value, run_ms))
        self._schedule()

    def _report(
        self, agent: SimulatedAgent, update: tuple[int, str, float] | None = None
    ) -> None:
        report = agent.report(self.clock(), update)
        self.scheduler.handle_report(agent.address, report)

    def _tick(self) -> None:
        now = self.clock()
        for agent in self.agents.values():
            quality = agent.quality
            quality.listed_at = now
            quality.median_slowness = self.views.median_slowness()
            for run, run_s in agent.runs.values():
                percent = float(int(100 * (now - run.started_at) / run_s))
                if percent != run.percent:
                    run.percent = percent
                    run.last_progress_at = now
            quality.refresh(now, [run for run, _ in agent.runs.values()])
            for number, (run, _) in list(agent.runs.items()):
                if run.assignment.may_move and quality.should_move(run):
                    run.is_moved = True
                    quality.record_moved(run, now)
                    self.moved += 1
                    self._end(agent, number, TaskStatus.LOST)
            self._report(agent)
        for name in self.views.suspects.get("svc", ()):
            self.excluded[name] += TICK_S
        self.scheduler.tick()
        self._schedule()
