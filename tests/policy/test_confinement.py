"""Tests of the separation of queues whose tasks crash targets."""

from __future__ import annotations

import unittest

from jackdawkeel.policy.confinement import MAX_SHARE
from jackdawkeel.policy.confinement import MIN_SHARE
from jackdawkeel.policy.confinement import MIN_TARGETS
from jackdawkeel.policy.confinement import choose_confined_targets
from jackdawkeel.policy.confinement import find_confined_share


CONFINED = frozenset({"bad"})
AGENTS = [f"tcp://10.0.0.{number}:7000" for number in range(1, 75)]


class ConfinementTest(unittest.TestCase):
    def test_confined_queues_use_a_part_as_large_as_their_work(self) -> None:
        cases = {0.01: MIN_SHARE, 0.4: 0.4, 0.9: MAX_SHARE}
        for own, expected in cases.items():
            with self.subTest(own):
                share = find_confined_share(CONFINED, {"bad": own, "good": 1 - own})
                self.assertAlmostEqual(share, expected)

    def test_nothing_is_divided_without_two_kinds_of_queues_with_work(self) -> None:
        for offered in ({"bad": 1.0}, {"good": 1.0}, {"bad": 0.0, "good": 1.0}, {}):
            with self.subTest(offered):
                self.assertEqual(find_confined_share(CONFINED, offered), 0.0)

    def test_a_service_with_few_targets_is_not_divided(self) -> None:
        few = AGENTS[: MIN_TARGETS - 1]
        self.assertEqual(choose_confined_targets(few, MAX_SHARE), frozenset())

    def test_some_targets_remain_for_the_other_queues(self) -> None:
        for count in range(MIN_TARGETS, len(AGENTS)):
            chosen = choose_confined_targets(AGENTS[:count], MAX_SHARE)
            self.assertTrue(0 < len(chosen) < count)

    def test_entries_that_know_different_agents_choose_alike(self) -> None:
        """Load: each entry of a fleet of 74 agents knows all but a few of them."""
        all_chosen = choose_confined_targets(AGENTS, MIN_SHARE)
        for first in range(0, len(AGENTS), 10):
            known = AGENTS[:first] + AGENTS[first + 7 :]
            chosen = choose_confined_targets(known, MIN_SHARE)
            self.assertLessEqual(len(all_chosen.intersection(known) - chosen), 2)
            self.assertLessEqual(len(chosen - all_chosen), 7)

    def test_a_larger_share_includes_the_smaller_one(self) -> None:
        smaller = choose_confined_targets(AGENTS, MIN_SHARE)
        self.assertLess(smaller, choose_confined_targets(AGENTS, MAX_SHARE))
