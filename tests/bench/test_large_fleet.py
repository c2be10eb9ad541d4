"""Tests of the model of a large fleet: the figures of its burst."""

from __future__ import annotations

import unittest

from bench.large_fleet.__main__ import measure
from bench.shared_room.simulator import ALL_ENTRIES

from jackdawkeel.settings import DEFAULT_REPORTED_ENTRIES


SECONDS = 4.0
SEED = 1
CALM = 0.8
# Reports per second and entry that a chosen number of entries costs at most, as a share
# of those of all entries.
MAX_REPORT_SHARE = 0.5
# A neighbourhood may lose this share of the jobs that end in time with all entries.
MAX_LOSS = 0.03


class LargeFleetTest(unittest.TestCase):
    def test_twelve_entries_per_agent_serve_as_well_as_all_of_them(self) -> None:
        for scenario in ("burst", "evacuated zone"):
            with self.subTest(scenario):
                all_entries = measure(scenario, ALL_ENTRIES, SECONDS, SEED, CALM)
                chosen = measure(
                    scenario, DEFAULT_REPORTED_ENTRIES, SECONDS, SEED, CALM
                )
                self.assertGreater(chosen["in time"], all_entries["in time"] - MAX_LOSS)
                self.assertLess(
                    chosen["reports a second and entry"],
                    MAX_REPORT_SHARE * all_entries["reports a second and entry"],
                )
