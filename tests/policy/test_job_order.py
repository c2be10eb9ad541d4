"""Tests of the order of jobs in queues."""

from __future__ import annotations

import unittest

from jackdawkeel.policy.job_order import rank_job


class RankJobTest(unittest.TestCase):
    def test_table(self) -> None:
        cases = [
            ("earlier of equals", (1.0, 5), (2.0, 5)),
            ("single before a large job", (2.0, 1), (1.0, 240)),
            ("small before large", (2.0, 20), (1.0, 240)),
            ("old large job before a new single request", (1.0, 240), (26.0, 1)),
        ]
        for name, first, second in cases:
            with self.subTest(name):
                self.assertLess(rank_job(*first), rank_job(*second))
