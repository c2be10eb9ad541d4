"""Tests of what callers get at loads near the capacity, in the shared-capacity model.

The product's own decisions run in three entries with slightly outdated reports. The
bounds are the aims of docs/design/near-capacity.md.
"""

from __future__ import annotations

import unittest

from bench.shared_room.near_capacity import TODAY
from bench.shared_room.near_capacity import play


SEEDS = range(1, 9)
# Share of the jobs admitted as in time that end so.
MIN_KEPT = 0.95


class NearCapacityTest(unittest.TestCase):
    def check_promises(self, load: float) -> None:
        figures = play(TODAY, load, SEEDS).measure()
        self.assertGreaterEqual(figures["kept"], MIN_KEPT, figures)

    def test_jobs_admitted_as_in_time_end_so_at_0_9_of_the_capacity(self) -> None:
        self.check_promises(0.9)

    def test_jobs_admitted_as_in_time_end_so_at_the_capacity(self) -> None:
        self.check_promises(1.0)

    def test_jobs_admitted_as_in_time_end_so_at_1_1_times_the_capacity(self) -> None:
        self.check_promises(1.1)
