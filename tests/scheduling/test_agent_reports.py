"""Tests of what an agent reports to which entry, with a fake clock."""

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
        """Returns who was sent a report, and forgets the reports."""
        sent = [item.recipient for item in self.outbox.sent]
        self.outbox.sent.clear()
        return sent

    def test_reports_to_seeds_until_an_entry_answers(self) -> None:
        self.reports.add_entries([SEED])
        self.reports.tick()
        self.assertEqual(self.pop_recipients(), [SEED])
        self.reports.record_contact(ENTRY)
        self.reports.tick()
        self.assertEqual(self.pop_recipients(), [ENTRY])

    def test_reports_to_the_process_that_replaced_an_entry(self) -> None:
        self.reports.record_contact(ENTRY)
        self.reports.tick()
        self.pop_recipients()
        successor = PeerAddress("b" * 16, ENTRY.link)
        self.reports.record_contact(successor)
        self.reports.tick()
        self.assertEqual(self.pop_recipients(), [successor])

    def test_a_full_report_goes_out_at_each_interval(self) -> None:
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
        """Counts the reports of changed room in a second of ever other room."""
        self.reports.record_contact(ENTRY)
        self.reports.set_change_interval(ENTRY, interval_s)
        changes = 0
        for turn in range(20):
            self.executor.claimed = Resources(turn, 0)
            self.reports.record_contact(ENTRY)
            self.reports.tick()
            changes += sum(
                isinstance(item.message, AgentReport) and not item.message.is_full
                for item in self.outbox.sent
            )
            self.outbox.sent.clear()
            self.clock.advance(0.05)
        return changes

    def test_room_that_changes_all_the_time_is_reported_as_rarely_as_asked(
        self,
    ) -> None:
        self.assertGreater(self.count_changes(0.0), 10)
        self.assertLess(self.count_changes(0.15), 6)

    def test_says_nothing_before_its_target_runs_nothing_of_others(self) -> None:
        self.target.is_prepared = False
        self.reports.record_contact(ENTRY)
        self.reports.tick()
        self.assertEqual(self.pop_recipients(), [])

    def test_a_silent_entry_is_dialled_anew_ever_more_rarely(self) -> None:
        self.reports.record_contact(ENTRY)
        dialled = []
        for _ in range(200):
            self.clock.advance(0.05)
            self.reports.tick()
            dialled.append(len(self.outbox.redialed))
        self.assertEqual(dialled[int(LINK_SILENCE_TIMEOUT_S / 0.05) - 1], 0)
        self.assertGreater(dialled[20], 0)
        self.assertLess(dialled[-1], 12)

    def test_an_entry_that_nobody_names_is_forgotten(self) -> None:
        self.reports.record_contact(ENTRY)
        self.clock.advance(ENTRY_EXPIRY_S + 0.1)
        self.reports.tick()
        self.assertEqual(self.reports.contacts, {})
