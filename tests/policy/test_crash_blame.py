"""Tests of the blame for crashes, with ten runs on each crashed target."""

from __future__ import annotations

import random
import unittest

from jackdawkeel.policy.crash_blame import MAX_BLAMED_CRASHES
from jackdawkeel.policy.crash_blame import MAX_CRASHES
from jackdawkeel.policy.crash_blame import MAX_SUSPECT_AGE_S
from jackdawkeel.policy.crash_blame import CrashCounts
from jackdawkeel.policy.crash_blame import RunAtCrash
from jackdawkeel.policy.crash_blame import find_suspects


# The users' rule: starts that are allowed after the third crash under one task.
CRASHES_BEFORE_LIMIT = 3
STARTS_AFTER_LIMIT = 2
RUNS = 10


def make_run(
    task: str, age_s: float = 0.01, *, is_on_trial: bool = False
) -> RunAtCrash:
    """Builds a run on a crashed target."""
    return RunAtCrash(task, "queue", age_s, is_on_trial, is_confirmed=True)


def names(runs: list[RunAtCrash]) -> list[str]:
    """Returns the tasks of runs."""
    return [run.task for run in runs]


class CrashBlameTest(unittest.TestCase):
    def test_young_runs_are_suspects(self) -> None:
        runs = [make_run("young"), make_run("younger", 0.004), make_run("old", 1.0)]
        self.assertEqual(names(find_suspects(runs)), ["young", "younger"])

    def test_older_runs_are_suspects_if_there_are_no_younger_ones(self) -> None:
        runs = [make_run("young", 0.02), make_run("older", 0.15), make_run("old", 0.2)]
        self.assertEqual(names(find_suspects(runs)), ["young", "older"])

    def test_old_runs_are_no_suspects(self) -> None:
        runs = [make_run("old", MAX_SUSPECT_AGE_S + 0.1), make_run("older", 2.0)]
        self.assertEqual(find_suspects(runs), [])

    def test_a_crash_during_a_trial_is_blamed_on_it_alone(self) -> None:
        runs = [make_run("new", 0.0), make_run("tried", 0.02, is_on_trial=True)]
        self.assertEqual(names(find_suspects(runs)), ["tried"])

    def test_no_runs_have_no_suspects(self) -> None:
        self.assertEqual(find_suspects([]), [])

    def test_a_trial_outlasts_the_age_at_the_earlier_crash_on_a_slower_target(
        self,
    ) -> None:
        self.assertGreater(CrashCounts(1, 1, oldest_s=0.4).trial_s, 1.5 * 0.4)
        self.assertEqual(CrashCounts(0, 1).trial_s, 0.0)

    def test_crashes_at_different_ages_may_have_other_causes(self) -> None:
        cases = {(0.010, 0.013): True, (0.4, 0.45): True, (0.41, 0.51): False}
        for ages, is_certain in cases.items():
            with self.subTest(ages):
                counts = CrashCounts(2, 2, max(ages), list(ages))
                self.assertEqual(counts.is_certain(), is_certain)
                self.assertTrue(counts.must_give_up())
        self.assertFalse(CrashCounts(1, 1, 0.01, [0.01]).is_certain())

    def test_starts_of_a_task_stay_within_the_users_budget(self) -> None:
        self.assertLessEqual(MAX_BLAMED_CRASHES, MAX_CRASHES)
        self.assertLess(MAX_CRASHES, CRASHES_BEFORE_LIMIT + STARTS_AFTER_LIMIT)

    def test_one_task_in_a_hundred_is_found_by_two_crashes_and_no_other(self) -> None:
        """Load: ten young runs on each target, one of which crashes it at once."""
        rng = random.Random(1)
        for _ in range(100):
            deadly = rng.randrange(RUNS)
            first = find_suspects(
                [make_run(f"{index}", rng.uniform(0.0, 0.1)) for index in range(RUNS)]
            )
            self.assertIn(f"{deadly}", names(first))
            tried = [
                make_run(f"{deadly}", 0.01, is_on_trial=True),
                *(make_run(f"new-{index}") for index in range(RUNS - 1)),
            ]
            self.assertEqual(names(find_suspects(tried)), [f"{deadly}"])
