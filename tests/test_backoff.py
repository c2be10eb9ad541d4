"""Tests of the exponential backoff."""

from __future__ import annotations

import unittest

from jackdawkeel.backoff import Backoff
from tests.fakes import FakeClock


class BackoffTest(unittest.TestCase):
    """The first attempt is due at once; delays stay within their bounds."""

    def test_delays_stay_within_bounds(self) -> None:
        clock = FakeClock()
        backoff = Backoff(1.0, 8.0, 2.0, clock)
        self.assertTrue(backoff.is_due(True))
        gaps = []
        for _ in range(6):
            start = clock()
            while not backoff.is_due(True):
                clock.advance(0.01)
            gaps.append(clock() - start)
        self.assertTrue(all(0.5 <= gap <= 8.01 for gap in gaps), gaps)
        self.assertFalse(backoff.is_due(False))
        start = clock()
        while not backoff.is_due(True):
            clock.advance(0.01)
        self.assertLessEqual(clock() - start, 2.01)
