"""Plays random faults on a model of entries whose callers come back elsewhere.

Messages between entries are lost while one of them is cut off. The leases of agents are
modelled: runs of an entry that can't reach its agents end after up to 1.22 s.
"""

from __future__ import annotations

import math
import random
import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING

from jackdawkeel.messages.scheduling import StartTasks
from jackdawkeel.messages.scheduling import StopTasks
from jackdawkeel.messages.scheduling import TaskStatus
from jackdawkeel.policy.announcement import MIN_INTERVAL_S
from jackdawkeel.scheduling.job import Job
from jackdawkeel.scheduling.leases import LATEST_STOP_S
from jackdawkeel.scheduling.leases import OWNER_LEASE_S
from tests.scheduling.test_job_ownership import OWNERSHIP_MESSAGES
from tests.scheduling.test_job_ownership import TICK_S
from tests.scheduling.test_job_ownership import Entry
from tests.scheduling.test_job_ownership import JobOwnershipTestCase
from tests.scheduling.test_job_scheduler import QUEUE
from tests.scheduling.test_job_scheduler import FakeAgent
from tests.scheduling.test_job_scheduler import make_job


if TYPE_CHECKING:
    import asyncio


SEEDS = range(40)
DURATION_S = 25.0
RESUBMISSION_DELAY_S = 1.3
RUN_S = 2.5
MAX_PATIENCE_S = 2.0
# How late an entry notices that a caller has left.
MAX_NOTICE_S = 4.0
FAULT_DURATIONS_S = (0.1, 3.5)
# Probability per tick that a fault begins at an entry.
FAULT_PROBABILITY = 0.02
# Time after which the runs of an entry end that can't reach its agents.
LEASE_ENDS_S = (0.5, 1.2)
SUSPENSION_SEEDS = (*SEEDS, 108, 196, 550)
SUSPENSION_PROBABILITY = 0.01
SUSPENSION_DURATIONS_S = (0.2, 7.5)


@dataclass(slots=True)
class Submission:
    """A request that an entry has accepted, whose caller may have left."""

    entry: Entry
    job: Job
    waiter: asyncio.Future[None]
    left_at: float
    noticed_at: float


@dataclass(slots=True)
class Outage:
    """A cut or a pause of an entry."""

    ends_at: float
    runs_end_at: float


@dataclass(slots=True)
class Suspension:
    """A suspension of the VM that runs the tasks of an entry.

    Attributes:
        ends_at: When it ends.
        must_stop: Whether its agent stops the runs then.
    """

    ends_at: float
    must_stop: bool


class JobOwnershipModelTest(JobOwnershipTestCase):
    """One job whose callers leave and come back, among faults of the entries."""

    def play(self, seed: int) -> None:
        """Plays one seed and checks that no two entries run the job at once."""
        self.rng = random.Random(seed)
        self.outages: dict[str, Outage] = {}
        self.started_at: dict[str, float] = {}
        self.submissions: list[Submission] = []
        self.next_submission_at = self.clock()
        ends_at = self.clock() + DURATION_S
        while self.clock() < ends_at:
            self.clock.advance(TICK_S)
            for entry in self.entries:
                self.disturb(entry)
            self.submit_if_due()
            self.notice_disconnects()
            for entry in self.entries:
                self.tick(entry)
            self.exchange()
            running = [entry.address for entry in self.entries if entry.running]
            self.assertLessEqual(len(running), 1, (seed, self.clock(), running))

    def disturb(self, entry: Entry) -> None:
        """Begins and ends faults of an entry, and the runs that their leases end."""
        now, name = self.clock(), entry.address.incarnation
        outage = self.outages.get(name)
        if outage is None:
            if self.rng.random() < FAULT_PROBABILITY:
                length_s = self.rng.uniform(*FAULT_DURATIONS_S)
                lease_s = self.rng.uniform(*LEASE_ENDS_S)
                self.outages[name] = Outage(now + length_s, now + lease_s)
                entry.is_cut_off = True
                entry.is_paused = self.rng.random() < 0.5
            return
        if now >= outage.runs_end_at:
            entry.running.clear()
        if now >= outage.ends_at:
            del self.outages[name]
            entry.is_cut_off = entry.is_paused = False

    def submit_if_due(self) -> None:
        """Submits the job through a random entry; an unreachable one is left again."""
        now = self.clock()
        if now < self.next_submission_at:
            return
        patience_s = self.rng.uniform(TICK_S, MAX_PATIENCE_S)
        self.next_submission_at = now + patience_s + RESUBMISSION_DELAY_S
        entry = self.rng.choice(self.entries)
        if entry.is_cut_off:
            return
        waiter = self.loop.create_future()
        job = entry.scheduler.submit(make_job(2), QUEUE, 10.0, waiter)
        if isinstance(job, Job):
            left_at = now + patience_s
            noticed_at = left_at + self.rng.uniform(0.0, MAX_NOTICE_S)
            submission = Submission(entry, job, waiter, left_at, noticed_at)
            self.submissions.append(submission)

    def notice_disconnects(self) -> None:
        """Lets entries notice callers that have left."""
        for submission in list(self.submissions):
            is_due = self.clock() >= submission.noticed_at
            if is_due and not submission.entry.is_paused:
                self.submissions.remove(submission)
                scheduler = submission.entry.scheduler
                scheduler.handle_disconnect(submission.job, submission.waiter)

    def tick(self, entry: Entry) -> None:
        """Delivers a report and runs the tick of an entry that is not disturbed."""
        name = entry.address.incarnation
        if not entry.running:
            self.started_at.pop(name, None)
        elif self.clock() >= self.started_at.setdefault(name, self.clock()) + RUN_S:
            del self.started_at[name]
            if not entry.is_cut_off:
                entry.end_all()
        if entry.is_paused:
            return
        if not entry.is_cut_off:
            self.report(entry)
        entry.scheduler.tick()

    def report(self, entry: Entry) -> None:
        """Delivers a report in which ended runs of open assignments are lost."""
        incarnation = entry.agent.address.incarnation
        open_assignments = entry.scheduler.assignments.open
        lost = [
            assignment.number
            for assignment in open_assignments.list_of_agent(incarnation)
            if assignment.number not in entry.running
            and assignment.number <= entry.agent.seen
        ]
        entry.report(*((number, TaskStatus.LOST) for number in lost))

    def _deliver(self, sender: Entry, recipient: str, message: object) -> None:
        is_to_agent = isinstance(message, StartTasks | StopTasks)
        if is_to_agent and sender.is_cut_off:
            return
        if isinstance(message, OWNERSHIP_MESSAGES):
            paused = [entry for entry in self.entries if entry.is_paused]
            if any(entry.address.incarnation == recipient for entry in paused):
                return
        super()._deliver(sender, recipient, message)

    def test_no_two_entries_run_a_job_at_once_under_random_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed):
                self.setUp()
                self.play(seed)


