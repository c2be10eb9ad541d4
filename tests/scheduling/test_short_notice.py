"""Tests of an agent whose target ends at short notice, with a fake clock and no target.

They guard against runs that are lost with the target, that start elsewhere before
their end here is certain, or that are stopped without need.
"""

from __future__ import annotations

from dataclasses import replace

from jackdawkeel.events import EventName
from jackdawkeel.messages.scheduling import AgentReport
from jackdawkeel.messages.scheduling import TaskStatus
from jackdawkeel.policy.departure import MAX_SHORT_NOTICE_S
from jackdawkeel.scheduling.agent_reports import AgentReports
from jackdawkeel.scheduling.agent_views import AgentViews
from jackdawkeel.scheduling.target_runtime import EndedTask
from jackdawkeel.scheduling.target_runtime import EndKind
from jackdawkeel.scheduling.target_runtime import TargetFailure
from jackdawkeel.scheduling.task_executor import STOP_RESEND_INTERVAL_S
from jackdawkeel.scheduling.task_run import StopCause
from tests.fakes import Outbox
from tests.fakes import make_address
from tests.fakes import make_log
from tests.scheduling.test_agent_reports import SETTINGS
from tests.scheduling.test_task_executor import ENTRY
from tests.scheduling.test_task_executor import OTHER_ENTRY
from tests.scheduling.test_task_executor import ZONE
from tests.scheduling.test_task_executor import ExecutorTestCase
from tests.scheduling.test_task_executor import make_assignment
from tests.scheduling.test_task_executor import make_report


AGENT = make_address("c" * 16, 3)
NOTICE_S = 2.0
LONG_MS = 5000


class ShortNoticeTest(ExecutorTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.sequence = 1

    def give_notice(self, remaining_s: float | None = NOTICE_S) -> None:
        """Delivers a draining heartbeat and the tick that follows it."""
        self.sequence += 1
        report = make_report(self.sequence, draining=True)
        self.target.apply_report(replace(report, remaining_s=remaining_s))
        self.executor.tick()

    def start_long_run(self) -> None:
        self.assign(make_assignment(1, expected_ms=LONG_MS))
        self.confirm(*self.started)

    def test_only_runs_that_cannot_end_in_the_remaining_time_are_stopped(self) -> None:
        self.assign(make_assignment(1, expected_ms=LONG_MS), make_assignment(2))
        self.confirm(*self.started)
        self.give_notice()
        self.assertEqual(self.stopped, [self.started[0].run])
        self.assertEqual(self.executor.stop_counts, {StopCause.TARGET_LEAVING: 1})
        [line] = self.logged(EventName.TASK_MOVED)
        self.assertEqual((line["cause"], line["remaining_ms"]), ("target_leaving", 2e3))

    def test_a_run_that_was_lost_before_leaves_too(self) -> None:
        self.assign(make_assignment(1, expected_ms=LONG_MS, may_move=False))
        self.confirm(*self.started)
        self.give_notice()
        self.assertEqual(self.stopped, [self.started[0].run])

    def test_an_unknown_or_long_notice_changes_nothing(self) -> None:
        self.start_long_run()
        self.give_notice(None)
        remaining_s = MAX_SHORT_NOTICE_S + 1.0
        while remaining_s > 0:
            self.give_notice(remaining_s)
            self.clock.advance(0.25)
            self.executor.leases.renew(ENTRY, self.clock())
            remaining_s -= 0.25
        self.assertEqual(self.stopped, [])

    def test_a_planned_end_that_is_brought_forward_is_a_short_notice(self) -> None:
        self.start_long_run()
        self.give_notice(30.0)
        self.give_notice()
        self.assertEqual(self.stopped, [self.started[0].run])

    def test_a_run_is_lost_only_after_its_stop_is_confirmed(self) -> None:
        self.start_long_run()
        run = self.started[0].run
        self.give_notice()
        self.executor.handle_stop_outcome(run, TargetFailure.NO_ANSWER)
        self.clock.advance(STOP_RESEND_INTERVAL_S)
        self.executor.tick()
        self.deliver_listing(run)
        self.assertEqual((self.stopped, self.statuses()), ([run, run], []))
        self.executor.handle_stop_outcome(run, None)
        self.clock.advance(0.01)
        self.deliver_listing()
        self.assertEqual(self.statuses(), [(1, TaskStatus.LOST)])

    def test_a_run_that_ends_before_its_stop_arrives_is_done(self) -> None:
        self.start_long_run()
        run = self.started[0].run
        self.give_notice()
        self.deliver_listing(ended=(EndedTask(1, run, EndKind.DONE),))
        self.executor.handle_stop_outcome(run, None)
        self.deliver_listing()
        self.assertEqual(self.statuses(), [(1, TaskStatus.DONE)])

    def test_runs_go_on_and_start_after_a_notice_is_withdrawn(self) -> None:
        self.start_long_run()
        self.give_notice(30.0)
        self.target.apply_report(make_report(self.sequence + 1))
        self.clock.advance(0.1)
        self.executor.tick()
        self.assign(make_assignment(2))
        self.assertEqual((self.stopped, len(self.started)), ([], 2))

    def test_all_entries_learn_of_the_notice_at_once_and_assign_nothing(self) -> None:
        outbox = Outbox()
        reports = AgentReports(
            settings=SETTINGS,
            clock=self.clock,
            target=self.target,
            executor=self.executor,
            send=outbox.send,
            redial=outbox.redial,
            reported_entries=2,
        )
        entries = (ENTRY, OTHER_ENTRY)
        for entry in entries:
            reports.record_contact(entry)
        reports.tick()
        earlier = outbox.sent[0].message
        outbox.sent.clear()
        self.clock.advance(0.01)
        self.give_notice()
        reports.tick()
        self.assertEqual({item.recipient for item in outbox.sent}, set(entries))
        for item in outbox.sent:
            assert isinstance(item.message, AgentReport)
            assert isinstance(earlier, AgentReport)
            views = AgentViews(ZONE, self.clock, make_log(), outbox.redial)
            for report in (earlier, item.message, earlier):
                views.record_report(AGENT, report)
            self.assertEqual(list(views.usable_agents("svc", frozenset())), [])
