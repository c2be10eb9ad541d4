"""Tests of the scheduling of jobs at an entry, with fake agents and a fake clock.

They guard against tasks that run twice, are lost, or claim the same capacity twice when
agents fall silent or restart or messages are lost, and against answers that deny a run
that may have happened.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING

import msgspec

from jackdawkeel.errors import DispatchError
from jackdawkeel.errors import ErrorKind
from jackdawkeel.messages.scheduling import AgentReport
from jackdawkeel.messages.scheduling import StartTasks
from jackdawkeel.messages.scheduling import StopTasks
from jackdawkeel.messages.scheduling import TargetView
from jackdawkeel.messages.scheduling import TaskAssignment
from jackdawkeel.messages.scheduling import TaskStatus
from jackdawkeel.messages.scheduling import TaskUpdate
from jackdawkeel.policy.late_requests import DISCONNECT_DELAY_S
from jackdawkeel.policy.waiting import OVERLOAD_S
from jackdawkeel.scheduling.agent_views import AgentViews
from jackdawkeel.scheduling.assignment_sender import STOP_RESEND_INTERVAL_S
from jackdawkeel.scheduling.job import Job
from jackdawkeel.scheduling.job import JobResult
from jackdawkeel.scheduling.job_scheduler import JobScheduler
from jackdawkeel.scheduling.leases import latest_run_end
from jackdawkeel.scheduling.leases import latest_suspended_run_end
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.specification import JobSpec
from jackdawkeel.scheduling.specification import Queue
from jackdawkeel.scheduling.specification import StepSpec
from tests.fakes import FakeClock
from tests.fakes import Outbox
from tests.fakes import make_address
from tests.fakes import make_log


if TYPE_CHECKING:
    from jackdawkeel.messages import PeerAddress


DEADLINE_EXPIRED = ErrorKind.DEADLINE_EXPIRED
QUEUE = Queue("q", "host", "/q/", "svc", 0, 2, 2.0, 100)
CORE = Resources(1000, 64)
CAPACITY = Resources(4000, 4096)


def make_job(count: int = 2, job_id: str = "0" * 16, **step: object) -> JobSpec:
    """Builds a job of one step whose tasks claim one core for 100 ms."""
    return JobSpec(job_id, "payload", (StepSpec(count, CORE, 100, **step),))  # type: ignore[arg-type]


class FakeAgent:
    """Builds the reports of an agent."""

    def __init__(self, name: str, port: int, clock: FakeClock) -> None:
        self.address = make_address(name * 16, port)
        self.clock = clock
        self.free = CAPACITY
        self.accepting = True
        self.seen = 0
        self.sequence = 0
        self.labels: list[str] = []
        self.ended = 0
        self.failed = 0

    def report(
        self, *ends: tuple[int, TaskStatus], open_assignments: list[int] | None = None
    ) -> AgentReport:
        """Builds a report with updates; it is full if open assignments are given."""
        updates = []
        for number, status in ends:
            self.sequence += 1
            updates.append(TaskUpdate(self.sequence, number, status.value, 1, 100.0))
        target = TargetView(
            "node", "svc", "zone-a", self.labels, CAPACITY, self.accepting
        )
        is_full = open_assignments is not None
        return AgentReport(
            self.clock(),
            target,
            self.free,
            self.seen,
            updates,
            is_full,
            open_assignments or [],
            1.0,
            self.ended,
            self.failed,
        )


class JobSchedulerTestCase(unittest.TestCase):
    """Base of the tests of a scheduler with one agent."""

    def setUp(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.clock = FakeClock()
        self.outbox = Outbox()
        self.evacuated: frozenset[str] = frozenset()
        log = make_log()
        views = AgentViews("zone-a", self.clock, log, self.outbox.redial)
        self.scheduler = JobScheduler(
            clock=self.clock,
            log=log,
            views=views,
            send=self.outbox.send,
            format_task_name=lambda job, step, index: f"{job}/{step}/{index}",
            evacuated_zones=lambda: self.evacuated,
            schedule_soon=lambda: None,
            rng=random.Random(1),
        )
        self.agent = FakeAgent("a", 1, self.clock)
        self.deliver(self.agent)

    def deliver(
        self,
        agent: FakeAgent,
        *ends: tuple[int, TaskStatus],
        open_assignments: list[int] | None = None,
    ) -> None:
        """Delivers a report and runs the scheduler."""
        self.scheduler.handle_report(
            agent.address, agent.report(*ends, open_assignments=open_assignments)
        )
        self.scheduler.schedule()

    def submit(
        self, spec: JobSpec | None = None, queue: Queue = QUEUE, deadline_s: float = 10
    ) -> tuple[Job | DispatchError, asyncio.Future[None]]:
        """Submits a job and runs the scheduler."""
        waiter = self.loop.create_future()
        job = self.scheduler.submit(spec or make_job(), queue, deadline_s, waiter)
        self.scheduler.schedule()
        return job, waiter

    def accept(self, spec: JobSpec | None = None, deadline_s: float = 10) -> Job:
        """Submits a job that must not be refused."""
        job, _ = self.submit(spec, deadline_s=deadline_s)
        assert isinstance(job, Job), job
        return job

    def submit_and_disconnect(self) -> TaskAssignment:
        """Submits a job of one task whose caller leaves; returns its assignment."""
        job, waiter = self.submit(make_job(1))
        assert isinstance(job, Job)
        ((_, assignment),) = self.pop_assignments()
        self.scheduler.handle_disconnect(job, waiter)
        return assignment

    def pop_assignments(self) -> list[tuple[PeerAddress, TaskAssignment]]:
        """Returns and removes the assignments sent so far."""
        assignments = [
            (sent.recipient, assignment)
            for sent in self.outbox.sent
            if isinstance(sent.message, StartTasks)
            for job in sent.message.jobs
            for assignment in job.assignments
        ]
        self.outbox.sent.clear()
        return assignments

    def pop_stops(self) -> list[int]:
        """Returns and removes the numbers of the assignments stopped so far."""
        numbers = [
            number
            for sent in self.outbox.sent
            if isinstance(sent.message, StopTasks)
            for number in sent.message.numbers
        ]
        self.outbox.sent.clear()
        return numbers


class JobSchedulerTest(JobSchedulerTestCase):
    def test_a_job_ends_when_all_its_tasks_are_done(self) -> None:
        job, waiter = self.submit()
        assert isinstance(job, Job)
        numbers = [assignment.number for _, assignment in self.pop_assignments()]
        self.assertEqual(len(numbers), 2)
        self.deliver(self.agent, (numbers[0], TaskStatus.DONE))
        self.assertFalse(waiter.done())
        self.deliver(self.agent, (numbers[1], TaskStatus.DONE))
        self.assertTrue(waiter.done())
        self.assertEqual(job.result, JobResult.COMPLETED)

    def test_a_step_waits_for_all_tasks_of_earlier_steps(self) -> None:
        steps = (StepSpec(2, CORE, 100), StepSpec(1, CORE, 100, after=(0,)))
        self.accept(JobSpec("1" * 16, "", steps))
        first = [assignment.number for _, assignment in self.pop_assignments()]
        self.assertEqual(len(first), 2)
        self.deliver(self.agent, (first[0], TaskStatus.DONE))
        self.assertEqual(self.pop_assignments(), [])
        self.deliver(self.agent, (first[1], TaskStatus.DONE))
        self.assertEqual(
            [assignment.task for _, assignment in self.pop_assignments()],
            [f"{'1' * 16}/1/0"],
        )

    def test_tasks_beyond_the_free_capacity_wait(self) -> None:
        self.accept(make_job(6))
        numbers = [assignment.number for _, assignment in self.pop_assignments()]
        self.assertEqual(len(numbers), 4)
        self.agent.seen = numbers[-1]
        self.agent.free = Resources(1000, 4096)
        self.deliver(self.agent, (numbers[0], TaskStatus.DONE))
        self.assertEqual(len(self.pop_assignments()), 1)

    def test_capacity_of_undelivered_assignments_is_not_assigned_again(self) -> None:
        """An agent's report does not count assignments that have not reached it."""
        self.accept(make_job(4))
        self.pop_assignments()
        self.accept(make_job(1, "2" * 16))
        self.deliver(self.agent)
        self.assertEqual(self.pop_assignments(), [])

    def test_a_failed_task_is_retried_up_to_max_attempts(self) -> None:
        job = self.accept(make_job(1))
        for _ in range(QUEUE.max_attempts):
            ((_, assignment),) = self.pop_assignments()
            self.assertIsNone(job.result)
            self.deliver(self.agent, (assignment.number, TaskStatus.FAILED))
        self.assertEqual(job.result, JobResult.FAILED)
        self.assertEqual(self.pop_assignments(), [])

    def test_an_update_of_a_lost_report_is_applied_when_it_is_repeated(self) -> None:
        """Guards against a job that waits for an end that its entry has passed over."""
        job = self.accept(make_job(2))
        first, second = (item.number for _, item in self.pop_assignments())
        lost = self.agent.report((first, TaskStatus.DONE))
        self.deliver(self.agent, (second, TaskStatus.DONE))
        repeated = self.agent.report(open_assignments=[])
        later = TaskUpdate(2, second, TaskStatus.DONE.value, 1, 100.0)
        repeated.updates.extend([*lost.updates, later])
        self.scheduler.handle_report(self.agent.address, repeated)
        self.assertEqual(job.result, JobResult.COMPLETED)

    def test_a_lost_run_does_not_count_as_a_failure(self) -> None:
        job = self.accept(make_job(1))
        for attempt in range(1, 5):
            ((_, assignment),) = self.pop_assignments()
            self.assertEqual(assignment.attempt, attempt)
            self.deliver(self.agent, (assignment.number, TaskStatus.LOST))
        self.assertIsNone(job.result)

    def test_tasks_of_a_silent_agent_are_reassigned_after_their_latest_end(
        self,
    ) -> None:
        """Guards against a second run while a suspended VM may still run the first."""
        self.accept(make_job(1), deadline_s=30)
        self.pop_assignments()
        last_seen_at = self.clock()
        other = FakeAgent("b", 2, self.clock)
        while self.clock() <= latest_suspended_run_end(last_seen_at):
            self.deliver(other)
            self.scheduler.tick()
            self.assertEqual(self.pop_assignments(), [])
            self.clock.advance(0.1)
        self.scheduler.tick()
        ((recipient, assignment),) = self.pop_assignments()
        self.assertEqual(recipient, other.address)
        self.assertEqual(assignment.attempt, 2)

    def lose_contact(self) -> None:
        """Lets the agent fall silent until its runs have ended or are suspended."""
        other = FakeAgent("b", 2, self.clock)
        last_seen_at = self.clock()
        while self.clock() <= latest_run_end(last_seen_at):
            self.deliver(other)
            self.clock.advance(0.1)
            self.scheduler.tick()

    def test_tasks_of_a_suspended_agent_are_reassigned_when_it_reports_their_end(
        self,
    ) -> None:
        """Guards against a second run before a resumed VM has stopped the first."""
        job = self.accept(make_job(2))
        first, second = (item.number for _, item in self.pop_assignments())
        self.lose_contact()
        self.assertEqual(self.pop_assignments(), [])
        self.deliver(self.agent, open_assignments=[first, second])
        self.assertEqual(self.pop_assignments(), [])
        self.deliver(self.agent, (first, TaskStatus.DONE), (second, TaskStatus.LOST))
        ((recipient, assignment),) = self.pop_assignments()
        self.assertNotEqual(recipient, self.agent.address)
        self.assertEqual(assignment.attempt, 2)
        self.assertIsNone(job.result)

    def test_tasks_of_a_silent_agent_are_reassigned_at_once_when_it_restarts(
        self,
    ) -> None:
        self.accept(make_job(1))
        self.pop_assignments()
        self.lose_contact()
        self.assertEqual(self.pop_assignments(), [])
        self.deliver(FakeAgent("c", 1, self.clock))
        self.assertEqual(len(self.pop_assignments()), 1)

    def test_assignments_of_an_unreachable_agent_claim_no_capacity(self) -> None:
        """Guards against refusals for load on targets that are not counted any more."""
        self.accept(make_job(2))
        numbers = [item.number for _, item in self.pop_assignments()]
        claimed = self.scheduler.assignments.open.claimed["svc"]
        self.assertEqual(claimed.cores, 2.0)
        self.lose_contact()
        self.assertEqual(claimed.cores, 0.0)
        self.deliver(self.agent, open_assignments=numbers)
        self.assertEqual(claimed.cores, 2.0)
        self.deliver(self.agent, *((number, TaskStatus.DONE) for number in numbers))
        self.assertEqual(claimed.cores, 0.0)

    def test_stops_are_sent_to_a_suspended_agent_when_it_reports_again(self) -> None:
        assignment = self.submit_and_disconnect()
        self.lose_contact()
        self.pop_stops()
        self.deliver(self.agent, open_assignments=[assignment.number])
        self.clock.advance(STOP_RESEND_INTERVAL_S)
        self.scheduler.tick()
        self.assertEqual(self.pop_stops(), [assignment.number])

    def test_tasks_are_reassigned_at_once_when_the_agent_restarts(self) -> None:
        self.accept(make_job(1))
        self.pop_assignments()
        successor = FakeAgent("c", 1, self.clock)
        self.deliver(successor)
        ((recipient, _),) = self.pop_assignments()
        self.assertEqual(recipient, successor.address)

    def test_delayed_report_of_a_replaced_agent_moves_no_tasks_of_its_successor(
        self,
    ) -> None:
        delayed = self.agent.report()
        successor = FakeAgent("c", 1, self.clock)
        self.deliver(successor)
        self.accept(make_job(1))
        ((recipient, _),) = self.pop_assignments()
        self.assertEqual(recipient, successor.address)
        self.deliver(FakeAgent("b", 2, self.clock))
        self.scheduler.handle_report(self.agent.address, delayed)
        self.scheduler.schedule()
        self.assertEqual(self.pop_assignments(), [])
        self.assertNotIn(self.agent.address.incarnation, self.scheduler.views.views)

    def test_first_report_of_a_predecessor_does_not_replace_a_running_agent(
        self,
    ) -> None:
        predecessor = FakeAgent("c", 1, self.clock)
        self.clock.advance(-1.0)
        delayed = predecessor.report()
        self.clock.advance(1.1)
        self.deliver(self.agent)
        self.accept(make_job(1))
        self.pop_assignments()
        self.scheduler.handle_report(predecessor.address, delayed)
        self.deliver(self.agent)
        self.assertEqual(self.pop_assignments(), [])
        self.assertEqual(
            list(self.scheduler.views.views), [self.agent.address.incarnation]
        )

    def test_agent_of_a_rebooted_vm_replaces_its_predecessor(self) -> None:
        rebooted = FakeAgent("c", 1, FakeClock(5.0))
        self.clock.advance(latest_run_end(0.0) + 0.1)
        self.scheduler.tick()
        self.deliver(rebooted)
        self.assertEqual(
            list(self.scheduler.views.views), [rebooted.address.incarnation]
        )

    def test_delayed_report_of_an_expired_agent_does_not_replace_its_successor(
        self,
    ) -> None:
        delayed = self.agent.report()
        self.clock.advance(latest_run_end(0.0) + 0.1)
        self.scheduler.tick()
        successor = FakeAgent("c", 1, self.clock)
        self.deliver(successor)
        self.scheduler.handle_report(self.agent.address, delayed)
        self.assertEqual(
            list(self.scheduler.views.views), [successor.address.incarnation]
        )

    def test_expired_agent_that_reports_again_is_used_again(self) -> None:
        self.clock.advance(latest_run_end(0.0) + 0.1)
        self.scheduler.tick()
        self.deliver(self.agent)
        self.clock.advance(0.01)
        self.accept(make_job(1))
        self.clock.advance(DISCONNECT_DELAY_S)
        self.scheduler.tick()
        ((recipient, _),) = self.pop_assignments()
        self.assertEqual(recipient, self.agent.address)

    def test_a_silent_agent_gets_no_new_assignments(self) -> None:
        self.clock.advance(0.6)
        job, _ = self.submit()
        assert isinstance(job, DispatchError)
        self.assertEqual(job.kind, ErrorKind.NO_TARGET)

    def test_an_assignment_that_the_agent_does_not_list_is_resent(self) -> None:
        self.accept(make_job(1))
        ((_, assignment),) = self.pop_assignments()
        self.clock.advance(0.4)
        self.deliver(self.agent, open_assignments=[])
        ((_, repeated),) = self.pop_assignments()
        self.assertEqual(repeated.number, assignment.number)
        self.clock.advance(0.4)
        self.deliver(self.agent, open_assignments=[assignment.number])
        self.assertEqual(self.pop_assignments(), [])

    def test_tasks_are_stopped_when_their_caller_disconnects(self) -> None:
        job, waiter = self.submit()
        assert isinstance(job, Job)
        numbers = [assignment.number for _, assignment in self.pop_assignments()]
        self.scheduler.handle_disconnect(job, waiter)
        self.assertEqual(self.pop_stops(), numbers)
        self.clock.advance(0.4)
        self.deliver(self.agent)
        self.scheduler.tick()
        self.assertEqual(self.pop_stops(), numbers)

    def test_a_resubmitted_job_joins_the_running_one(self) -> None:
        job, first = self.submit()
        again, second = self.submit()
        assert isinstance(job, Job)
        self.assertIs(job, again)
        assignments = self.pop_assignments()
        self.assertEqual(len(assignments), 2)
        self.scheduler.handle_disconnect(job, first)
        for _, assignment in assignments:
            self.deliver(self.agent, (assignment.number, TaskStatus.DONE))
        self.assertTrue(second.done())

    def test_a_job_resubmitted_after_a_disconnect_waits_for_its_earlier_runs(
        self,
    ) -> None:
        """A task must not start again while its earlier run may go on."""
        assignment = self.submit_and_disconnect()
        self.accept(make_job(1))
        self.assertEqual(self.pop_assignments(), [])
        self.deliver(self.agent, (assignment.number, TaskStatus.LOST))
        self.assertEqual(len(self.pop_assignments()), 1)

    def test_a_job_resubmitted_twice_waits_for_the_runs_of_the_first_submission(
        self,
    ) -> None:
        assignment = self.submit_and_disconnect()
        blocked, waiter = self.submit(make_job(1))
        assert isinstance(blocked, Job)
        self.scheduler.handle_disconnect(blocked, waiter)
        self.accept(make_job(1))
        self.assertEqual(self.pop_assignments(), [])
        self.deliver(self.agent, (assignment.number, TaskStatus.LOST))
        self.assertEqual(len(self.pop_assignments()), 1)

    def test_a_resubmitted_ended_job_gets_the_same_answer(self) -> None:
        job = self.accept(make_job(1))
        ((_, assignment),) = self.pop_assignments()
        self.deliver(self.agent, (assignment.number, TaskStatus.DONE))
        again, waiter = self.submit(make_job(1))
        self.assertIs(job, again)
        self.assertTrue(waiter.done())
        self.assertEqual(self.pop_assignments(), [])

    def test_late_request_of_a_caller_that_leaves_next_starts_no_task(self) -> None:
        self.clock.advance(2.0)
        self.deliver(self.agent)
        self.clock.advance(0.01)
        job, waiter = self.submit(make_job(1))
        assert isinstance(job, Job)
        self.clock.advance(0.01)
        self.scheduler.handle_disconnect(job, waiter)
        self.clock.advance(0.2)
        self.deliver(self.agent)
        self.assertEqual(self.pop_assignments(), [])

    def test_lost_task_of_a_caller_that_disconnects_after_an_outage_is_not_restarted(
        self,
    ) -> None:
        job, waiter = self.submit(make_job(1))
        assert isinstance(job, Job)
        ((_, assignment),) = self.pop_assignments()
        self.clock.advance(2.0)
        self.deliver(self.agent, (assignment.number, TaskStatus.LOST))
        self.clock.advance(1.5)
        self.deliver(self.agent)
        self.assertEqual(self.pop_assignments(), [])
        self.scheduler.handle_disconnect(job, waiter)
        self.clock.advance(1.0)
        self.deliver(self.agent)
        self.assertEqual(self.pop_assignments(), [])

    def test_an_assignment_that_an_outage_lost_is_not_resent_before_disconnects_arrive(
        self,
    ) -> None:
        self.accept(make_job(1))
        self.pop_assignments()
        self.clock.advance(0.8)
        self.deliver(self.agent, open_assignments=[])
        self.assertEqual(self.pop_assignments(), [])
        for _ in range(2):
            self.clock.advance(0.35)
            self.deliver(self.agent, open_assignments=[])
        self.assertEqual(self.pop_assignments(), [])
        self.clock.advance(0.35)
        self.deliver(self.agent, open_assignments=[])
        self.assertEqual(len(self.pop_assignments()), 1)

    def test_a_job_starts_soon_after_an_outage(self) -> None:
        self.clock.advance(2.0)
        self.deliver(self.agent)
        self.clock.advance(0.01)
        self.accept(make_job(1))
        self.assertEqual(self.pop_assignments(), [])
        self.clock.advance(DISCONNECT_DELAY_S)
        self.scheduler.tick()
        self.assertEqual(len(self.pop_assignments()), 1)

    def test_a_job_held_after_an_outage_is_not_refused_for_its_wait(self) -> None:
        urgent = Queue("q", "host", "/q/", "svc", 0, 2, 1.0, 0)
        self.clock.advance(2.0)
        self.deliver(self.agent)
        self.clock.advance(0.01)
        waiter = self.loop.create_future()
        job = self.scheduler.submit(make_job(1), urgent, 10.0, waiter)
        assert isinstance(job, Job)
        self.clock.advance(DISCONNECT_DELAY_S)
        self.scheduler.tick()
        self.assertIsNone(job.error)
        self.assertEqual(len(self.pop_assignments()), 1)

    def test_a_job_past_its_deadline_is_stopped(self) -> None:
        job = self.accept(make_job(1), deadline_s=1.0)
        ((_, assignment),) = self.pop_assignments()
        self.clock.advance(1.0)
        self.deliver(self.agent)
        self.scheduler.tick()
        assert job.error is not None
        self.assertEqual(job.error.kind, ErrorKind.DEADLINE_EXPIRED)
        self.assertEqual(self.pop_stops(), [assignment.number])

    def test_a_job_that_may_have_run_is_never_reported_as_not_started(self) -> None:
        for status in (TaskStatus.LOST, TaskStatus.FAILED):
            with self.subTest(status):
                self.setUp()
                job = self.accept(make_job(1))
                ((_, assignment),) = self.pop_assignments()
                self.deliver(self.agent, (assignment.number, status))
                self.assertIs(self.wait_without_capacity(job), DEADLINE_EXPIRED)

    def test_a_job_with_an_open_assignment_is_never_reported_as_not_started(
        self,
    ) -> None:
        job = self.accept(make_job(1))
        self.assertIs(self.wait_without_capacity(job), DEADLINE_EXPIRED)

    def test_a_job_of_a_silent_agent_is_never_reported_as_not_started(self) -> None:
        job = self.accept(make_job(1))
        self.clock.advance(2.0)
        self.scheduler.tick()
        self.assertIs(self.wait_without_capacity(job), DEADLINE_EXPIRED)

    def test_a_job_whose_assignments_all_came_back_unstarted_is_refused_early(
        self,
    ) -> None:
        """Its caller would otherwise wait until the deadline for nothing."""
        job = self.accept(make_job(2))
        numbers = [assignment.number for _, assignment in self.pop_assignments()]
        ends = [(number, TaskStatus.NOT_STARTED) for number in numbers]
        self.agent.accepting = False
        self.deliver(self.agent, *ends)
        started_at = self.clock()
        self.assertIs(self.wait_without_capacity(job), ErrorKind.OVERLOADED)
        self.assertLess(self.clock() - started_at, 1.0)

    def wait_without_capacity(self, job: Job) -> ErrorKind:
        """Lets time pass in which no task can start; returns why the job ended."""
        self.agent.accepting = False
        for _ in range(120):
            self.clock.advance(0.1)
            self.deliver(self.agent)
            self.scheduler.tick()
            if job.error is not None:
                return job.error.kind
        raise AssertionError("the job did not end")

    def test_a_job_that_waits_too_long_is_refused_before_its_deadline(self) -> None:
        self.accept(make_job(4))
        self.pop_assignments()
        waiting = self.accept(make_job(4, "3" * 16), deadline_s=60)
        while waiting.error is None and self.clock() < 1010:
            self.clock.advance(0.1)
            self.deliver(self.agent)
            self.scheduler.tick()
        assert waiting.error is not None
        self.assertEqual(waiting.error.kind, ErrorKind.OVERLOADED)
        self.assertLess(self.clock(), 1002)

    def test_an_entry_that_shuts_down_accepts_only_jobs_that_end_in_time(self) -> None:
        self.scheduler.queue.shutdown_at = self.clock() + 1.0
        short, long = StepSpec(1, CORE, 100), StepSpec(1, CORE, 800)
        job, _ = self.submit(JobSpec("4" * 16, "", (short,)))
        self.assertIsInstance(job, Job)
        job, _ = self.submit(JobSpec("5" * 16, "", (long,)))
        assert isinstance(job, DispatchError)
        self.assertEqual(job.kind, ErrorKind.SHUTTING_DOWN)

    def test_a_job_with_a_task_larger_than_any_target_is_refused_at_once(self) -> None:
        step = StepSpec(1, Resources(5000, 64), 100)
        job, _ = self.submit(JobSpec("4" * 16, "", (step,)))
        assert isinstance(job, DispatchError)
        self.assertEqual(job.kind, ErrorKind.NO_TARGET)

    def test_a_job_that_would_start_too_late_is_refused_at_once(self) -> None:
        """Tasks of 100 ms fill the target, and the objective is 300 ms."""
        for number in range(2):
            self.accept(make_job(4, job_id=f"{number:016x}"))
        for deadline_s, count in ((0.3, 5), (10.0, 30)):
            spec = make_job(count, job_id="f" * 16)
            refused, waiter = self.submit(spec, deadline_s=deadline_s)
            assert isinstance(refused, DispatchError)
            self.assertIs(refused.kind, ErrorKind.OVERLOADED)
            self.assertFalse(waiter.done())
            tasks = {assignment.task for _, assignment in self.pop_assignments()}
            self.assertFalse(any(task.startswith("f" * 16) for task in tasks))

    def test_a_job_that_ends_late_but_within_its_limit_is_admitted_late(self) -> None:
        """The answer within three objectives is worth more than none."""
        for number in range(2):
            self.accept(make_job(4, job_id=f"{number:016x}"))
        self.scheduler.queue.short_since = {"svc": self.clock() - OVERLOAD_S}
        late = self.accept(make_job(1, job_id="f" * 16))
        self.assertTrue(late.is_late)
        self.assertFalse(late.has_begun)

    def test_no_job_is_refused_for_its_wait_while_agents_are_being_discovered(
        self,
    ) -> None:
        """After all machines have lost power, agents report one after the other."""
        self.scheduler.queue.discovers_until = self.clock() + 1.0
        for number in range(3):
            self.accept(make_job(5, job_id=f"{number:016x}"))

    def test_waiting_jobs_of_another_service_delay_no_job(self) -> None:
        for number in range(2):
            self.accept(make_job(4, job_id=f"{number:016x}"))
        other = FakeAgent("c", 9, self.clock)
        report = other.report(open_assignments=[])
        target = msgspec.structs.replace(report.target, service="other")
        report = msgspec.structs.replace(report, target=target)
        self.scheduler.handle_report(other.address, report)
        queue = Queue("r", "host", "/r/", "other", 0, 2, 2.0, 100)
        job, _ = self.submit(make_job(5, job_id="f" * 16), queue)
        self.assertIsInstance(job, Job)

    def deliver_last(self, agent: FakeAgent) -> None:
        """Delivers a report after which the agent reports to other entries."""
        agent.accepting = False
        report = msgspec.structs.replace(agent.report(), is_last=True)
        self.scheduler.handle_report(agent.address, report)

    def test_an_agent_that_reports_to_other_entries_is_removed(self) -> None:
        self.deliver_last(self.agent)
        self.assertEqual({}, self.scheduler.views.views)
        self.clock.advance(10.0)
        self.scheduler.tick()
        self.scheduler.views.check_silence()
        self.assertEqual([], self.outbox.redialled)

    def test_an_agent_that_received_tasks_after_its_last_report_is_kept(self) -> None:
        """An assignment may cross the last report; its tasks must not be forgotten."""
        job = self.accept(make_job(1))
        ((_, assignment),) = self.pop_assignments()
        self.deliver_last(self.agent)
        self.assertIn(self.agent.address.incarnation, self.scheduler.views.views)
        self.deliver(self.agent, (assignment.number, TaskStatus.DONE))
        self.assertIs(job.result, JobResult.COMPLETED)

    def test_no_assignment_is_sent_to_an_evacuated_zone(self) -> None:
        self.evacuated = frozenset(["zone-a"])
        job, _ = self.submit()
        self.assertIsInstance(job, DispatchError)
        self.assertEqual(self.pop_assignments(), [])

    def test_a_job_is_counted_as_pending_until_its_first_assignment(self) -> None:
        self.accept(make_job(4))
        self.accept(make_job(1, "5" * 16))
        self.assertEqual(self.scheduler.count_pending("q"), 1)

    def test_a_failed_task_is_retried_on_another_target(self) -> None:
        other = FakeAgent("b", 2, self.clock)
        self.deliver(other)
        self.accept(make_job(1))
        ((first, assignment),) = self.pop_assignments()
        failing = self.agent if first == self.agent.address else other
        self.deliver(failing, (assignment.number, TaskStatus.FAILED))
        ((second, _),) = self.pop_assignments()
        self.assertNotEqual(first, second)

    def test_a_target_that_fails_its_tasks_is_excluded(self) -> None:
        others = [
            FakeAgent(name, port, self.clock) for port, name in enumerate("bcd", 2)
        ]
        for agent in others:
            agent.ended = 20
            self.deliver(agent)
        self.agent.ended, self.agent.failed = 20, 18
        self.deliver(self.agent)
        self.accept(make_job(6))
        recipients = {recipient for recipient, _ in self.pop_assignments()}
        self.assertNotIn(self.agent.address, recipients)
