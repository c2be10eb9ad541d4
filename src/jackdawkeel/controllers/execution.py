"""Runs the tasks that any home dispatches to this agent, on its own target."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..events import EventName
from ..messages import TaskReport
from ..messages import TaskReports
from ..task_state import TaskState


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import CancelTasks
    from ..messages import DispatchTasks
    from ..messages import Message
    from ..messages import PeerAddress
    from ..messages import TaskDispatch
    from ..messages import TaskQuery
    from ..target.client import TargetResult


MAX_KEPT_RESULT_BYTES = 16 * 1024 * 1024
HOME_SILENCE_TIMEOUT_S = 600.0
MS_PER_S = 1000


@dataclass(slots=True, eq=False)
class TaskRecord:
    """The executing agent's record of one dispatch.

    Attributes:
        task: The dispatch as sent by the home.
        home: The home that sent the dispatch.
        expires_at: When the task may no longer start, in seconds of the clock.
        state: State of the task, None while it is queued.
        body: The target's answer if the state is done.
        reason: Why the task ended without a result, otherwise empty.
        run_ms: Run time at the target, in milliseconds.
    """

    task: TaskDispatch
    home: PeerAddress
    expires_at: float
    state: TaskState | None = None
    body: bytes = b""
    reason: str = ""
    run_ms: float = 0.0


@dataclass(slots=True, eq=False)
class HomeRecords:
    """The dispatches of one home.

    A dispatch is settled once the home has no further use for its report.

    Attributes:
        address: The home.
        last_seen_at: When a message of the home last arrived, in seconds of the clock.
        oldest_open: Dispatches with lower numbers are settled.
        has_dropped_records: Whether unsettled records were dropped.
        records: The records by dispatch number.
        open_tasks: Number of dispatches that are queued or running.
        unsent: Reports to send with the next message.
    """

    address: PeerAddress
    last_seen_at: float
    oldest_open: int = 0
    has_dropped_records: bool = False
    records: dict[int, TaskRecord] = field(default_factory=dict)
    open_tasks: int = 0
    unsent: list[TaskReport] = field(default_factory=list)


class ExecutionController:
    """Queues dispatches, starts them in free slots and reports to their homes.

    Attributes:
        homes: The dispatches of each home, by incarnation.
        queue: Tasks to start, in order of arrival.
        running: Number of running tasks.
        completed: Number of tasks with a result since the start of the process.
        failed: Number of tasks that started and ended without a result.
        kept_bytes: Total size of the results in the records.
    """

    def __init__(
        self,
        *,
        slots: int,
        queue_limit: int,
        clock: Clock,
        log: EventLog,
        send: Callable[[PeerAddress, Message], None],
        start: Callable[[TaskRecord], None],
        find_start_refusal: Callable[[], str],
    ) -> None:
        """Creates a controller with an empty queue.

        Args:
            slots: Number of tasks that the target runs at once.
            queue_limit: Longest queue when all slots are busy; more tasks are refused.
            clock: Clock in seconds.
            log: Event log.
            send: Sends a message to a process.
            start: Passes a task to the target client; must not block.
            find_start_refusal: Returns why no task may start now, or "" if it may.
        """
        self.slots = slots
        self.queue_limit = queue_limit
        self.clock = clock
        self.log = log
        self.send = send
        self.start = start
        self.find_start_refusal = find_start_refusal
        self.homes: dict[str, HomeRecords] = {}
        self.queue: deque[TaskRecord] = deque()
        self.running = 0
        self.completed = 0
        self.failed = 0
        self.kept_bytes = 0

    def handle_dispatch(self, home: PeerAddress, message: DispatchTasks) -> None:
        """Queues new dispatches; refuses those that do not fit or may not start."""
        records = self._record_contact(home, message.oldest_open)
        for task in message.tasks:
            if task.number < records.oldest_open or task.number in records.records:
                continue
            expires_at = self.clock() + task.deadline_ms / 1000
            record = TaskRecord(task, home, expires_at)
            records.records[task.number] = record
            records.open_tasks += 1
            if len(self.queue) >= self.queue_limit + self.slots - self.running:
                self._end_task(
                    record, TaskState.NOT_STARTED, reason="the queue is full"
                )
                continue
            self.queue.append(record)
        self.start_ready()
        self._send_reports(records)

    def handle_query(self, home: PeerAddress, message: TaskQuery) -> None:
        """Reports the state of the dispatches that a home queries."""
        records = self._record_contact(home, message.oldest_open)
        for number in message.numbers:
            records.unsent.append(self._build_report(records, number))
        self._send_reports(records)

    def handle_cancel(self, home: PeerAddress, message: CancelTasks) -> None:
        """Ends the dispatches that have not started; running tasks are not stopped."""
        records = self._record_contact(home, message.oldest_open)
        for number in message.numbers:
            record = records.records.get(number)
            if record is not None and record.state is None:
                self.queue.remove(record)
                self._end_task(record, TaskState.NOT_STARTED, reason="cancelled")
        self._send_reports(records)

    def handle_settled(self, home: PeerAddress, oldest_open: int) -> None:
        """Drops the records of dispatches below the oldest one that is not settled."""
        self._record_contact(home, oldest_open)

    def handle_result(self, record: TaskRecord, result: TargetResult) -> None:
        """Records the outcome of a started task, reports it and starts the next one."""
        self.running -= 1
        record.run_ms = result.elapsed_s * MS_PER_S
        self._end_task(record, result.state, body=result.body, reason=result.reason)
        self.start_ready()
        self._send_reports(self.homes[record.home.incarnation])

    def start_ready(self) -> None:
        """Starts queued tasks in free slots.

        If no task may start now, all queued tasks are returned to their homes.
        """
        refusal = self.find_start_refusal()
        if refusal:
            self._return_queue(refusal)
            return
        while self.queue and self.running < self.slots:
            record = self.queue.popleft()
            if self.clock() >= record.expires_at:
                reason = "the deadline passed before the task started"
                self._end_task(record, TaskState.NOT_STARTED, reason=reason)
                continue
            record.state = TaskState.RUNNING
            self.running += 1
            self.start(record)

    def count_open_tasks_for_others(self, incarnation: str) -> int:
        """Returns the number of queued and running tasks of all homes but this one."""
        return sum(
            records.open_tasks
            for name, records in self.homes.items()
            if name != incarnation
        )

    def has_unsettled(self) -> bool:
        """Returns whether any home has dispatches that started and are not settled."""
        return any(self.list_unsettled(home) for home in self.homes)

    def list_unsettled(self, home: str) -> list[int]:
        """Returns the dispatches of a home that started and are not settled."""
        records = self.homes[home].records
        return [
            number
            for number, record in records.items()
            if record.state not in (None, TaskState.NOT_STARTED)
        ]

    def tick(self) -> None:
        """Starts or returns queued tasks and drops ended records of silent homes.

        A home is silent after ``HOME_SILENCE_TIMEOUT_S`` without a message.
        """
        self.start_ready()
        now = self.clock()
        for records in self.homes.values():
            self._send_reports(records)
            if records.records and now - records.last_seen_at > HOME_SILENCE_TIMEOUT_S:
                self._drop_ended_records(records)

    def _return_queue(self, reason: str) -> None:
        queue, self.queue = self.queue, deque()
        for record in queue:
            self._end_task(record, TaskState.NOT_STARTED, reason=reason)
        for home in {record.home for record in queue}:
            self._send_reports(self.homes[home.incarnation])

    def _record_contact(self, home: PeerAddress, oldest_open: int) -> HomeRecords:
        records = self.homes.get(home.incarnation)
        if records is None:
            records = HomeRecords(home, self.clock())
            self.homes[home.incarnation] = records
        records.last_seen_at = self.clock()
        if oldest_open > records.oldest_open:
            records.oldest_open = oldest_open
            self._drop_settled(records)
        return records

    def _drop_settled(self, records: HomeRecords) -> None:
        settled = [
            number
            for number, record in records.records.items()
            if number < records.oldest_open and self._has_ended(record)
        ]
        for number in settled:
            self.kept_bytes -= len(records.records.pop(number).body)

    def _has_ended(self, record: TaskRecord) -> bool:
        return record.state not in (None, TaskState.RUNNING)

    def _drop_ended_records(self, records: HomeRecords) -> None:
        for number, record in list(records.records.items()):
            if self._has_ended(record):
                self.kept_bytes -= len(record.body)
                del records.records[number]
                records.has_dropped_records = True

    def _end_task(
        self, record: TaskRecord, state: TaskState, *, body: bytes = b"", reason: str
    ) -> None:
        record.state = state
        record.reason = reason
        if state is TaskState.DONE:
            self.completed += 1
        elif state is not TaskState.NOT_STARTED:
            self.failed += 1
        record.body = body
        self.kept_bytes += len(body)
        self.log.record(
            EventName.TASK_ENDED,
            job=record.task.job_id,
            index=record.task.index,
            state=state.value,
            reason=reason,
        )
        records = self.homes[record.home.incarnation]
        records.open_tasks -= 1
        records.unsent.append(self._build_report(records, record.task.number))
        if self.kept_bytes > MAX_KEPT_RESULT_BYTES:
            self._drop_bodies()

    def _drop_bodies(self) -> None:
        for records in self.homes.values():
            for record in records.records.values():
                if record.state is TaskState.DONE and record.body:
                    self.kept_bytes -= len(record.body)
                    record.body = b""
                    record.state = TaskState.UNKNOWN
                    record.reason = "the result was dropped to free memory"
                if self.kept_bytes <= MAX_KEPT_RESULT_BYTES // 2:
                    return

    def _build_report(self, records: HomeRecords, number: int) -> TaskReport:
        record = records.records.get(number)
        if record is None:
            if records.has_dropped_records or number < records.oldest_open:
                reason = "the record was dropped"
                return TaskReport(number, TaskState.UNKNOWN.value, reason=reason)
            reason = "the dispatch has not arrived"
            return TaskReport(number, TaskState.NOT_STARTED.value, reason=reason)
        state = record.state or TaskState.RUNNING
        return TaskReport(
            number, state.value, record.body, record.reason, record.run_ms
        )

    def _send_reports(self, records: HomeRecords) -> None:
        if not records.unsent:
            return
        reports, records.unsent = records.unsent, []
        self.send(records.address, TaskReports(reports, self.running, len(self.queue)))
