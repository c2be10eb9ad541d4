"""Tests of the model of a large fleet: the figures of its burst."""

from __future__ import annotations

import unittest

from bench.large_fleet import uneven
from bench.large_fleet.__main__ import measure
from bench.shared_room.simulator import ALL_ENTRIES
from bench.shared_room.simulator import SharingStrategy

from jackdawkeel.settings import DEFAULT_REPORTED_ENTRIES


EVERY = SharingStrategy(reported_entries=ALL_ENTRIES)
CHOSEN = SharingStrategy(reported_entries=DEFAULT_REPORTED_ENTRIES)
LIMITED = SharingStrategy(reported_entries=DEFAULT_REPORTED_ENTRIES, limits_wait=True)
SECONDS = 4.0
BURST_SECONDS = 6.0
BURST = 1.45
# Share of the callers that may wait a quarter of their objective and then be refused.
MAX_HELD = 0.01
SEED = 1
CALM = 0.8
# Reports per second and entry that a chosen number of entries costs at most, as a share
# of those of all entries.
MAX_REPORT_SHARE = 0.5
# A neighbourhood may lose this share of the jobs that end in time with all entries.
MAX_LOSS = 0.03
# Share of the jobs that the rules for unequal targets must bring in time in addition.
MIN_UNEVEN_GAIN = 0.1
UNEVEN_LOAD = 0.9
UNEVEN_SECONDS = 3.0


class LargeFleetTest(unittest.TestCase):
    def test_callers_of_a_burst_are_served_in_time_or_refused_at_once(self) -> None:
        """A burst of 1.45 times the usual load, more than the targets can run."""
        admits_all = measure("burst", CHOSEN, BURST_SECONDS, SEED, BURST)
        limited = measure("burst", LIMITED, BURST_SECONDS, SEED, BURST)
        self.assertGreater(limited["worth"], admits_all["worth"])
        self.assertGreater(limited["in time"], admits_all["in time"])
        self.assertLess(limited["held and refused"], MAX_HELD)

    def test_eight_entries_per_agent_serve_as_well_as_all_of_them(self) -> None:
        for scenario in ("burst", "evacuated zone"):
            with self.subTest(scenario):
                all_entries = measure(scenario, EVERY, SECONDS, SEED, CALM)
                chosen = measure(scenario, CHOSEN, SECONDS, SEED, CALM)
                self.assertGreater(chosen["in time"], all_entries["in time"] - MAX_LOSS)
                self.assertLess(
                    chosen["reports a second and entry"],
                    MAX_REPORT_SHARE * all_entries["reports a second and entry"],
                )

    def test_rules_for_unequal_targets_bring_every_kind_of_job_in_time_more_often(
        self,
    ) -> None:
        """Two kinds of targets, and a rack wanted by most short wide jobs."""
        before, after = (
            uneven.measure(rules, UNEVEN_LOAD, UNEVEN_SECONDS, SEED)
            for rules in (uneven.BEFORE, uneven.AFTER)
        )
        gain = after["in time"] - before["in time"]
        self.assertGreater(gain, MIN_UNEVEN_GAIN)
        for kind in ("short", "long", "small", "hot"):
            with self.subTest(kind):
                self.assertGreater(after[kind], before[kind])
