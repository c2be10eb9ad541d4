"""Tests of candidates: eligibility, load and choice of the least loaded."""

from __future__ import annotations

import random
import unittest

from jackdawkeel.policy.candidates import Candidate
from jackdawkeel.policy.candidates import accepts_work
from jackdawkeel.policy.candidates import free_slots
from jackdawkeel.policy.candidates import least_loaded_of_few
from jackdawkeel.policy.candidates import may_start
from jackdawkeel.policy.candidates import relative_load


class CandidateTest(unittest.TestCase):
    def test_ejected_leaving_and_out_of_service_agents_get_no_ordinary_work(
        self,
    ) -> None:
        cases = [
            (Candidate("a", "z1", 8), True, True),
            (Candidate("a", "z1", 8, ejected=True), True, False),
            (Candidate("a", "z1", 8, leaving=True), False, False),
            (Candidate("a", "z1", 8, in_service=False), False, False),
        ]
        for candidate, starts, accepts in cases:
            with self.subTest(candidate=candidate):
                self.assertEqual(may_start(candidate), starts)
                self.assertEqual(accepts_work(candidate), accepts)

    def test_load_counts_own_and_reported_tasks(self) -> None:
        candidate = Candidate("a", "z1", 8, outstanding=3, reported=6)
        self.assertEqual(free_slots(candidate), -1)
        self.assertEqual(relative_load(candidate), 9 / 8)

    def test_load_of_a_candidate_without_slots_is_finite(self) -> None:
        self.assertEqual(relative_load(Candidate("a", "z1", 0, outstanding=2)), 2)


class LeastLoadedTest(unittest.TestCase):
    def test_no_candidates_gives_none(self) -> None:
        self.assertIsNone(least_loaded_of_few([], 2, random.Random(1)))

    def test_few_candidates_are_all_compared(self) -> None:
        few = [Candidate(f"a{load}", "z1", 8, load) for load in (3, 1, 2)]
        chosen = least_loaded_of_few(few, 5, random.Random(1))
        self.assertEqual(chosen, few[1])

    def test_choices_spread_over_equally_loaded_candidates(self) -> None:
        rng = random.Random(1)
        equals = [Candidate(f"a{index}", "z1", 8) for index in range(10)]
        chosen = {least_loaded_of_few(equals, 2, rng) for _ in range(200)}
        self.assertEqual(len(chosen), 10)

    def test_the_most_loaded_of_many_is_never_chosen(self) -> None:
        rng = random.Random(1)
        many = [Candidate(f"a{index}", "z1", 8, index) for index in range(10)]
        chosen = {least_loaded_of_few(many, 2, rng) for _ in range(200)}
        self.assertNotIn(many[-1], chosen)
