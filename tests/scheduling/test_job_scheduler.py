"""Tests of the entry's job controller, with fakes for agents and clock."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING

from jackdawkeel.errors import DispatchError
from jackdawkeel.errors import ErrorKind
from jackdawkeel.messages.scheduling import AgentReport
from jackdawkeel.messages.scheduling import StartTasks
from jackdawkeel.messages.scheduling import StopTasks
from jackdawkeel.messages.scheduling import TargetView
from jackdawkeel.messages.scheduling import TaskOrder
from jackdawkeel.messages.scheduling import TaskStatus
from jackdawkeel.messages.scheduling import TaskUpdate
from jackdawkeel.scheduling.agent_views import AgentViews
from jackdawkeel.scheduling.job import Job
from jackdawkeel.scheduling.job import JobResult
from jackdawkeel.scheduling.job_scheduler import JobScheduler
from jackdawkeel.scheduling.leases import latest_end
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


QUEUE = Queue("q", "host", "/q/", "svc", 0, 2, 2.0, 100)
CORE = Resources(1000, 64)
CAPACITY = Resources(4000, 4096)


def make_job(count: int = 2, job_id: str = "0" * 16, **step: object) -> JobSpec:
    """Builds a job of one step whose tasks take one core for 100 ms."""
    return JobSpec(job_id, "payload", (StepSpec(count, CORE, 100, **step),))  # type: ignore[arg-type]


class FakeAgent:
    """An agent as far as its reports go."""

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
        self, *ends: tuple[int, TaskStatus], open_orders: list[int] | None = None
    ) -> AgentReport:
        """Builds a report with updates."""
        updates = []
        for number, status in ends:
            self.sequence += 1
            updates.append(TaskUpdate(self.sequence, number, status.value, 1, 100.0))
        target = TargetView(
            "node", "svc", "zone-a", self.labels, CAPACITY, self.accepting
        )
        is_full = open_orders is not None
        return AgentReport(
            self.clock(),
            target,
            self.free,
            self.seen,
            updates,
            is_full,
            open_orders or [],
            1.0,
            self.ended,
            self.failed,
        )


class JobSchedulerTest(unittest.TestCase):
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
        self.hear(self.agent)

    def hear(
        self,
        agent: FakeAgent,
        *ends: tuple[int, TaskStatus],
        open_orders: list[int] | None = None,
    ) -> None:
        """Delivers a report and lets the scheduler act on it."""
        self.scheduler.handle_report(
            agent.address, agent.report(*ends, open_orders=open_orders)
        )
        self.scheduler.schedule()

    def submit(
        self, spec: JobSpec | None = None, queue: Queue = QUEUE, deadline_s: float = 10
    ) -> tuple[Job | DispatchError, asyncio.Future[None]]:
        """Submits a job and lets the scheduler act on it."""
        waiter = self.loop.create_future()
        job = self.scheduler.submit(spec or make_job(), queue, deadline_s, waiter)
        self.scheduler.schedule()
        return job, waiter

    def accept(self, spec: JobSpec | None = None, deadline_s: float = 10) -> Job:
        """Submits a job that must not be refused."""
        job, _ = self.submit(spec, deadline_s=deadline_s)
        assert isinstance(job, Job), job
        return job

    def take_orders(self) -> list[tuple[PeerAddress, TaskOrder]]:
        """Returns and forgets the orders that were sent."""
        orders = [
            (sent.recipient, order)
            for sent in self.outbox.sent
            if isinstance(sent.message, StartTasks)
            for job in sent.message.jobs
            for order in job.orders
        ]
        self.outbox.sent.clear()
        return orders

    def take_stops(self) -> list[int]:
        """Returns and forgets the numbers of the orders that were stopped."""
        numbers = [
            number
            for sent in self.outbox.sent
            if isinstance(sent.message, StopTasks)
            for number in sent.message.numbers
        ]
        self.outbox.sent.clear()
        return numbers

    def test_a_job_ends_when_all_its_tasks_are_done(self) -> None:
        job, waiter = self.submit()
        assert isinstance(job, Job)
        numbers = [order.number for _, order in self.take_orders()]
        self.assertEqual(len(numbers), 2)
        self.hear(self.agent, (numbers[0], TaskStatus.DONE))
        self.assertFalse(waiter.done())
        self.hear(self.agent, (numbers[1], TaskStatus.DONE))
        self.assertTrue(waiter.done())
        self.assertEqual(job.result, JobResult.COMPLETED)

    def test_a_step_waits_for_all_tasks_of_earlier_steps(self) -> None:
        steps = (StepSpec(2, CORE, 100), StepSpec(1, CORE, 100, after=(0,)))
        self.accept(JobSpec("1" * 16, "", steps))
        first = [order.number for _, order in self.take_orders()]
        self.assertEqual(len(first), 2)
        self.hear(self.agent, (first[0], TaskStatus.DONE))
        self.assertEqual(self.take_orders(), [])
        self.hear(self.agent, (first[1], TaskStatus.DONE))
        self.assertEqual(
            [order.task for _, order in self.take_orders()], [f"{'1' * 16}/1/0"]
        )

    def test_more_tasks_than_room_wait(self) -> None:
        self.accept(make_job(6))
        numbers = [order.number for _, order in self.take_orders()]
        self.assertEqual(len(numbers), 4)
        self.agent.seen = numbers[-1]
        self.agent.free = Resources(1000, 4096)
        self.hear(self.agent, (numbers[0], TaskStatus.DONE))
        self.assertEqual(len(self.take_orders()), 1)

    def test_room_of_orders_on_their_way_is_not_given_twice(self) -> None:
        self.accept(make_job(4))
        self.take_orders()
        self.accept(make_job(1, "2" * 16))
        self.hear(self.agent)
        self.assertEqual(self.take_orders(), [])

    def test_a_failed_task_is_tried_up_to_its_limit(self) -> None:
        job = self.accept(make_job(1))
        for _ in range(QUEUE.max_attempts):
            ((_, order),) = self.take_orders()
            self.assertIsNone(job.result)
            self.hear(self.agent, (order.number, TaskStatus.FAILED))
        self.assertEqual(job.result, JobResult.FAILED)
        self.assertEqual(self.take_orders(), [])

    def test_a_lost_run_is_no_failure(self) -> None:
        job = self.accept(make_job(1))
        for attempt in range(1, 5):
            ((_, order),) = self.take_orders()
            self.assertEqual(order.attempt, attempt)
            self.hear(self.agent, (order.number, TaskStatus.LOST))
        self.assertIsNone(job.result)

    def test_tasks_of_a_silent_agent_move_only_when_they_must_have_ended(self) -> None:
        self.accept(make_job(1))
        self.take_orders()
        heard_at = self.clock()
        other = FakeAgent("b", 2, self.clock)
        while self.clock() <= latest_end(heard_at):
            self.hear(other)
            self.scheduler.tick()
            self.assertEqual(self.take_orders(), [])
            self.clock.advance(0.1)
        self.scheduler.tick()
        ((recipient, order),) = self.take_orders()
        self.assertEqual(recipient, other.address)
        self.assertEqual(order.attempt, 2)

    def test_tasks_move_at_once_when_a_new_process_replaces_the_agent(self) -> None:
        self.accept(make_job(1))
        self.take_orders()
        successor = FakeAgent("c", 1, self.clock)
        self.hear(successor)
        ((recipient, _),) = self.take_orders()
        self.assertEqual(recipient, successor.address)

    def test_a_silent_agent_gets_no_new_orders(self) -> None:
        self.clock.advance(0.6)
        job, _ = self.submit()
        assert isinstance(job, DispatchError)
        self.assertEqual(job.kind, ErrorKind.NO_TARGET)

    def test_an_order_that_the_agent_does_not_list_is_sent_again(self) -> None:
        self.accept(make_job(1))
        ((_, order),) = self.take_orders()
        self.clock.advance(0.4)
        self.hear(self.agent, open_orders=[])
        ((_, repeated),) = self.take_orders()
        self.assertEqual(repeated.number, order.number)
        self.clock.advance(0.4)
        self.hear(self.agent, open_orders=[order.number])
        self.assertEqual(self.take_orders(), [])

    def test_the_tasks_of_a_caller_that_left_are_stopped(self) -> None:
        job, waiter = self.submit()
        assert isinstance(job, Job)
        numbers = [order.number for _, order in self.take_orders()]
        self.scheduler.leave(job, waiter)
        self.assertEqual(self.take_stops(), numbers)
        self.clock.advance(0.4)
        self.hear(self.agent)
        self.scheduler.tick()
        self.assertEqual(self.take_stops(), numbers)

    def test_a_job_sent_again_joins_the_one_that_runs(self) -> None:
        job, first = self.submit()
        again, second = self.submit()
        assert isinstance(job, Job)
        self.assertIs(job, again)
        orders = self.take_orders()
        self.assertEqual(len(orders), 2)
        self.scheduler.leave(job, first)
        for _, order in orders:
            self.hear(self.agent, (order.number, TaskStatus.DONE))
        self.assertTrue(second.done())

    def test_a_job_sent_again_after_it_was_left_waits_for_its_former_runs(
        self,
    ) -> None:
        job, waiter = self.submit(make_job(1))
        assert isinstance(job, Job)
        ((_, order),) = self.take_orders()
        self.scheduler.leave(job, waiter)
        self.accept(make_job(1))
        self.assertEqual(self.take_orders(), [])
        self.hear(self.agent, (order.number, TaskStatus.LOST))
        self.assertEqual(len(self.take_orders()), 1)

    def test_an_ended_job_gives_the_same_answer_again(self) -> None:
        job = self.accept(make_job(1))
        ((_, order),) = self.take_orders()
        self.hear(self.agent, (order.number, TaskStatus.DONE))
        again, waiter = self.submit(make_job(1))
        self.assertIs(job, again)
        self.assertTrue(waiter.done())
        self.assertEqual(self.take_orders(), [])

    def test_a_job_past_its_deadline_is_stopped(self) -> None:
        job = self.accept(make_job(1), deadline_s=1.0)
        ((_, order),) = self.take_orders()
        self.clock.advance(1.0)
        self.hear(self.agent)
        self.scheduler.tick()
        assert job.error is not None
        self.assertEqual(job.error.kind, ErrorKind.DEADLINE_EXPIRED)
        self.assertEqual(self.take_stops(), [order.number])

    def test_a_job_that_may_have_run_is_never_said_not_to_have_run(self) -> None:
        job = self.accept(make_job(1))
        ((_, order),) = self.take_orders()
        self.hear(self.agent, (order.number, TaskStatus.NOT_STARTED))
        self.agent.accepting = False
        for _ in range(120):
            self.clock.advance(0.1)
            self.hear(self.agent)
            self.scheduler.tick()
        assert job.error is not None
        self.assertEqual(job.error.kind, ErrorKind.DEADLINE_EXPIRED)

    def test_a_job_that_waits_too_long_is_refused_before_its_deadline(self) -> None:
        self.accept(make_job(4))
        self.take_orders()
        waiting = self.accept(make_job(4, "3" * 16), deadline_s=60)
        while waiting.error is None and self.clock() < 1010:
            self.clock.advance(0.1)
            self.hear(self.agent)
            self.scheduler.tick()
        assert waiting.error is not None
        self.assertEqual(waiting.error.kind, ErrorKind.OVERLOADED)
        self.assertLess(self.clock(), 1002)

    def test_an_entry_that_shuts_down_takes_only_jobs_that_fit(self) -> None:
        self.scheduler.end_at = self.clock() + 1.0
        short, long = StepSpec(1, CORE, 100), StepSpec(1, CORE, 800)
        job, _ = self.submit(JobSpec("4" * 16, "", (short,)))
        self.assertIsInstance(job, Job)
        job, _ = self.submit(JobSpec("5" * 16, "", (long,)))
        assert isinstance(job, DispatchError)
        self.assertEqual(job.kind, ErrorKind.SHUTTING_DOWN)

    def test_a_job_that_no_target_can_hold_is_refused_at_once(self) -> None:
        step = StepSpec(1, Resources(5000, 64), 100)
        job, _ = self.submit(JobSpec("4" * 16, "", (step,)))
        assert isinstance(job, DispatchError)
        self.assertEqual(job.kind, ErrorKind.NO_TARGET)

    def test_nothing_is_sent_to_an_evacuated_zone(self) -> None:
        self.evacuated = frozenset(["zone-a"])
        job, _ = self.submit()
        self.assertIsInstance(job, DispatchError)
        self.assertEqual(self.take_orders(), [])

    def test_a_job_is_counted_as_pending_until_its_first_order(self) -> None:
        self.accept(make_job(4))
        self.accept(make_job(1, "5" * 16))
        self.assertEqual(self.scheduler.count_pending("q"), 1)

    def test_a_failed_task_is_tried_on_another_target(self) -> None:
        other = FakeAgent("b", 2, self.clock)
        self.hear(other)
        self.accept(make_job(1))
        ((first, order),) = self.take_orders()
        failing = self.agent if first == self.agent.address else other
        self.hear(failing, (order.number, TaskStatus.FAILED))
        ((second, _),) = self.take_orders()
        self.assertNotEqual(first, second)

    def test_a_target_that_fails_its_tasks_gets_none_for_a_while(self) -> None:
        others = [
            FakeAgent(name, port, self.clock) for port, name in enumerate("bcd", 2)
        ]
        for agent in others:
            agent.ended = 20
            self.hear(agent)
        self.agent.ended, self.agent.failed = 20, 18
        self.hear(self.agent)
        self.accept(make_job(6))
        recipients = {recipient for recipient, _ in self.take_orders()}
        self.assertNotIn(self.agent.address, recipients)
