"""Tests of the exclusion of suspect targets."""

from __future__ import annotations

import unittest

from jackdawkeel.policy.suspects import TargetStats
from jackdawkeel.policy.suspects import find_suspects


def make_fleet(
    *outliers: TargetStats, healthy: int = 8, failed: int = 0
) -> list[TargetStats]:
    """Builds a fleet of healthy targets and some outliers."""
    return [
        *outliers,
        *(
            TargetStats(f"healthy-{number}", 40, failed, 1.1)
            for number in range(healthy)
        ),
    ]


class FindSuspectsTest(unittest.TestCase):
    def test_a_target_that_fails_far_more_than_the_others_is_excluded(self) -> None:
        fleet = make_fleet(TargetStats("grey", 30, 12, 1.0))
        self.assertEqual(find_suspects(fleet), {"grey"})

    def test_a_target_that_is_far_slower_than_the_others_is_excluded(self) -> None:
        fleet = make_fleet(TargetStats("slow", 10, 0, 5.0))
        self.assertEqual(find_suspects(fleet), {"slow"})

    def test_failures_on_all_targets_exclude_none(self) -> None:
        fleet = make_fleet(TargetStats("same", 40, 16, 1.0), failed=14)
        self.assertEqual(find_suspects(fleet), frozenset())

    def test_slowness_on_all_targets_excludes_none(self) -> None:
        fleet = [TargetStats(f"t-{number}", 40, 0, 6.0) for number in range(6)]
        self.assertEqual(find_suspects(fleet), frozenset())

    def test_fewer_failures_than_the_minimum_exclude_none(self) -> None:
        self.assertEqual(
            find_suspects(make_fleet(TargetStats("a", 2, 2, 1.0))), frozenset()
        )

    def test_targets_of_a_kind_not_learnt_yet_are_compared_within_it(self) -> None:
        slow_kind = [TargetStats(f"b-{n}", 9, 0, 4.0, "b") for n in range(4)]
        fleet = make_fleet(*slow_kind)
        self.assertEqual(find_suspects(fleet), frozenset())
        fleet.append(TargetStats("slow", 9, 0, 20.0, "b"))
        self.assertEqual(find_suspects(fleet), {"slow"})

    def test_at_most_a_third_is_excluded_worst_first(self) -> None:
        outliers = [
            TargetStats(f"outlier-{number}", 40, 20 + number, 1.0)
            for number in range(4)
        ]
        suspects = find_suspects(make_fleet(*outliers, healthy=5))
        self.assertEqual(suspects, {"outlier-3", "outlier-2", "outlier-1"})

    def test_the_only_target_is_never_excluded(self) -> None:
        self.assertEqual(find_suspects([TargetStats("a", 10, 10, 9.0)]), frozenset())
