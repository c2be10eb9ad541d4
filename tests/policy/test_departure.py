"""Tests of the choice of runs that leave a target with short notice.

They guard against runs that are lost with a reclaimed target although they could have
started elsewhere, and against stops of runs that would have ended in time.
"""

from __future__ import annotations

import unittest

from jackdawkeel.policy.departure import STOP_MARGIN_S
from jackdawkeel.policy.departure import should_leave
from jackdawkeel.policy.progress import Progress


def make_progress(
    percent: float = 0.0, age_s: float = 0.0, expected_s: float = 1.8
) -> Progress:
    """Builds the progress of a run that is not idle."""
    return Progress(age_s, 0.0, percent, expected_s)


class DepartureTest(unittest.TestCase):
    def test_a_run_leaves_if_it_cannot_end_in_the_remaining_time(self) -> None:
        cases = [
            ("new, expected to end", make_progress(), 2.0, False),
            ("new, expected to be late", make_progress(expected_s=2.5), 2.0, True),
            ("the report was delayed", make_progress(), 1.8 + STOP_MARGIN_S / 2, True),
            ("slower than expected", make_progress(20.0, 1.0), 2.0, True),
            ("faster than expected", make_progress(50.0, 0.4, 9.0), 2.0, False),
            ("nearly ends in time", make_progress(92.0, 9.0, 9.0), 0.7, False),
            ("nearly done, but far from its end", make_progress(92.0, 9.0), 0.3, True),
            ("no known run time", make_progress(expected_s=0.0), 2.0, False),
            ("a stop would be too late", make_progress(20.0, 1.0), 0.1, False),
            ("the end has passed", make_progress(20.0, 1.0), -1.0, False),
        ]
        for name, progress, remaining_s, expected in cases:
            with self.subTest(name):
                self.assertIs(should_leave(progress, remaining_s), expected)
