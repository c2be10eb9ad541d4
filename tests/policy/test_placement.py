"""Tests of the choice of executors and homes."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from jackdawkeel.policy.candidates import Candidate
from jackdawkeel.policy.placement import choose_executor
from jackdawkeel.policy.placement import choose_home


OWN = Candidate("own", "z1", 8)
NEAR = Candidate("near", "z1", 8)
FAR = Candidate("far", "z2", 8)


def full_candidate(name: str, zone: str, queued: int = 0) -> Candidate:
    """Returns a candidate without free slots."""
    return Candidate(name, zone, 8, outstanding=8 + queued)


class ChooseExecutorTest(unittest.TestCase):
    def test_prefers_free_slots_then_near_targets_then_short_queues(self) -> None:
        own_full = full_candidate("own", "z1")
        cases = [
            ("no candidates", [], 1, None),
            ("own target first", [FAR, NEAR, OWN], 1, "own"),
            ("own zone next", [FAR, NEAR, own_full], 1, "near"),
            (
                "other zones next",
                [FAR, full_candidate("near", "z1"), own_full],
                1,
                "far",
            ),
            ("free slot far before a queue", [own_full, FAR], 2, "far"),
            ("queue of own zone", [own_full, full_candidate("far", "z2")], 1, "own"),
            (
                "shorter queue far",
                [full_candidate("own", "z1", 1), full_candidate("far", "z2")],
                2,
                "far",
            ),
            ("all full", [own_full, full_candidate("far", "z2")], 0, None),
            ("queues full", [full_candidate("own", "z1", 1)], 1, None),
            ("ejected", [Candidate("own", "z1", 8, ejected=True), FAR], 1, "far"),
            ("leaving", [Candidate("own", "z1", 8, leaving=True), FAR], 1, "far"),
            ("zone out", [Candidate("own", "z1", 8, in_service=False)], 1, None),
            ("reported load", [Candidate("own", "z1", 8, reported=8), FAR], 0, "far"),
        ]
        for name, candidates, allowance, expected in cases:
            with self.subTest(name):
                rng = random.Random(1)
                chosen = choose_executor(candidates, "own", "z1", allowance, rng)
                self.assertEqual(chosen, expected)

    def test_reserved_slots_stay_free(self) -> None:
        one_free = Candidate("own", "z1", 8, outstanding=7)
        cases = [
            ("goes to another agent", [one_free, FAR], 1, "far"),
            ("waits at the home", [one_free], 1, None),
            ("does not queue", [full_candidate("own", "z1")], 1, None),
            ("may take the last slot", [one_free], 0, "own"),
        ]
        for name, candidates, reserved, expected in cases:
            with self.subTest(name):
                rng = random.Random(1)
                chosen = choose_executor(candidates, "own", "z1", 2, rng, reserved)
                self.assertEqual(chosen, expected)


class ChooseHomeTest(unittest.TestCase):
    def test_prefers_low_load_then_the_own_zone(self) -> None:
        ejected = Candidate("ejected", "z1", 8, ejected=True)
        leaving = Candidate("leaving", "z1", 8, leaving=True)
        out = Candidate("out", "z3", 8, in_service=False)
        busy = Candidate("busy", "z1", 8, outstanding=2)
        cases = [
            ("no candidates", [], None),
            ("equal load: own zone", [FAR, NEAR], "near"),
            ("load before zone", [FAR, busy], "far"),
            ("not ejected", [ejected, full_candidate("far", "z2")], "far"),
            ("all ejected", [ejected, leaving, out], "ejected"),
            ("none may start", [leaving, out], None),
        ]
        for name, candidates, expected in cases:
            with self.subTest(name):
                chosen = choose_home(candidates, "z1", random.Random(1))
                self.assertEqual(chosen, expected)

    def test_choices_from_the_same_stale_report_spread_over_agents(self) -> None:
        idle = Candidate("idle", "z2", 8, reported=0)
        others = [Candidate(f"a{index}", "z2", 8, reported=4) for index in range(9)]
        rng = random.Random(1)
        chosen = Counter(choose_home([idle, *others], "z1", rng) for _ in range(1000))
        self.assertLess(chosen["idle"], 400)
