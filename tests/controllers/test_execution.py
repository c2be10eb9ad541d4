"""Tests of the execution controller, with a fake clock and a recorded outbox."""

from __future__ import annotations

import unittest

from jackdawkeel.controllers.execution import HOME_SILENCE_TIMEOUT_S
from jackdawkeel.controllers.execution import ExecutionController
from jackdawkeel.controllers.execution import TaskRecord
from jackdawkeel.messages import CancelTasks
from jackdawkeel.messages import DispatchTasks
from jackdawkeel.messages import TaskDispatch
from jackdawkeel.messages import TaskQuery
from jackdawkeel.messages import TaskReports
from jackdawkeel.target.client import TargetResult
from jackdawkeel.task_state import TaskState
from tests.fakes import FakeClock
from tests.fakes import Outbox
from tests.fakes import make_address
from tests.fakes import make_log


HOME = make_address("a" * 16)
SLOTS = 2


def make_dispatch(*numbers: int, oldest_open: int = 1) -> DispatchTasks:
    """Builds a message with one task for each dispatch number."""
    tasks = [
        TaskDispatch(number, "job", number, "service", b"{}", 1000)
        for number in numbers
    ]
    return DispatchTasks(oldest_open, tasks)


class ExecutionTest(unittest.TestCase):
    """A dispatch starts at most once and is reported as it ended.

    A task that may have started must never be reported as not started: its home would
    dispatch it again.
    """

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.outbox = Outbox()
        self.started: list[TaskRecord] = []
        self.refusal = ""
        self.execution = ExecutionController(
            slots=SLOTS,
            queue_limit=1,
            clock=self.clock,
            log=make_log(),
            send=self.outbox.send,
            start=self.started.append,
            find_start_refusal=lambda: self.refusal,
        )

    def collect_states(self) -> dict[int, str]:
        """Returns the states reported since the last call, by number."""
        reports = [
            report
            for message in self.outbox.pop_messages()
            if isinstance(message, TaskReports)
            for report in message.reports
        ]
        return {report.number: report.state for report in reports}

    def end(self, record: TaskRecord, state: TaskState = TaskState.DONE) -> None:
        """Ends a started task with a state."""
        self.execution.handle_result(record, TargetResult(state, b"1", "", 0.1))

    def test_tasks_beyond_slots_and_queue_are_refused(self) -> None:
        self.execution.handle_dispatch(HOME, make_dispatch(1, 2, 3, 4))
        self.assertEqual([record.task.number for record in self.started], [1, 2])
        self.assertEqual(self.collect_states(), {4: "not_started"})
        self.end(self.started[0])
        self.assertEqual([record.task.number for record in self.started], [1, 2, 3])
        self.assertEqual(self.collect_states(), {1: "done"})

    def test_count_for_other_homes_includes_queued_and_running_tasks(self) -> None:
        other = make_address("b" * 16)
        self.execution.handle_dispatch(HOME, make_dispatch(1))
        self.execution.handle_dispatch(other, make_dispatch(1, 2, 3))
        count = self.execution.count_open_tasks_for_others
        self.assertEqual(count(HOME.incarnation), 2)
        self.assertEqual(count(other.incarnation), 1)
        self.end(self.started[0])
        self.assertEqual(count(other.incarnation), 0)
        self.end(self.started[1])
        self.assertEqual(count(HOME.incarnation), 1)

    def test_duplicate_dispatch_is_ignored(self) -> None:
        self.execution.handle_dispatch(HOME, make_dispatch(1))
        self.execution.handle_dispatch(HOME, make_dispatch(1))
        self.end(self.started[0])
        self.execution.handle_dispatch(HOME, make_dispatch(1))
        self.execution.handle_dispatch(HOME, make_dispatch(2, oldest_open=2))
        self.execution.handle_dispatch(HOME, make_dispatch(1, oldest_open=2))
        self.assertEqual([record.task.number for record in self.started], [1, 2])

    def test_queue_is_returned_when_starting_is_refused(self) -> None:
        self.execution.handle_dispatch(HOME, make_dispatch(1, 2, 3))
        self.refusal = "the availability zone is out of service"
        self.execution.tick()
        self.assertEqual(self.collect_states(), {3: "not_started"})
        self.refusal = ""
        self.end(self.started[0])
        self.assertEqual(len(self.started), SLOTS)

    def test_deadline_is_checked_at_the_start(self) -> None:
        self.execution.handle_dispatch(HOME, make_dispatch(1, 2, 3))
        self.clock.advance(1.5)
        self.end(self.started[0])
        self.assertEqual(self.collect_states(), {1: "done", 3: "not_started"})

    def test_query_reports_states_and_settled_records_are_dropped(self) -> None:
        self.execution.handle_dispatch(HOME, make_dispatch(1, 2, 3))
        self.end(self.started[0])
        self.end(self.started[1], TaskState.UNKNOWN)
        self.collect_states()
        self.execution.handle_query(HOME, TaskQuery(1, [1, 2, 3, 9]))
        self.assertEqual(
            self.collect_states(),
            {1: "done", 2: "unknown", 3: "running", 9: "not_started"},
        )
        self.execution.handle_settled(HOME, 3)
        self.assertEqual(list(self.execution.homes[HOME.incarnation].records), [3])

    def test_dispatch_with_a_dropped_record_is_reported_unknown(self) -> None:
        self.execution.handle_dispatch(HOME, make_dispatch(1))
        self.end(self.started[0])
        self.clock.advance(HOME_SILENCE_TIMEOUT_S + 1)
        self.execution.tick()
        self.collect_states()
        self.execution.handle_query(HOME, TaskQuery(1, [1]))
        self.assertEqual(self.collect_states(), {1: "unknown"})

    def test_cancellation_ends_only_queued_tasks(self) -> None:
        self.execution.handle_dispatch(HOME, make_dispatch(1, 2, 3))
        self.execution.handle_cancel(HOME, CancelTasks(1, [1, 3, 8]))
        self.assertEqual(self.collect_states(), {3: "not_started"})
        self.end(self.started[0])
        self.assertEqual(len(self.started), SLOTS)
