"""Looks at waiting jobs: one a turn, and with pauses while jobs wait for room."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

from jackdawkeel.scheduling.schedule_turns import CROWDED_PAUSE_S
from jackdawkeel.scheduling.schedule_turns import ScheduleTurns
from tests.fakes import FakeClock


class ScheduleTurnsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.loop = Mock()
        self.looks = 0
        self.is_crowded = False
        self.turns = ScheduleTurns(self.loop, self.clock, self.look)

    def look(self) -> bool:
        """Stands in for the scheduler."""
        self.looks += 1
        return self.is_crowded

    def take_planned(self) -> list[float]:
        """Runs what was planned and returns after what pauses."""
        soon = [(0.0, call.args[0]) for call in self.loop.call_soon.call_args_list]
        later = [call.args for call in self.loop.call_later.call_args_list]
        self.loop.reset_mock()
        for _, action in [*soon, *later]:
            action()
        return [pause_s for pause_s, _ in [*soon, *later]]

    def test_many_causes_in_a_turn_give_one_look(self) -> None:
        for _ in range(5):
            self.turns.plan()
        self.assertEqual([0.0], self.take_planned())
        self.assertEqual(1, self.looks)

    def test_a_look_that_leaves_nobody_waiting_is_followed_at_once(self) -> None:
        for _ in range(3):
            self.turns.plan()
            self.assertEqual([0.0], self.take_planned())

    def test_reports_under_a_burst_give_few_looks(self) -> None:
        self.is_crowded = True
        for _ in range(1000):
            self.turns.plan()
            if self.clock() >= self.turns.crowded_until:
                self.take_planned()
            self.clock.advance(0.001)
        self.assertLessEqual(self.looks, 1.0 / CROWDED_PAUSE_S + 1)
