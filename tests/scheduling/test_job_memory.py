"""Tests of the limits on the memory of jobs."""

from __future__ import annotations

from jackdawkeel.errors import DispatchError
from jackdawkeel.errors import ErrorKind
from jackdawkeel.policy.job_memory import JobMemoryLimits
from jackdawkeel.scheduling.job import Job
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.specification import JobSpec
from jackdawkeel.scheduling.specification import StepSpec
from tests.scheduling.test_job_scheduler import JobSchedulerTestCase


# Its tasks claim no processors, so that jobs are admitted however many wait.
STEP = StepSpec(100, Resources(0, 1024))
# Room for two such jobs, but not for three.
OPEN_BYTES = 140_000


class JobMemoryTest(JobSchedulerTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.scheduler.memory.limits = JobMemoryLimits(OPEN_BYTES, 0)

    def submit_numbered(self, number: int) -> Job | DispatchError:
        """Submits a job of many tasks under an id of its own."""
        job, _ = self.submit(JobSpec(f"job-{number}", "text", (STEP,)))
        return job

    def test_a_job_without_room_is_refused_until_another_one_ends(self) -> None:
        jobs = [self.submit_numbered(number) for number in range(3)]
        self.assertIsInstance(jobs[1], Job)
        assert isinstance(jobs[2], DispatchError)
        self.assertIs(ErrorKind.OVERLOADED, jobs[2].kind)
        self.scheduler.cancel("job-0")
        self.assertIsInstance(self.submit_numbered(3), Job)

    def test_a_single_job_may_take_more(self) -> None:
        self.scheduler.memory.limits = JobMemoryLimits(0, 0)
        self.assertIsInstance(self.submit_numbered(0), Job)
        self.assertIsInstance(self.submit_numbered(1), DispatchError)

    def test_a_refusal_does_not_deny_a_job_that_is_open(self) -> None:
        for number in range(2):
            self.submit_numbered(number)
        changed = JobSpec("job-0", "other text", (STEP,))
        refusal, _ = self.submit(changed)
        assert isinstance(refusal, DispatchError)
        self.assertIs(ErrorKind.ENTRY_BUSY, refusal.kind)

    def test_ended_jobs_are_dropped_once_their_assignments_are_closed(self) -> None:
        job = self.submit_numbered(0)
        assert isinstance(job, Job)
        self.scheduler.cancel("job-0")
        self.assertEqual([[]], job.tasks)
        self.assertIs(job, self.scheduler.find_job("job-0"))
        numbers = list(job.open_assignments)
        self.assertTrue(numbers)
        for number in numbers:
            self.scheduler.assignments.close(job.open_assignments[number])
        self.submit_numbered(1)
        self.scheduler.cancel("job-1")
        self.assertIsNone(self.scheduler.find_job("job-0"))

    def test_ended_jobs_within_the_limit_are_kept(self) -> None:
        self.scheduler.memory.limits = JobMemoryLimits(OPEN_BYTES, 1_000_000)
        for number in range(10):
            self.submit_numbered(number)
            self.scheduler.cancel(f"job-{number}")
        self.assertIsNotNone(self.scheduler.find_job("job-0"))
        self.assertEqual(0, self.scheduler.memory.opened.total_bytes)