class SuspensionModelTest(JobOwnershipModelTest):
    """The same, while VMs of agents are suspended.

    The agent that runs the tasks of an entry reports to this entry and to the next one.
    """

    def play(self, seed: int) -> None:
        """Plays one seed with suspensions in addition to the faults of the entries."""
        self.suspensions: dict[str, Suspension] = {}
        self.stops_end_at: dict[str, float] = {}
        self.observed = [
            FakeAgent(f"{port}", 100 + port, self.clock)
            for port in range(1, len(self.entries) + 1)
        ]
        self.other_agent = FakeAgent("e", 300, self.clock)
        for agent in (*self.observed, self.other_agent):
            agent.accepting = False
        super().play(seed)

    def disturb(self, entry: Entry) -> None:
        """Suspends and resumes the VM, whose runs don't end meanwhile."""
        name = entry.address.incarnation
        running = set(entry.running)
        if not self.has_unannounced_job(entry) or name in self.outages:
            super().disturb(entry)
        if running and not entry.running and name in self.suspensions:
            entry.running |= running
            self.suspensions[name].must_stop = True
        self.suspend_or_resume(entry)
        if self.clock() >= self.stops_end_at.get(name, math.inf):
            del self.stops_end_at[name]
            entry.running.clear()

    def has_unannounced_job(self, entry: Entry) -> bool:
        """Returns whether others may not know its job; a limit of the design."""
        earliest = self.clock() - MIN_INTERVAL_S - TICK_S
        return any(job.received_at > earliest for job in entry.scheduler.jobs.values())

    def suspend_or_resume(self, entry: Entry) -> None:
        """Begins or ends a suspension; afterwards the agent stops its runs."""
        now, name = self.clock(), entry.address.incarnation
        suspension = self.suspensions.get(name)
        if suspension is None:
            if self.rng.random() < SUSPENSION_PROBABILITY:
                length_s = self.rng.uniform(*SUSPENSION_DURATIONS_S)
                must_stop = length_s >= OWNER_LEASE_S
                self.suspensions[name] = Suspension(now + length_s, must_stop)
        elif now >= suspension.ends_at:
            del self.suspensions[name]
            if suspension.must_stop:
                self.stops_end_at[name] = now + self.rng.uniform(0.0, LATEST_STOP_S)

    def tick(self, entry: Entry) -> None:
        """Does the same for an entry whose agent may be silent."""
        if not entry.is_paused and not entry.is_cut_off:
            index = self.entries.index(entry)
            previous = self.entries[index - 1]
            agents = [self.other_agent]
            if previous.address.incarnation not in self.suspensions:
                agents.append(self.observed[index - 1])
            for agent in agents:
                entry.scheduler.handle_report(agent.address, agent.report())
        if entry.address.incarnation not in self.suspensions:
            super().tick(entry)
        elif not entry.is_paused:
            entry.scheduler.tick()

    def _deliver(self, sender: Entry, recipient: str, message: object) -> None:
        is_to_agent = isinstance(message, StartTasks | StopTasks)
        if is_to_agent and sender.address.incarnation in self.suspensions:
            return
        super()._deliver(sender, recipient, message)

    def test_no_two_entries_run_a_job_at_once_under_random_faults(self) -> None:
        """Guards against runs that go on when a VM is resumed."""
        for seed in SUSPENSION_SEEDS:
            with self.subTest(seed):
                self.setUp()
                self.play(seed)


if __name__ == "__main__":
    unittest.main()
