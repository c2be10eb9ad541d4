"""Runs of the scheduler: one a turn, and with pauses while jobs wait for room."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

from jackdawkeel.scheduling.schedule_trigger import CONTENTION_PAUSE_S
from jackdawkeel.scheduling.schedule_trigger import ScheduleTrigger
from tests.fakes import FakeClock


class ScheduleTriggerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.loop = Mock()
        self.runs = 0
        self.is_contended = False
        self.trigger = ScheduleTrigger(self.loop, self.clock, self.schedule)

    def schedule(self) -> bool:
        """Counts the runs."""
        self.runs += 1
        return self.is_contended

    def run_planned(self) -> list[float]:
        """Runs what was planned and returns after what pauses."""
        soon = [(0.0, call.args[0]) for call in self.loop.call_soon.call_args_list]
        later = [call.args for call in self.loop.call_later.call_args_list]
        self.loop.reset_mock()
        for _, action in [*soon, *later]:
            action()
        return [pause_s for pause_s, _ in [*soon, *later]]

    def test_requests_of_one_turn_are_coalesced(self) -> None:
        for _ in range(5):
            self.trigger.plan()
        self.assertEqual([0.0], self.run_planned())
        self.assertEqual(1, self.runs)

    def test_a_run_that_leaves_no_job_waiting_delays_nothing(self) -> None:
        for _ in range(3):
            self.trigger.plan()
            self.assertEqual([0.0], self.run_planned())

    def test_runs_are_few_while_jobs_wait(self) -> None:
        self.is_contended = True
        for _ in range(1000):
            self.trigger.plan()
            if self.clock() >= self.trigger.paused_until:
                self.run_planned()
            self.clock.advance(0.001)
        self.assertLessEqual(self.runs, 1.0 / CONTENTION_PAUSE_S + 1)
