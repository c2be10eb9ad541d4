"""Tests of what callers get while more work arrives than the targets can run.

The real scheduler is driven by fake agents whose tasks take the time that they claim.
The tests guard against refusals after a long wait, against late jobs that take capacity
from jobs in time, against starved queues and wide jobs, and against refusals that deny
an assignment.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
import unittest
from dataclasses import dataclass
from dataclasses import field

import msgspec

from jackdawkeel.errors import DispatchError
from jackdawkeel.errors import ErrorKind
from jackdawkeel.messages.scheduling import AgentReport
from jackdawkeel.messages.scheduling import StartTasks
from jackdawkeel.messages.scheduling import TargetView
from jackdawkeel.messages.scheduling import TaskStatus
from jackdawkeel.messages.scheduling import TaskUpdate
from jackdawkeel.metrics import CounterName
from jackdawkeel.scheduling.agent_views import AgentViews
from jackdawkeel.scheduling.job import Job
from jackdawkeel.scheduling.job_scheduler import JobScheduler
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.specification import JobSpec
from jackdawkeel.scheduling.specification import Queue
from jackdawkeel.scheduling.specification import StepSpec
from tests.fakes import FakeClock
from tests.fakes import Outbox
from tests.fakes import make_address
from tests.fakes import make_log


AGENTS = 8
CAPACITY = Resources(8000, 8192)
CORE = Resources(1000, 64)
STEP_S = 0.005
TICK_S = 0.05
BUDGET_S = 15.0
# Priority, tasks, run time in seconds and part of the jobs, as on the page.
KINDS = {
    "short": (0, 8, 0.12, 103),
    "long": (2, 4, 1.8, 19),
    "small": (1, 2, 0.4, 300),
}
WORK_S = sum(tasks * run_s * part for _, tasks, run_s, part in KINDS.values()) / 422
QUEUES = {
    name: Queue(name, "host", f"/{name}/", "svc", kind[0], 2, 1.6, 60)
    for name, kind in KINDS.items()
}


@dataclass(eq=False)
class Submission:
    """A submitted job, and when it was refused or ended; times in clock seconds."""

    kind: str
    tasks: int
    arrived_at: float
    job: Job | DispatchError
    ended_at: float = 0.0

    @property
    def error(self) -> DispatchError | None:
        """Why the job was refused, if it was."""
        return self.job if isinstance(self.job, DispatchError) else self.job.error

    @property
    def end_objectives(self) -> float:
        """Time to the end, in objectives."""
        objective_s = 1.6 * KINDS[self.kind][2] + 0.06
        return (self.ended_at - self.arrived_at) / objective_s


@dataclass(eq=False)
class FakeTarget:
    """A target with its agent; tasks end when their run time is over."""

    port: int
    free: Resources = CAPACITY
    seen: int = 0
    sequence: int = 0
    ended: list[TaskUpdate] = field(default_factory=list)


class Fleet:
    """An entry with fake agents, driven in small steps of a fake clock."""

    def __init__(self, seed: int) -> None:
        self.clock = FakeClock()
        self.rng = random.Random(seed)
        self.loop = asyncio.new_event_loop()
        self.targets = [FakeTarget(port) for port in range(1, AGENTS + 1)]
        self.lost: set[int] = set()
        self.job_numbers = itertools.count()
        self.submissions: list[Submission] = []
        self.open: list[Submission] = []
        self.running: list[tuple[float, int, int, int]] = []
        self.late_starts_before_others = 0
        self.log_lines: list[bytes] = []
        self.start_entry()
        self.next_tick_at = self.clock()

    def start_entry(self) -> None:
        """Starts the entry without jobs; the runs of its predecessor end."""
        self.outbox = Outbox()
        log = make_log(self.log_lines)
        self.scheduler = JobScheduler(
            clock=self.clock,
            log=log,
            views=AgentViews("zone-a", self.clock, log, self.outbox.redial),
            send=self.outbox.send,
            format_task_name=lambda job, step, index: f"{job}/{step}/{index}",
            evacuated_zones=frozenset,
            schedule_soon=lambda: None,
            rng=self.rng,
        )
        self.running.clear()
        self.open.clear()
        for target in self.targets:
            target.free, target.seen, target.ended = CAPACITY, 0, []
            target.sequence = 0
            self._report(target)

    def _report(self, target: FakeTarget) -> None:
        view = TargetView(f"node-{target.port}", "svc", "zone-a", [], CAPACITY, True)
        updates, target.ended = target.ended, []
        address = make_address(f"{target.port:016x}", target.port)
        report = AgentReport(
            self.clock(), view, target.free, target.seen, updates, False, [], 1.0, 0, 0
        )
        self.scheduler.handle_report(address, report)

    def submit(self, kind: str, width: float = 1.0) -> Submission:
        """Submits a job of a kind, with a multiple of its tasks."""
        _, tasks, run_s, _ = KINDS[kind]
        step = StepSpec(round(tasks * width), CORE, round(1000 * run_s))
        spec = JobSpec(f"{next(self.job_numbers):016x}", "", (step,))
        waiter = self.loop.create_future()
        job = self.scheduler.submit(spec, QUEUES[kind], BUDGET_S, waiter)
        submission = Submission(kind, step.count, self.clock(), job)
        self.submissions.append(submission)
        if isinstance(job, Job):
            self.open.append(submission)
        else:
            submission.ended_at = self.clock()
        return submission

    def step(self) -> None:
        """Ends runs that are over, runs the scheduler and starts new runs."""
        self.clock.advance(STEP_S)
        changed = set()
        while self.running and self.running[0][0] <= self.clock():
            _, number, index, run_ms = heapq.heappop(self.running)
            target = self.targets[index]
            target.sequence += 1
            target.free = target.free.plus(CORE)
            done = TaskStatus.DONE.value
            target.ended.append(
                TaskUpdate(target.sequence, number, done, 1, float(run_ms))
            )
            changed.add(index)
        is_tick = self.clock() >= self.next_tick_at
        for index, target in enumerate(self.targets):
            if index not in self.lost and (index in changed or is_tick):
                self._report(target)
        if is_tick:
            self.next_tick_at = self.clock() + TICK_S
            self.scheduler.tick()
        else:
            self.scheduler.schedule()
        self._start_runs()
        for submission in list(self.open):
            if isinstance(submission.job, Job) and submission.job.has_ended:
                submission.ended_at = self.clock()
                self.open.remove(submission)

    def _start_runs(self) -> None:
        waiting = [
            job
            for job in self.scheduler.queue.jobs
            if job.has_ready_tasks()
            and not job.is_late
            and job.can_be_in_time(self.clock())
        ]
        for sent in self.outbox.sent:
            index = int(sent.recipient.incarnation, 16) - 1
            if index in self.lost:
                continue
            assert isinstance(sent.message, StartTasks)
            for group in sent.message.jobs:
                for assignment in group.assignments:
                    job = self.scheduler.jobs[assignment.task.split("/")[0]]
                    self.late_starts_before_others += job.is_late and bool(waiting)
                    run_ms = job.spec.steps[0].estimate_ms
                    end_at = self.clock() + run_ms / 1000
                    run = (end_at, assignment.number, index, run_ms)
                    heapq.heappush(self.running, run)
                    target = self.targets[index]
                    target.free = target.free.minus(CORE)
                    target.seen = max(target.seen, assignment.number)
        self.outbox.sent.clear()

    def lose_targets(self, count: int) -> None:
        """Makes the last targets silent; their runs never end."""
        lost = set(range(AGENTS - count, AGENTS))
        self.lost |= lost
        self.running = [run for run in self.running if run[2] not in lost]
        heapq.heapify(self.running)

    def run(self, load: float, seconds: float) -> None:
        """Submits jobs that claim a multiple of the capacity for some seconds."""
        rate = load * AGENTS * CAPACITY.cpu_millis / 1000 / WORK_S
        parts = [kind[3] for kind in KINDS.values()]
        until = self.clock() + seconds
        next_at = self.clock()
        while self.clock() < until:
            while rate and next_at <= self.clock():
                next_at += self.rng.expovariate(rate)
                kind = self.rng.choices(list(KINDS), parts)[0]
                width = self.rng.choices((0.75, 1.25, 2.25), (7, 2, 1))[0]
                self.submit(kind, width)
            self.step()

    def close(self) -> None:
        """Closes the event loop."""
        self.loop.close()


def share(submissions: list[Submission], max_objectives: float = 1.0) -> float:
    """Returns the share of jobs that were answered within some objectives."""
    ended = [
        item.error is None and 0 < item.end_objectives <= max_objectives
        for item in submissions
    ]
    return sum(ended) / max(1, len(ended))


class ShortageTest(unittest.TestCase):
    def play(self, load: float, seconds: float = 3.0, seed: int = 1) -> Fleet:
        """Plays a burst after a calm second, until all jobs have ended."""
        fleet = Fleet(seed)
        self.addCleanup(fleet.close)
        fleet.run(0.6, 1.0)
        fleet.submissions.clear()
        fleet.run(load, seconds)
        fleet.run(0.0, 10.0)
        return fleet

    def check_callers(
        self, fleet: Fleet, in_time: float, answered: float, held: float
    ) -> None:
        """Checks the shares of jobs in time, answered, and refused after a wait."""
        jobs = fleet.submissions
        self.assertEqual([], fleet.open)
        self.assertGreater(share(jobs), in_time)
        self.assertGreater(share(jobs, 3.0), answered)
        refused = [item for item in jobs if item.error is not None]
        self.assertTrue(refused)
        late = sum(item.end_objectives > 0.25 for item in refused)
        self.assertLess(late / len(jobs), held)
        for item in refused:
            if isinstance(item.job, Job):
                attempts = [task.attempts for task in item.job.tasks[0]]
                self.assertEqual(0, sum(attempts), "refused as not run, but assigned")
        self.assertEqual(0, fleet.late_starts_before_others)

    def test_a_burst_of_1_3_times_the_capacity(self) -> None:
        fleet = self.play(1.3)
        self.check_callers(fleet, in_time=0.65, answered=0.75, held=0.05)

    def test_a_burst_of_twice_the_capacity(self) -> None:
        fleet = self.play(2.0)
        self.check_callers(fleet, in_time=0.4, answered=0.5, held=0.08)

    def test_callers_get_answers_when_half_of_the_targets_are_lost(self) -> None:
        fleet = Fleet(1)
        self.addCleanup(fleet.close)
        fleet.run(0.6, 1.0)
        fleet.lose_targets(AGENTS // 2)
        fleet.submissions.clear()
        fleet.run(0.5, 3.0)
        fleet.run(0.0, 10.0)
        self.assertEqual([], fleet.open)
        self.assertGreater(share(fleet.submissions[-100:], 3.0), 0.7)

    def test_a_promise_is_counted_as_kept_or_broken(self) -> None:
        fleet = self.play(1.1)
        counts = fleet.scheduler.outcomes.counts
        kept = counts[CounterName.PROMISES_KEPT].total()
        broken = counts[CounterName.PROMISES_BROKEN].total()
        self.assertGreater(kept, 0)
        self.assertGreater(kept / (kept + broken), 0.95)
        lines = [msgspec.json.decode(line) for line in fleet.log_lines if line.strip()]
        ended = [line for line in lines if line.get("message_type") == "job_ended"]
        promised = [line for line in ended if line["promised"]]
        self.assertEqual(kept + broken, len(promised))
        in_time = sum(bool(line["in_time"]) for line in promised)
        self.assertEqual(kept, in_time)

    def test_no_queue_and_no_wide_job_is_starved(self) -> None:
        """The bound for wide jobs is half of the share of their queue."""
        jobs = [
            job for seed in range(1, 7) for job in self.play(1.3, 3.0, seed).submissions
        ]
        for kind, (_, tasks, _, _) in KINDS.items():
            of_kind = [item for item in jobs if item.kind == kind]
            self.assertGreater(share(of_kind), share(jobs) - 0.15, kind)
            wide = [item for item in of_kind if item.tasks > tasks]
            self.assertGreaterEqual(share(wide), 0.5 * share(of_kind), kind)

    def test_an_entry_that_restarts_in_a_shortage_serves_at_once(self) -> None:
        """Shares and loads begin again, and limit no queue until then."""
        fleet = Fleet(seed=2)
        self.addCleanup(fleet.close)
        fleet.run(1.6, 2.0)
        fleet.start_entry()
        fleet.submissions.clear()
        fleet.run(1.6, 2.0)
        fleet.run(0.0, 10.0)
        self.check_callers(fleet, in_time=0.5, answered=0.6, held=0.06)

    def test_each_outcome_is_counted_and_logged_with_its_reason(self) -> None:
        fleet = self.play(2.0)
        counts = fleet.scheduler.outcomes.counts
        refused = counts[CounterName.JOBS_REFUSED]
        self.assertLessEqual({"small:predicted_wait"}, set(refused))
        errors = [item for item in fleet.submissions if item.error is not None]
        self.assertEqual(len(errors), sum(refused.values()))
        self.assertTrue(counts[CounterName.JOBS_LATE])
        lines = [msgspec.json.decode(line) for line in fleet.log_lines if line.strip()]
        at_arrival = [line for line in lines if line["message_type"] == "job_refused"]
        self.assertTrue(at_arrival)
        for line in at_arrival:
            self.assertIsNotNone(line["share"])
            if line["cause"] == "predicted_wait":
                self.assertGreater(line["wait_ms"], line["limit_ms"])

    def test_a_caller_that_returns_when_told_finds_a_short_queue(self) -> None:
        fleet = Fleet(seed=1)
        self.addCleanup(fleet.close)
        while (error := fleet.submit("long").error) is None:
            fleet.step()
        self.assertIs(ErrorKind.OVERLOADED, error.kind)
        assert error.retry_after_ms is not None
        self.assertTrue(1000 <= error.retry_after_ms <= 10_000)
        waiting = len(fleet.scheduler.queue.jobs)
        fleet.run(0.0, error.retry_after_ms / 1000)
        self.assertLess(len(fleet.scheduler.queue.jobs), waiting / 4)
        self.assertIsNone(fleet.submit("long").error)
