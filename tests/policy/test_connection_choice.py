"""Tests of the choice of the connection that gives way."""

from __future__ import annotations

import unittest

from jackdawkeel.policy.connection_choice import YIELD_ORDER
from jackdawkeel.policy.connection_choice import ConnectionPhase
from jackdawkeel.policy.connection_choice import choose_largest
from jackdawkeel.policy.connection_choice import choose_oldest


class ConnectionChoiceTest(unittest.TestCase):
    def test_the_oldest_of_the_first_phase_that_has_any_gives_way(self) -> None:
        phases: dict[ConnectionPhase, list[str]] = {
            phase: [] for phase in ConnectionPhase
        }
        self.assertIsNone(choose_oldest(phases))
        for phase in reversed(YIELD_ORDER):
            phases[phase] = [f"{phase.value} 1", f"{phase.value} 2"]
            self.assertEqual(f"{phase.value} 1", choose_oldest(phases))

    def test_every_phase_can_give_way(self) -> None:
        self.assertEqual(set(ConnectionPhase), set(YIELD_ORDER))

    def test_the_largest_above_the_minimum_gives_way(self) -> None:
        sizes = [(5, "a"), (9, "b"), (7, "c")]
        self.assertEqual("b", choose_largest(sizes, min_bytes=9))
        self.assertIsNone(choose_largest(sizes, min_bytes=10))
        self.assertIsNone(choose_largest([], min_bytes=0))
