"""Tests of when the scheduler runs: once per loop iteration, at most, and at intervals.

Without the minimum interval an entry with waiting jobs runs the scheduler for every
report of every agent.
"""

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
        """Counts the runs of the scheduler."""
        self.runs += 1
        return self.is_contended

    def run_planned(self) -> list[float]:
        """Runs the planned calls and returns their delays."""
        immediate = [(0.0, call.args[0]) for call in self.loop.call_soon.call_args_list]
        delayed = [call.args for call in self.loop.call_later.call_args_list]
        self.loop.reset_mock()
        for _, action in [*immediate, *delayed]:
            action()
        return [pause_s for pause_s, _ in [*immediate, *delayed]]

    def test_requests_of_one_loop_iteration_are_coalesced(self) -> None:
        for _ in range(5):
            self.trigger.plan()
        self.assertEqual([0.0], self.run_planned())
        self.assertEqual(1, self.runs)

    def test_the_next_run_is_not_delayed_if_no_job_waits(self) -> None:
        for _ in range(3):
            self.trigger.plan()
            self.assertEqual([0.0], self.run_planned())

    def test_runs_keep_a_minimum_interval_while_jobs_wait(self) -> None:
        self.is_contended = True
        for _ in range(1000):
            self.trigger.plan()
            if self.clock() >= self.trigger.paused_until:
                self.run_planned()
            self.clock.advance(0.001)
        self.assertLessEqual(self.runs, 1.0 / CONTENTION_PAUSE_S + 1)
