"""Plays random faults on a model of entries whose callers come back elsewhere.

Messages between entries are lost while one of them is cut off. The leases of agents are
modelled: runs of an entry that can't reach its agents end after up to 1.22 s.
"""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING

from jackdawkeel.messages.scheduling import StartTasks
from jackdawkeel.messages.scheduling import StopTasks
from jackdawkeel.messages.scheduling import TaskStatus
from jackdawkeel.scheduling.job import Job
from tests.scheduling.test_job_ownership import OWNERSHIP_MESSAGES
from tests.scheduling.test_job_ownership import TICK_S
from tests.scheduling.test_job_ownership import Entry
from tests.scheduling.test_job_ownership import JobOwnershipTestCase
from tests.scheduling.test_job_scheduler import QUEUE
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


if __name__ == "__main__":
    unittest.main()
