"""Tests of the slots reserved for single requests."""

from __future__ import annotations

import unittest

from jackdawkeel.policy.reserve import reserved_slots
from jackdawkeel.policy.reserve import update_busy_share


class ReservedSlotsTest(unittest.TestCase):
    def test_jobs_leave_a_slot_free_except_under_overload(self) -> None:
        cases = [
            ("single request", 1, 0.5, 8, 0),
            ("job", 2, 0.5, 8, 1),
            ("job under overload", 240, 0.9, 8, 0),
            ("small target", 240, 0.5, 3, 0),
        ]
        for name, tasks, busy_share, slots, expected in cases:
            with self.subTest(name):
                self.assertEqual(reserved_slots(tasks, busy_share, slots), expected)


class BusyShareTest(unittest.TestCase):
    def test_average_follows_the_load(self) -> None:
        share = 0.0
        for _ in range(10):
            share = update_busy_share(share, 80, 80, 1.0)
        self.assertAlmostEqual(share, 0.865, places=3)
        self.assertLess(update_busy_share(share, 0, 80, 5.0), 0.35)

    def test_average_is_unchanged_without_elapsed_time_or_slots(self) -> None:
        self.assertEqual(update_busy_share(0.4, 80, 80, 0.0), 0.4)
        self.assertEqual(update_busy_share(0.4, 0, 0, 1.0), 0.4)
