"""The jobs at home at one agent: which task goes where, and when a job has ended."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..answer import Answer
from ..answer import TaskCounts
from ..answer import answer_done
from ..answer import answer_error
from ..errors import DispatchError
from ..errors import ErrorKind
from ..events import EventName
from ..messages import CancelTasks
from ..messages import DispatchTasks
from ..messages import SettleTasks
from ..messages import TaskDispatch
from ..messages import TaskQuery
from ..task_state import TaskState


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import Message
    from ..messages import PeerAddress
    from ..messages import SubmitJob
    from ..messages import TaskReport
    from ..messages import TaskReports
    from .peers import Peer
    from .peers import PeerController


QUERY_AFTER_S = 1.0
REDIAL_AFTER_S = 0.8
GONE_AFTER_S = 6.0
REFUSED_BACKOFF_S = 0.1
MAX_CLOCK_GAP_S = 1.0
MAX_ATTEMPTS = 3


@dataclass(slots=True, eq=False)
class Job:
    """A job at home here.

    Attributes:
        job_id: Its id.
        service: The service of its tasks.
        payloads: JSON payload of each task.
        idempotent: Whether a started task may be started again.
        expires_at: Its deadline, in seconds of the clock.
        results: Each task's result, None where there is none yet.
        waiting: Tasks that are to be dispatched, next first.
        attempts: How often each task ended badly.
        outstanding: Number of dispatches that have no result.
        done: Number of results.
        ever_running: Whether some task may have started.
    """

    job_id: str
    service: str
    payloads: list[bytes]
    idempotent: bool
    expires_at: float
    results: list[bytes | None]
    waiting: deque[int]
    attempts: dict[int, int] = field(default_factory=dict)
    outstanding: set[int] = field(default_factory=set)
    done: int = 0
    failed: int = 0
    unknown: int = 0

    def count_tasks(self) -> TaskCounts:
        """Returns the counts for an answer; what is still out counts as unknown."""
        unknown = self.unknown + len(self.outstanding)
        not_started = len(self.payloads) - self.done - self.failed - unknown
        return TaskCounts(self.done, self.failed, unknown, not_started)


@dataclass(slots=True, eq=False)
class Dispatch:
    """One task that is out at an agent.

    Attributes:
        number: Its dispatch number.
        job: The job.
        index: The task's place in the job.
        peer: The executing agent.
        heard_at: When it was sent or last reported, in seconds of the clock.
    """

    number: int
    job: Job
    index: int
    peer: Peer
    heard_at: float


class DispatchController:
    """Starts the tasks of the jobs at home and collects their results."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        peers: PeerController,
        send: Callable[[PeerAddress, Message], None],
        redial: Callable[[str], None],
        finish: Callable[[str, Answer], None],
    ) -> None:
        """Describes the controller.

        Args:
            clock: Clock in seconds.
            log: Event log.
            peers: The agents that may run tasks, this one included.
            send: Sends a message to a process.
            redial: Replaces the connection to a link address.
            finish: Takes the final answer of a job.
        """
        self.clock = clock
        self.log = log
        self.peers = peers
        self.send = send
        self.redial = redial
        self.finish = finish
        self.jobs: dict[str, Job] = {}
        self.ready: deque[Job] = deque()
        self.dispatches: dict[int, Dispatch] = {}
        self.next_number = 1
        self.ticked_at = clock()

    def start_job(self, message: SubmitJob) -> None:
        """Takes an admitted job and dispatches what finds a place."""
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

    def count_waiting(self) -> int:
        """Returns the number of tasks that are not yet dispatched."""
        return sum(len(job.waiting) for job in self.jobs.values())

    def cancel_job(self, job_id: str) -> None:
        """Ends a job; what has not started never will."""
        job = self.jobs.get(job_id)
        if job is not None:
            self._end_early(
                job,
                ErrorKind.CANCELLED,
                ErrorKind.CANCELLED_BEFORE_START,
                "the job was cancelled",
            )

    def handle_reports(self, sender: PeerAddress, message: TaskReports) -> None:
        """Takes what an executing agent reports, and fills its free slots."""
        peer = self.peers.find(sender.incarnation)
        if peer is None:
            return
        self.peers.record_reports(peer, message)
        for report in message.reports:
            dispatch = self.dispatches.get(report.number)
            if dispatch is not None and dispatch.peer is peer:
                self._handle_report(dispatch, report)
        self.dispatch_ready()

    def handle_gone(self, incarnation: str) -> None:
        """Takes it that an agent's process has ended: its tasks are unknown."""
        peer = self.peers.find(incarnation)
        if peer is None:
            return
        self.peers.remove(peer)
        for dispatch in list(peer.outstanding.values()):
            self._close(dispatch)
            self._retry_or_fail(
                dispatch, ErrorKind.TASK_UNKNOWN, "the executing agent is gone"
            )
        self.dispatch_ready()

    def dispatch_ready(self) -> None:
        """Sends waiting tasks, one job after the other, while there are places."""
        batches: dict[str, list[TaskDispatch]] = {}
        blocked: set[str] = set()
        idle_turns = 0
        while self.ready and idle_turns < len(self.ready):
            job = self.ready[0]
            self.ready.rotate(-1)
            if not job.waiting:
                self.ready.pop()
                continue
            peer = None
            if job.service not in blocked:
                peer = self.peers.choose(job.service)
            if peer is None:
                blocked.add(job.service)
                idle_turns += 1
                continue
            idle_turns = 0
            task = self._open(job, job.waiting.popleft(), peer)
            batches.setdefault(peer.incarnation, []).append(task)
        for incarnation, tasks in batches.items():
            self._send_batch(incarnation, tasks)

    def tick(self) -> None:
        """Ends jobs whose deadline has passed and asks silent agents."""
        now = self.clock()
        gap = now - self.ticked_at
        self.ticked_at = now
        if gap > MAX_CLOCK_GAP_S:
            self._shift_timers(gap)
        for job in list(self.jobs.values()):
            if now >= job.expires_at:
                self._end_early(
                    job,
                    ErrorKind.DEADLINE_EXPIRED,
                    ErrorKind.DEADLINE_BEFORE_START,
                    "the deadline passed",
                )
        for peer in self.peers.list_all():
            self._tend_peer(peer, now)
        self.dispatch_ready()

    def _shift_timers(self, gap: float) -> None:
        for dispatch in self.dispatches.values():
            dispatch.heard_at += gap
        for peer in self.peers.list_all():
            peer.asked_at = None

    def _tend_peer(self, peer: Peer, now: float) -> None:
        if peer.asked_at is not None and peer.heard_at >= peer.asked_at:
            peer.asked_at = None
        if peer.asked_at is not None and now - peer.asked_at > GONE_AFTER_S:
            self.handle_gone(peer.incarnation)
            return
        silent = [
            dispatch.number
            for dispatch in peer.outstanding.values()
            if now - dispatch.heard_at >= QUERY_AFTER_S
        ]
        if silent and now - peer.queried_at >= REDIAL_AFTER_S:
            self._query(peer, silent, now)
        elif peer.unsettled and now - peer.sent_at >= QUERY_AFTER_S:
            self._settle(peer, now)

    def _query(self, peer: Peer, numbers: list[int], now: float) -> None:
        if peer.asked_at is not None:
            self.redial(peer.status.address.link)
        else:
            peer.asked_at = now
        peer.queried_at = now
        self._note_sent(peer, now)
        self.send(peer.status.address, TaskQuery(self._find_oldest_open(peer), numbers))

    def _settle(self, peer: Peer, now: float) -> None:
        self._note_sent(peer, now)
        self.send(peer.status.address, SettleTasks(self._find_oldest_open(peer)))

    def _note_sent(self, peer: Peer, now: float) -> None:
        peer.sent_at = now
        peer.unsettled = False

    def _find_oldest_open(self, peer: Peer) -> int:
        return next(iter(peer.outstanding), self.next_number)

    def _open(self, job: Job, index: int, peer: Peer) -> TaskDispatch:
        number = self.next_number
        self.next_number += 1
        now = self.clock()
        dispatch = Dispatch(number, job, index, peer, now)
        self.dispatches[number] = dispatch
        peer.outstanding[number] = dispatch
        job.outstanding.add(number)
        return TaskDispatch(
            number=number,
            job_id=job.job_id,
            index=index,
            service=job.service,
            payload=job.payloads[index],
            deadline_ms=max(1, int((job.expires_at - now) * 1000)),
        )

    def _send_batch(self, incarnation: str, tasks: list[TaskDispatch]) -> None:
        peer = self.peers.find(incarnation)
        if peer is None:
            return
        self.log.record(
            EventName.TASK_DISPATCHED,
            peer=incarnation,
            job=tasks[0].job_id,
            count=len(tasks),
        )
        self._note_sent(peer, self.clock())
        self.send(
            peer.status.address, DispatchTasks(self._find_oldest_open(peer), tasks)
        )

    def _close(self, dispatch: Dispatch) -> None:
        del self.dispatches[dispatch.number]
        del dispatch.peer.outstanding[dispatch.number]
        dispatch.job.outstanding.discard(dispatch.number)
        dispatch.peer.unsettled = True

    def _handle_report(self, dispatch: Dispatch, report: TaskReport) -> None:
        dispatch.heard_at = self.clock()
        state = TaskState(report.state)
        if state is TaskState.RUNNING:
            return
        self._close(dispatch)
        if state is TaskState.DONE:
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
            self._finish(job, answer_done(job.job_id, results))

    def _requeue(self, dispatch: Dispatch) -> None:
        job = dispatch.job
        if job.job_id not in self.jobs:
            return
        job.waiting.appendleft(dispatch.index)
        if job not in self.ready:
            self.ready.append(job)

    def _retry_or_fail(self, dispatch: Dispatch, kind: ErrorKind, reason: str) -> None:
        job = dispatch.job
        if job.job_id not in self.jobs:
            return
        attempts = job.attempts.get(dispatch.index, 0) + 1
        job.attempts[dispatch.index] = attempts
        if job.idempotent and attempts < MAX_ATTEMPTS:
            self._requeue(dispatch)
            return
        if kind is ErrorKind.TASK_FAILED:
            job.failed += 1
        else:
            job.unknown += 1
        error = DispatchError(kind, f"task {dispatch.index}: {reason}")
        self._withdraw(job)
        answer = answer_error(job.job_id, error, job.count_tasks())
        self._finish(job, answer)

    def _end_early(
        self, job: Job, kind: ErrorKind, kind_before_start: ErrorKind, message: str
    ) -> None:
        has_started = bool(job.done or job.outstanding or job.attempts)
        chosen = kind if has_started else kind_before_start
        self._withdraw(job)
        counts = job.count_tasks()
        error = DispatchError(chosen, message)
        self._finish(job, answer_error(job.job_id, error, counts))

    def _withdraw(self, job: Job) -> None:
        job.waiting.clear()
        numbers_by_peer: dict[str, list[int]] = {}
        for number in job.outstanding:
            peer = self.dispatches[number].peer
            numbers_by_peer.setdefault(peer.incarnation, []).append(number)
        for incarnation, numbers in numbers_by_peer.items():
            peer_or_none = self.peers.find(incarnation)
            if peer_or_none is not None:
                oldest_open = self._find_oldest_open(peer_or_none)
                message = CancelTasks(oldest_open, numbers)
                self.send(peer_or_none.status.address, message)

    def _finish(self, job: Job, answer: Answer) -> None:
        del self.jobs[job.job_id]
        job.waiting.clear()
        job.payloads = []
        self.finish(job.job_id, answer)
