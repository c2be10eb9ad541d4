"""Dispatches the tasks of the jobs whose home is this agent, and ends the jobs."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ..answer import Answer
from ..answer import answer_done
from ..answer import answer_error
from ..errors import DispatchError
from ..errors import ErrorKind
from ..policy.admission_estimate import ServiceLoad
from ..policy.hedging import try_spend_hedge
from ..policy.reserve import reserved_slots
from ..policy.retry_budget import record_first_attempt
from ..policy.retry_budget import try_spend_second_attempt
from ..task_state import TaskState
from .busy_shares import BusyShares
from .failure_detector import FailureDetector
from .job import Job
from .open_dispatches import OpenDispatches
from .service_stats import ServiceStats
from .stragglers import find_stragglers


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import AgentLeaving
    from ..messages import Message
    from ..messages import PeerAddress
    from ..messages import SubmitJob
    from ..messages import TaskDispatch
    from ..messages import TaskReport
    from ..messages import TaskReports
    from .job import Dispatch
    from .peers import Peer
    from .peers import PeerController


REFUSED_BACKOFF_S = 0.1
MAX_CLOCK_GAP_S = 1.0
MAX_ATTEMPTS = 3
MS_PER_S = 1000


class DispatchController:
    """Dispatches the tasks of this home's jobs to agents and collects the results.

    Attributes:
        dispatches: The dispatches that have not ended.
        failure_detector: Queries executing agents that send no reports.
        services: Statistics by service.
        jobs: The jobs that have not ended, by id.
        ready: Jobs with tasks to dispatch, in round-robin order.
        last_tick_at: When ``tick`` last ran, in seconds of the clock.
        busy_shares: Measures the share of busy slots of each service.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        peers: PeerController,
        send: Callable[[PeerAddress, Message], None],
        redial: Callable[[str], object],
        finish: Callable[[str, Answer], None],
    ) -> None:
        """Creates a controller without jobs.

        Args:
            clock: Clock in seconds.
            log: Event log.
            peers: The agents that may run tasks, including this one.
            send: Sends a message to a process.
            redial: Replaces the connection to a link address.
            finish: Called with the id and the final answer of each job.
        """
        self.clock = clock
        self.peers = peers
        self.finish = finish
        self.dispatches = OpenDispatches(clock, log, send)
        self.failure_detector = FailureDetector(
            send=send, redial=redial, find_oldest_open=self.dispatches.find_oldest_open
        )
        self.services: dict[str, ServiceStats] = {}
        self.jobs: dict[str, Job] = {}
        self.ready: deque[Job] = deque()
        self.last_tick_at = clock()
        self.busy_shares = BusyShares(peers, self.last_tick_at)

    def start_job(self, message: SubmitJob) -> None:
        """Adds an admitted job and dispatches tasks to agents with capacity."""
        count = len(message.payloads)
        job = Job(
            job_id=message.job_id,
            service=message.service,
            payloads=message.payloads,
            idempotent=message.idempotent,
            expires_at=self.clock() + message.deadline_ms / 1000,
            results=[None] * count,
            waiting=deque(range(count)),
        )
        self.jobs[job.job_id] = job
        self.ready.append(job)
        self.dispatch_ready()

    def count_waiting_jobs(self) -> int:
        """Returns the number of jobs with tasks that are not yet dispatched."""
        return sum(bool(job.waiting) for job in self.jobs.values())

    def count_waiting(self) -> int:
        """Returns the number of tasks that are not yet dispatched."""
        return sum(len(job.waiting) for job in self.jobs.values())

    def measure_load(self, service: str, tasks: int) -> ServiceLoad:
        """Returns the load ahead of a new job with this number of tasks.

        Jobs are dispatched round robin, one task at a time, so a new job of N tasks
        waits for at most N tasks of each other job.
        """
        capacity = self.peers.measure_capacity(service, tasks)
        own_waiting = sum(
            min(len(job.waiting), tasks)
            for job in self.jobs.values()
            if job.service == service
        )
        return ServiceLoad(
            slots=capacity.slots,
            running=capacity.open_tasks,
            waiting=capacity.waiting_elsewhere + own_waiting,
            run_time=self.find_stats(service).run_time,
        )

    def cancel_job(self, job_id: str) -> None:
        """Ends a job; tasks that have not started are never started."""
        job = self.jobs.get(job_id)
        if job is not None:
            self._end_early(
                job,
                ErrorKind.CANCELLED,
                ErrorKind.CANCELLED_BEFORE_START,
                "the job was cancelled",
            )

    def handle_reports(self, sender: PeerAddress, message: TaskReports) -> None:
        """Applies the reports of an executing agent, then dispatches waiting tasks."""
        peer = self.peers.find(sender.incarnation)
        if peer is None:
            return
        self.peers.record_reports(peer, message)
        for report in message.reports:
            dispatch = self.dispatches.by_number.get(report.number)
            if dispatch is not None and dispatch.peer is peer:
                self._handle_report(dispatch, report)
        self.dispatch_ready()

    def handle_leaving(self, sender: PeerAddress, message: AgentLeaving) -> None:
        """Stops dispatching to a leaving agent.

        Once the agent has ended, tasks that never started there are dispatched again
        and the outcome of the others counts as unknown.
        """
        peer = self.peers.find(sender.incarnation)
        if peer is None:
            return
        peer.leaving = True
        if not message.ended:
            return
        for dispatch in list(peer.outstanding.values()):
            if dispatch.number not in message.unsettled:
                self.dispatches.close(dispatch)
                self._requeue(dispatch)
        self._abandon_dispatches(peer)

    def handle_agent_ended(self, incarnation: str) -> None:
        """Removes an agent whose process counts as ended.

        The outcome of its open tasks counts as unknown.
        """
        peer = self.peers.find(incarnation)
        if peer is None:
            return
        self.peers.remove(peer)
        self._abandon_dispatches(peer)

    def _abandon_dispatches(self, peer: Peer) -> None:
        for dispatch in list(peer.outstanding.values()):
            self.dispatches.close(dispatch)
            self._retry_or_fail(
                dispatch,
                ErrorKind.TASK_UNKNOWN,
                "the executing agent has ended or is silent",
            )
        self.dispatch_ready()

    def dispatch_ready(self) -> None:
        """Dispatches waiting tasks round robin over jobs while agents have capacity."""
        batches: dict[str, list[TaskDispatch]] = {}
        chosen: dict[str, Peer] = {}
        blocked: set[tuple[str, int]] = set()
        turns_without_dispatch = 0
        while self.ready and turns_without_dispatch < len(self.ready):
            job = self.ready[0]
            self.ready.rotate(-1)
            if not job.waiting:
                self.ready.pop()
                continue
            peer = None
            reserved = self._reserve_slots(job)
            if (job.service, reserved) not in blocked:
                avoided = job.avoided.get(job.waiting[0])
                peer = self.peers.choose(job.service, avoided, reserved=reserved)
            if peer is None:
                blocked.add((job.service, reserved))
                turns_without_dispatch += 1
                continue
            turns_without_dispatch = 0
            task = self.dispatches.open(job, job.waiting.popleft(), peer)
            record_first_attempt(self.find_stats(job.service).hedges)
            record_first_attempt(self.find_stats(job.service).retries)
            chosen[peer.incarnation] = peer
            batches.setdefault(peer.incarnation, []).append(task)
        for incarnation, tasks in batches.items():
            self.dispatches.send_batch(chosen[incarnation], tasks)

    def _reserve_slots(self, job: Job) -> int:
        busy_share = self.find_stats(job.service).busy_share
        return reserved_slots(len(job.payloads), busy_share, self.peers.own_slots)

    def tick(self) -> None:
        """Ends expired jobs, hedges stragglers and queries silent agents."""
        now = self.clock()
        gap = now - self.last_tick_at
        self.last_tick_at = now
        if gap > MAX_CLOCK_GAP_S:
            self._shift_timers(gap)
        self.busy_shares.update(self.services, now)
        for job in list(self.jobs.values()):
            if now >= job.expires_at:
                self._end_early(
                    job,
                    ErrorKind.DEADLINE_EXPIRED,
                    ErrorKind.DEADLINE_BEFORE_START,
                    "the deadline passed",
                )
            elif job.idempotent:
                self._hedge(job, now)
        for peer in self.peers.list_all():
            if self.failure_detector.check_peer(peer, now):
                self.handle_agent_ended(peer.incarnation)
        self.dispatch_ready()

    def _shift_timers(self, gap_s: float) -> None:
        self.dispatches.shift_timers(gap_s)
        for peer in self.peers.list_all():
            peer.query_unanswered_since = None

    def _hedge(self, job: Job, now: float) -> None:
        stats = self.find_stats(job.service)
        for dispatch in find_stragglers(job, stats.run_time, now):
            self._hedge_dispatch(dispatch, stats, now)

    def _hedge_dispatch(
        self, dispatch: Dispatch, stats: ServiceStats, now: float
    ) -> None:
        job = dispatch.job
        peer = self.peers.choose(
            job.service, dispatch.peer.incarnation, queue_allowance=0
        )
        if peer is None or peer is dispatch.peer:
            return
        elapsed_ms = (now - dispatch.sent_at) * MS_PER_S
        if try_spend_hedge(True, 1, elapsed_ms, stats.run_time, stats.hedges):
            task = self.dispatches.open(job, dispatch.index, peer)
            self.dispatches.send_batch(peer, [task])

    def find_stats(self, service: str) -> ServiceStats:
        """Returns the statistics of a service; creates them if there are none."""
        stats = self.services.get(service)
        if stats is None:
            stats = self.services[service] = ServiceStats()
        return stats

    def _handle_report(self, dispatch: Dispatch, report: TaskReport) -> None:
        dispatch.last_seen_at = self.clock()
        state = TaskState(report.state)
        if state is TaskState.RUNNING:
            return
        self.dispatches.close(dispatch)
        if state is TaskState.DONE:
            self.find_stats(dispatch.job.service).observe(report.run_ms)
            self._record_result(dispatch, report.body)
        elif state is TaskState.NOT_STARTED:
            self.peers.back_off(dispatch.peer, REFUSED_BACKOFF_S)
            self._requeue(dispatch)
        elif state is TaskState.FAILED:
            self._retry_or_fail(dispatch, ErrorKind.TASK_FAILED, report.reason)
        else:
            self._retry_or_fail(dispatch, ErrorKind.TASK_UNKNOWN, report.reason)

    def _record_result(self, dispatch: Dispatch, body: bytes) -> None:
        job = dispatch.job
        if job.job_id not in self.jobs or job.results[dispatch.index] is not None:
            return
        job.results[dispatch.index] = body
        job.done += 1
        if job.done == len(job.payloads):
            results = [result for result in job.results if result is not None]
            self._cancel_dispatches(job)
            self._finish(job, answer_done(job.job_id, results))

    def _requeue(self, dispatch: Dispatch) -> None:
        job = dispatch.job
        if job.job_id not in self.jobs or not self._needs_dispatch(dispatch):
            return
        job.waiting.appendleft(dispatch.index)
        if job not in self.ready:
            self.ready.append(job)

    def _needs_dispatch(self, dispatch: Dispatch) -> bool:
        job = dispatch.job
        has_result = job.results[dispatch.index] is not None
        return not has_result and not job.count_open_dispatches(dispatch.index)

    def _retry_or_fail(self, dispatch: Dispatch, kind: ErrorKind, reason: str) -> None:
        job = dispatch.job
        if job.job_id not in self.jobs:
            return
        job.attempts[dispatch.index] = job.attempts.get(dispatch.index, 0) + 1
        job.avoided[dispatch.index] = dispatch.peer.incarnation
        if not self._needs_dispatch(dispatch):
            return
        if self._may_retry(dispatch):
            self._requeue(dispatch)
            return
        if kind is ErrorKind.TASK_FAILED:
            job.failed += 1
        else:
            job.unknown += 1
        error = DispatchError(kind, f"task {dispatch.index}: {reason}")
        self._cancel_dispatches(job)
        answer = answer_error(job.job_id, error, job.count_tasks())
        self._finish(job, answer)

    def _may_retry(self, dispatch: Dispatch) -> bool:
        job = dispatch.job
        if not job.idempotent or job.attempts[dispatch.index] >= MAX_ATTEMPTS:
            return False
        return try_spend_second_attempt(self.find_stats(job.service).retries)

    def _end_early(
        self, job: Job, kind: ErrorKind, kind_before_start: ErrorKind, message: str
    ) -> None:
        chosen = kind if job.has_started() else kind_before_start
        self._cancel_dispatches(job)
        counts = job.count_tasks()
        error = DispatchError(chosen, message)
        self._finish(job, answer_error(job.job_id, error, counts))

    def _cancel_dispatches(self, job: Job) -> None:
        job.waiting.clear()
        self.dispatches.cancel(job)

    def _finish(self, job: Job, answer: Answer) -> None:
        del self.jobs[job.job_id]
        job.waiting.clear()
        job.payloads = []
        self.finish(job.job_id, answer)
