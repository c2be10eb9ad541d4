"""Tests of the parts of expected run times: kind, distance, bounded steps."""

from __future__ import annotations

import math
import unittest

from jackdawkeel.policy.target_speed import MAX_DEVIATION
from jackdawkeel.policy.target_speed import LearntRatio
from jackdawkeel.policy.target_speed import find_distance_factor
from jackdawkeel.policy.target_speed import find_kind
from jackdawkeel.policy.target_speed import find_mean_log
from jackdawkeel.policy.target_speed import limit_deviation


class TargetSpeedTest(unittest.TestCase):
    def test_a_single_label_is_no_kind(self) -> None:
        for labels, kind in (([], ""), (["rack-1"], ""), (["a", "rack-1"], "a")):
            self.assertEqual(find_kind(labels), kind)

    def test_only_runs_outside_a_preferred_rack_take_longer(self) -> None:
        labels = ("a", "rack-1")
        cases = (("", 1.0), ("rack-1", 1.0), ("rack-2", 3.0))
        for rack, factor in cases:
            self.assertEqual(find_distance_factor(rack, labels, 3.0), factor)

    def test_one_run_has_a_bounded_effect(self) -> None:
        self.assertEqual(limit_deviation(math.log(7), 0.0), MAX_DEVIATION)
        self.assertEqual(limit_deviation(math.log(0.05), 0.0), -MAX_DEVIATION)

    def test_kinds_without_runs_or_targets_do_not_count_in_the_mean(self) -> None:
        kinds = {"a": LearntRatio(0.0, 9), "b": LearntRatio(math.log(4), 9)}
        for targets, mean in (
            ({"a": 2, "b": 1}, 2.0),
            ({"a": 2, "c": 7}, 1.0),
            ({}, 1.0),
        ):
            self.assertAlmostEqual(math.exp(find_mean_log(kinds, targets)), mean)
