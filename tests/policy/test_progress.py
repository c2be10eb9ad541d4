"""Tests of the detection of tasks to restart on another target."""

from __future__ import annotations

import unittest

from jackdawkeel.policy.progress import Progress
from jackdawkeel.policy.progress import has_stalled
from jackdawkeel.policy.progress import is_too_slow


class ProgressTest(unittest.TestCase):
    def test_a_task_stalls_only_without_progress(self) -> None:
        cases = [
            ("young", Progress(0.2, 0.2, 0, 0.1), False),
            ("stalled", Progress(1.0, 0.4, 31, 0.1), True),
            ("stalled from the start", Progress(0.4, 0.4, 0, 0.1), True),
            ("long, between two percents", Progress(9.0, 0.4, 31, 30.0), False),
            ("all work done", Progress(1.0, 0.9, 100, 0.1), False),
            ("progresses past its estimate", Progress(2.0, 0.1, 50, 0.1), False),
        ]
        for name, progress, expected in cases:
            with self.subTest(name):
                self.assertEqual(has_stalled(progress), expected)

    def test_a_task_is_too_slow_only_if_a_restart_would_end_much_earlier(self) -> None:
        cases = [
            ("early on a slow target", Progress(0.3, 0.0, 5, 1.0), 6.0, True),
            ("nearly done on a slow target", Progress(5.0, 0.0, 90, 1.0), 6.0, False),
            ("too young to tell", Progress(0.1, 0.0, 1, 0.05), 6.0, False),
            (
                "long task on a target of usual speed",
                Progress(1.0, 0.0, 16, 0.3),
                1.2,
                False,
            ),
        ]
        for name, progress, slowness, expected in cases:
            with self.subTest(name):
                self.assertEqual(is_too_slow(progress, slowness), expected)
