"""Schedules the jobs of one entry, driven by calls, messages and a clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import DispatchError
from ..errors import ErrorKind
from ..events import EventName
from ..messages.scheduling import JobOrders
from ..messages.scheduling import StartTasks
from ..messages.scheduling import StopTasks
from ..messages.scheduling import TaskOrder
from ..messages.scheduling import TaskStatus
from ..policy.packing import can_ever_run
from ..policy.packing import place_tasks
from ..policy.waiting import JobTiming
from ..policy.waiting import can_end_before
from ..policy.waiting import choose_retry_delay_s
from ..policy.waiting import rank_job
from ..policy.waiting import would_end_too_late
from .job import Job
from .job import JobResult
from .job import OpenOrder
from .job import TaskPhase
from .job import longest_chain_s
from .job import make_tasks
from .run_times import RunTimes


if TYPE_CHECKING:
    import asyncio
    import random
    from collections.abc import Callable

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import Message
    from ..messages import PeerAddress
    from ..messages.scheduling import AgentReport
    from ..messages.scheduling import TaskUpdate
    from ..policy.packing import TargetCapacity
    from .agent_views import AgentView
    from .agent_views import AgentViews
    from .job import Task
    from .job import TaskNamer
    from .specification import JobSpec
    from .specification import Queue


# How long an order may wait at an agent whose room was taken by another entry.
ORDER_WAIT_MS = 40
# Age of an order after which an agent that does not list it has not received it.
ORDER_LOST_S = 0.35
# Silence about a stopped order after which the stop is sent again.
STOP_REPEAT_S = 0.3
# Ended jobs whose answer is kept for a repeated request.
MAX_ENDED_JOBS = 2000
# Runs of one task that may be ended for lack of progress.
MAX_MOVES = 2
MS_PER_S = 1000


class JobScheduler:
    """Keeps the jobs of an entry and decides which task goes where."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        views: AgentViews,
        send: Callable[[PeerAddress, Message], None],
        format_task_name: TaskNamer,
        evacuated_zones: Callable[[], frozenset[str]],
        schedule_soon: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """Creates the controller.

        Args:
            clock: Clock in seconds that counts suspensions.
            log: Event log.
            views: The agents.
            send: Sends a message.
            format_task_name: Names tasks as their targets are told.
            evacuated_zones: Returns the availability zones that are taken out.
            schedule_soon: Has ``schedule`` called once, soon.
            rng: Spreads the return of refused callers.
        """
        self.clock = clock
        self.log = log
        self.views = views
        self.send = send
        self.format_task_name = format_task_name
        self.evacuated_zones = evacuated_zones
        self.schedule_soon = schedule_soon
        self.rng = rng
        self.jobs: dict[str, Job] = {}
        self.ended_jobs: dict[str, Job] = {}
        self.waiting: list[Job] = []
        self.orders: dict[int, OpenOrder] = {}
        self.next_number = 1
        self.next_stop_at: dict[int, float] = {}
        self.run_times = RunTimes()
        self.end_at: float | None = None

    # Calls of callers.

    def find_job(self, job_id: str) -> Job | None:
        """Returns a job that runs or has recently ended."""
        return self.jobs.get(job_id) or self.ended_jobs.get(job_id)

    def submit(
        self,
        spec: JobSpec,
        queue: Queue,
        deadline_s: float,
        waiter: asyncio.Future[None],
    ) -> Job | DispatchError:
        """Takes a job, or joins a request to the one that has its id.

        Args:
            spec: The job.
            queue: Its queue.
            deadline_s: How long the caller waits for the answer, in seconds.
            waiter: Is done when the job has ended.

        Returns:
            The job, or why it is refused; a refused job never runs.
        """
        known = self.find_job(spec.job_id)
        if known is not None and known.spec == spec and known.error is None:
            if known.has_ended:
                waiter.set_result(None)
            else:
                known.waiters.append(waiter)
            return known
        job = self._make_job(spec, queue, deadline_s)
        refusal = self._find_refusal(job)
        if refusal is not None:
            return refusal
        job.waiters.append(waiter)
        self.jobs[spec.job_id] = job
        self.waiting.append(job)
        self.schedule_soon()
        return job

    def _make_job(self, spec: JobSpec, queue: Queue, deadline_s: float) -> Job:
        now = self.clock()
        declared_s = longest_chain_s(spec)
        expected_s = self.run_times.expect_ms(queue.name, declared_s)
        timing = JobTiming(
            priority=queue.priority,
            arrived_at=now,
            expected_s=expected_s,
            objective_s=queue.stretch_factor * expected_s
            + queue.objective_ms / MS_PER_S,
            deadline_at=now + deadline_s,
        )
        job = Job(spec, queue, timing, make_tasks(spec, self.format_task_name))
        job.unblock_steps()
        return job

    def _find_refusal(self, job: Job) -> DispatchError | None:
        service = job.queue.service
        targets = self.views.target_capacities(service, self.evacuated_zones())
        if not targets:
            return self._refuse(
                job, ErrorKind.NO_TARGET, f"service {service} has no target in service"
            )
        if not all(can_ever_run(step, targets) for step in job.spec.steps):
            text = "no target in service is large enough for its tasks"
            return self._refuse(job, ErrorKind.NO_TARGET, text)
        now = self.clock()
        wait_s = self.expect_wait_s(job, targets)
        if self.end_at is not None and not can_end_before(
            job.timing, now, wait_s, self.end_at
        ):
            text = "this entry shuts down before the job could end"
            return self._refuse(job, ErrorKind.SHUTTING_DOWN, text)
        if not would_end_too_late(job.timing, now, wait_s):
            return None
        retry_s = choose_retry_delay_s(wait_s, self.rng)
        text = f"the job would wait about {wait_s:.1f} s and end too late"
        return self._refuse(job, ErrorKind.OVERLOADED, text, retry_s)

    def _refuse(
        self, job: Job, kind: ErrorKind, text: str, retry_s: float | None = None
    ) -> DispatchError:
        self.log.record(
            EventName.JOB_REFUSED,
            job=job.spec.job_id,
            queue=job.queue.name,
            kind=kind.value,
            reason=text,
            waiting_jobs=len(self.waiting),
            open_orders=len(self.orders),
        )
        retry_ms = None if retry_s is None else round(retry_s * MS_PER_S)
        return DispatchError(kind, text, retry_ms)

    def expect_wait_s(self, job: Job, targets: list[TargetCapacity]) -> float:
        """Returns how long a new job would wait for its first tasks, in seconds."""
        now = self.clock()
        rank = _rank(job, now)
        ahead_s = sum(
            self._waiting_work_s(other)
            for other in self.waiting
            if _rank(other, now) < rank
        )
        if not ahead_s:
            return 0.0
        in_use = sum(order.demand.cpu_millis for order in self.orders.values())
        least = sum(target.capacity.cpu_millis for target in targets) / max(
            1, len(targets)
        )
        return ahead_s / (max(in_use, least) / 1000)

    def _waiting_work_s(self, job: Job) -> float:
        return self.run_times.expect_ms(job.queue.name, job.waiting_work_s())

    def leave(self, job: Job, waiter: asyncio.Future[None]) -> None:
        """Takes it that a caller hung up; the job ends with its last caller."""
        if waiter in job.waiters:
            job.waiters.remove(waiter)
        if not job.waiters and not job.has_ended:
            self._end(job, error=DispatchError(ErrorKind.CANCELLED, "the caller left"))

    def cancel(self, job_id: str) -> Job | None:
        """Cancels a job; returns it, or None if it is not known."""
        job = self.find_job(job_id)
        if job is not None and not job.has_ended:
            self._end(job, result=JobResult.CANCELLED)
        return job

    def count_pending(self, queue_name: str) -> int:
        """Returns the jobs of a queue of which no task has begun."""
        return sum(
            job.queue.name == queue_name and not job.has_begun
            for job in self.jobs.values()
        )

    def abandon_all(self) -> None:
        """Ends all jobs, because the process must end now."""
        text = "the entry shut down before the job had ended"
        for job in list(self.jobs.values()):
            kind = (
                ErrorKind.EXECUTION_LOST if job.has_begun else ErrorKind.SHUTTING_DOWN
            )
            self._end(job, error=DispatchError(kind, text))

    # Scheduling.

    def schedule(self) -> None:
        """Gives out orders while jobs wait and there is room."""
        if not self.waiting:
            return
        now = self.clock()
        self.waiting = [
            job for job in self.waiting if not job.has_ended and job.has_ready_tasks()
        ]
        self.waiting.sort(key=lambda job: _rank(job, now))
        evacuated = self.evacuated_zones()
        targets_by_service: dict[str, list[TargetCapacity]] = {}
        for job in self.waiting:
            service = job.queue.service
            targets = targets_by_service.get(service)
            if targets is None:
                targets = self.views.target_capacities(service, evacuated)
                targets_by_service[service] = targets
            self._order_tasks(job, targets)

    def _order_tasks(self, job: Job, targets: list[TargetCapacity]) -> None:
        if self._is_blocked(job):
            return
        for index in range(len(job.spec.steps)):
            groups: dict[frozenset[str], list[Task]] = {}
            for task in job.ready_tasks(index):
                groups.setdefault(task.avoided, []).append(task)
            for avoided, tasks in groups.items():
                self._order_group(job, index, tasks, avoided, targets)

    def _order_group(
        self,
        job: Job,
        index: int,
        ready: list[Task],
        avoided: frozenset[str],
        targets: list[TargetCapacity],
    ) -> None:
        self._count_placed(job, index, targets)
        for target in targets:
            target.is_avoided = target.name in avoided
        placement = place_tasks(job.spec.steps[index], len(ready), targets)
        by_agent: dict[str, list[Task]] = {}
        for task, name in zip(ready, placement.names, strict=False):
            by_agent.setdefault(name, []).append(task)
        for name, tasks in by_agent.items():
            self._send_orders(job, index, name, tasks)

    def _count_placed(
        self, job: Job, index: int, targets: list[TargetCapacity]
    ) -> None:
        placed: dict[str, int] = {}
        for order in job.open_orders.values():
            if order.task.step == index:
                placed[order.agent] = placed.get(order.agent, 0) + 1
        for target in targets:
            target.placed = placed.get(target.name, 0)

    def _is_blocked(self, job: Job) -> bool:
        """Returns whether orders of an ended job with the same id may still run."""
        former = self.ended_jobs.get(job.spec.job_id)
        return former is not None and bool(former.open_orders)

    def _send_orders(self, job: Job, step: int, agent: str, tasks: list[Task]) -> None:
        view = self.views.views[agent]
        spec = job.spec.steps[step]
        now = self.clock()
        orders = []
        for task in tasks:
            task.phase = TaskPhase.ORDERED
            task.attempts += 1
            order = OpenOrder(self.next_number, job, task, agent, spec.demand, now)
            self.next_number += 1
            self.orders[order.number] = order
            job.open_orders[order.number] = order
            view.unseen[order.number] = spec.demand
            orders.append(order)
        job.has_begun = True
        self._send_start(view, orders)
        self.log.record(
            EventName.TASK_DISPATCHED,
            job=job.spec.job_id,
            agent=agent,
            node=view.report.target.node,
            orders=[order.number for order in orders],
            attempts=max(task.attempts for task in tasks),
            view_age_ms=round(MS_PER_S * (now - view.heard_at), 1),
            free_cpu_millis=view.free_capacity().cpu_millis,
            waited_ms=round(MS_PER_S * (now - job.timing.arrived_at), 1),
        )

    def _send_start(self, view: AgentView, orders: list[OpenOrder]) -> None:
        job = orders[0].job
        step = job.spec.steps[orders[0].task.step]
        expected_ms = round(self.run_times.expect_ms(job.queue.name, step.estimate_ms))
        message = JobOrders(
            job_id=job.spec.job_id,
            queue=job.queue.name,
            priority=job.queue.priority,
            payload=job.spec.payload,
            orders=[
                TaskOrder(
                    number=order.number,
                    task=order.task.name,
                    attempt=order.task.attempts,
                    demand=order.demand,
                    start_within_ms=ORDER_WAIT_MS,
                    expected_ms=expected_ms,
                    may_move=order.task.moves < MAX_MOVES,
                )
                for order in orders
            ],
        )
        self.send(view.address, StartTasks(view.report.sent_at, [message]))

    # Reports of agents.

    def handle_report(self, sender: PeerAddress, report: AgentReport) -> AgentView:
        """Takes an agent's report with its updates."""
        view, replaced = self.views.take_report(sender, report)
        if replaced is not None:
            self.lose_agent(replaced)
        for update in report.updates:
            if update.sequence > view.updates_through:
                view.updates_through = update.sequence
                self._take_update(update, sender.incarnation)
        if report.is_full:
            self._compare_orders(view, report)
        if self.waiting:
            self.schedule_soon()
        return view

    def _take_update(self, update: TaskUpdate, agent: str) -> None:
        order = self.orders.get(update.number)
        if order is None or order.agent != agent:
            return
        if update.status == TaskStatus.STARTED:
            return
        self._close_order(order)
        job = order.job
        if job.has_ended:
            self._unblock_successor(job)
            return
        status = TaskStatus(update.status)
        if status in (TaskStatus.FAILED, TaskStatus.LOST):
            order.task.avoided |= {agent}
        order.task.moves += status is TaskStatus.LOST
        self._apply_end(job, order.task, status, update.run_ms)

    def _apply_end(
        self, job: Job, task: Task, status: TaskStatus, run_ms: float
    ) -> None:
        if status is TaskStatus.DONE:
            estimate_ms = job.spec.steps[task.step].estimate_ms
            self.run_times.record(job.queue.name, run_ms, estimate_ms)
            task.phase = TaskPhase.DONE
            job.unblock_steps()
            if all(job.is_step_done(index) for index in range(len(job.tasks))):
                self._end(job, result=JobResult.COMPLETED)
                return
        elif status is TaskStatus.REJECTED:
            self._end(job, result=JobResult.FAILED)
            return
        else:
            if status is TaskStatus.FAILED:
                task.failures += 1
            if task.failures >= job.queue.max_attempts:
                self._end(job, result=JobResult.FAILED)
                return
            task.phase = TaskPhase.READY
        self._wait_again(job)

    def _wait_again(self, job: Job) -> None:
        if job.has_ready_tasks():
            if job not in self.waiting:
                self.waiting.append(job)
            self.schedule_soon()

    def _close_order(self, order: OpenOrder) -> None:
        self.orders.pop(order.number, None)
        order.job.open_orders.pop(order.number, None)
        self.next_stop_at.pop(order.number, None)
        view = self.views.views.get(order.agent)
        if view is not None:
            view.unseen.pop(order.number, None)

    def _unblock_successor(self, job: Job) -> None:
        if not job.open_orders and job.spec.job_id in self.jobs:
            self.schedule_soon()

    def _compare_orders(self, view: AgentView, report: AgentReport) -> None:
        listed = set(report.open_orders)
        oldest = self.clock() - ORDER_LOST_S
        lost = [
            order
            for order in self.orders.values()
            if order.agent == view.address.incarnation
            and order.number not in listed
            and order.sent_at < oldest
        ]
        for order in lost:
            if order.is_unwanted:
                continue
            # The agent ignores an order that it has had.
            order.sent_at = self.clock()
            self._send_start(view, [order])

    def lose_agent(self, incarnation: str) -> None:
        """Takes it that an agent and all that it ran for this entry has ended."""
        lost = [order for order in self.orders.values() if order.agent == incarnation]
        self.log.record(EventName.AGENT_SILENT, agent=incarnation, lost=len(lost))
        for order in lost:
            self._close_order(order)
            if order.job.has_ended:
                self._unblock_successor(order.job)
            else:
                self._apply_end(order.job, order.task, TaskStatus.LOST, 0.0)

    # Ends.

    def _end(
        self,
        job: Job,
        result: JobResult | None = None,
        error: DispatchError | None = None,
    ) -> None:
        job.result = result
        job.error = error
        self.jobs.pop(job.spec.job_id, None)
        self.ended_jobs[job.spec.job_id] = job
        self._drop_old_jobs()
        self._stop_orders(list(job.open_orders.values()))
        for waiter in job.waiters:
            if not waiter.done():
                waiter.set_result(None)
        took_s = self.clock() - job.timing.arrived_at
        self.log.record(
            EventName.JOB_ENDED,
            job=job.spec.job_id,
            queue=job.queue.name,
            result=None if result is None else result.value,
            error=None if error is None else error.kind.value,
            took_ms=round(MS_PER_S * took_s, 1),
            objective_ms=round(MS_PER_S * job.timing.objective_s, 1),
            orders=sum(task.attempts for tasks in job.tasks for task in tasks),
        )

    def _drop_old_jobs(self) -> None:
        while len(self.ended_jobs) > MAX_ENDED_JOBS:
            oldest = next(iter(self.ended_jobs))
            if self.ended_jobs[oldest].open_orders:
                return
            del self.ended_jobs[oldest]

    def _stop_orders(self, orders: list[OpenOrder]) -> None:
        now = self.clock()
        by_agent: dict[str, list[int]] = {}
        for order in orders:
            order.is_unwanted = True
            self.next_stop_at[order.number] = now + STOP_REPEAT_S
            by_agent.setdefault(order.agent, []).append(order.number)
        for agent, numbers in by_agent.items():
            view = self.views.views.get(agent)
            if view is not None:
                self.send(view.address, StopTasks(numbers))

    def tick(self) -> None:
        """Ends jobs past their deadline, and repeats stops without effect."""
        now = self.clock()
        for view in self.views.find_gone():
            self.lose_agent(view.address.incarnation)
        for job in list(self.jobs.values()):
            if now >= job.timing.deadline_at:
                self._end_at_deadline(job)
        self._refuse_hopeless(now)
        due = [
            self.orders[number]
            for number, at in self.next_stop_at.items()
            if now >= at and number in self.orders
        ]
        self._stop_orders(due)
        self.schedule()

    def _refuse_hopeless(self, now: float) -> None:
        for job in list(self.waiting):
            if job.has_begun or job.has_ended:
                continue
            if would_end_too_late(job.timing, now, 0.0):
                retry_ms = round(MS_PER_S * choose_retry_delay_s(0.0, self.rng))
                text = "no target had room in time"
                error = DispatchError(ErrorKind.OVERLOADED, text, retry_ms)
                self._end(job, error=error)

    def _end_at_deadline(self, job: Job) -> None:
        if job.has_begun:
            kind = ErrorKind.DEADLINE_EXPIRED
            text = "the deadline passed before all tasks had ended"
        else:
            kind = ErrorKind.DEADLINE_BEFORE_START
            text = "the deadline passed before any task was started"
        self._end(job, error=DispatchError(kind, text))


def _rank(job: Job, now: float) -> tuple[bool, int, float]:
    return rank_job(job.timing, now, has_begun=job.has_begun)
