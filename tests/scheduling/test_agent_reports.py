"""Tests of the reports that an agent sends to entries, with a fake clock."""

from __future__ import annotations

import unittest

from jackdawkeel.messages import PeerAddress
from jackdawkeel.messages.scheduling import AgentReport
from jackdawkeel.scheduling.agent_reports import ENTRY_EXPIRY_S
from jackdawkeel.scheduling.agent_reports import AgentReports
from jackdawkeel.scheduling.leases import LINK_SILENCE_TIMEOUT_S
from jackdawkeel.scheduling.leases import REPORT_INTERVAL_S
from jackdawkeel.scheduling.process_settings import ProcessSettings
from jackdawkeel.scheduling.process_settings import TimeBounds
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.target_state import TargetState
from jackdawkeel.scheduling.task_executor import TaskExecutor
from jackdawkeel.setting_values import Address
from tests.fakes import FakeClock
from tests.fakes import Outbox
from tests.fakes import make_address
from tests.fakes import make_log


ENTRY = make_address("a" * 16)
SEED = PeerAddress("", ENTRY.link)
SETTINGS = ProcessSettings(
    node="side-1",
    host="127.0.0.1",
    availability_zone="north",
    callers=None,
    readiness=None,
    heartbeats=None,
    link_port=7000,
    seeds=(),
    store=Address("127.0.0.1", 1),
    target=None,
    bounds=TimeBounds(),
)


class AgentReportsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.outbox = Outbox()
        target = TargetState("north", self.clock, make_log())
        target.is_prepared = True
        self.executor = TaskExecutor(
            target=target,
            clock=self.clock,
            log=make_log(),
            start=lambda _run, _until: None,
            stop=lambda _run: None,
            on_update=lambda _owner: None,
        )
        self.target = target
        self.reports = AgentReports(
            settings=SETTINGS,
            clock=self.clock,
            target=target,
            executor=self.executor,
            send=self.outbox.send,
            redial=self.outbox.redial,
        )

    def pop_recipients(self) -> list[PeerAddress]:
        """Returns the recipients of the reports sent so far and removes the reports."""
        sent = [item.recipient for item in self.outbox.sent]
        self.outbox.sent.clear()
        return sent

    def test_seeds_get_reports_until_an_entry_replies(self) -> None:
        self.reports.add_entries([SEED])
        self.reports.tick()
        self.assertEqual(self.pop_recipients(), [SEED])
        self.reports.record_contact(ENTRY)
        self.reports.tick()
        self.assertEqual(self.pop_recipients(), [ENTRY])

    def test_the_process_that_replaced_an_entry_gets_reports(self) -> None:
        self.reports.record_contact(ENTRY)
        self.reports.tick()
        self.pop_recipients()
        successor = PeerAddress("b" * 16, ENTRY.link)
        self.reports.record_contact(successor)
        self.reports.tick()
        self.assertEqual(self.pop_recipients(), [successor])

    def test_a_full_report_is_sent_at_each_interval(self) -> None:
        self.reports.record_contact(ENTRY)
        for _ in range(3):
            self.reports.tick()
            report = self.outbox.sent[-1].message
            assert isinstance(report, AgentReport)
            self.assertTrue(report.is_full)
            self.clock.advance(REPORT_INTERVAL_S)
            self.reports.record_contact(ENTRY)
        self.assertEqual(len(self.outbox.sent), 3)

    def count_changes(self, interval_s: float) -> int:
        """Counts the reports of changes in one second of changing free capacity."""
        self.reports.record_contact(ENTRY)
        self.reports.set_change_interval(ENTRY, interval_s)
        changes = 0
        for iteration in range(20):
            self.executor.claimed = Resources(iteration, 0)
            self.reports.record_contact(ENTRY)
            self.reports.tick()
            changes += sum(
                isinstance(item.message, AgentReport) and not item.message.is_full
                for item in self.outbox.sent
            )
            self.outbox.sent.clear()
            self.clock.advance(0.05)
        return changes

    def test_capacity_changes_are_reported_at_the_requested_interval(self) -> None:
        self.assertGreater(self.count_changes(0.0), 10)
        self.assertLess(self.count_changes(0.15), 6)

    def test_no_report_is_sent_before_the_target_is_prepared(self) -> None:
        """A report tells entries that the target runs nothing of an earlier process."""
        self.target.is_prepared = False
        self.reports.record_contact(ENTRY)
        self.reports.tick()
        self.assertEqual(self.pop_recipients(), [])

    def test_a_silent_entry_is_redialed_at_growing_intervals(self) -> None:
        self.reports.record_contact(ENTRY)
        redial_counts = []
        for _ in range(200):
            self.clock.advance(0.05)
            self.reports.tick()
            redial_counts.append(len(self.outbox.redialled))
        self.assertEqual(redial_counts[int(LINK_SILENCE_TIMEOUT_S / 0.05) - 1], 0)
        self.assertGreater(redial_counts[20], 0)
        self.assertLess(redial_counts[-1], 12)

    def test_an_entry_that_is_no_longer_announced_is_removed(self) -> None:
        self.reports.record_contact(ENTRY)
        self.clock.advance(ENTRY_EXPIRY_S + 0.1)
        self.reports.tick()
        self.assertEqual(self.reports.contacts, {})
