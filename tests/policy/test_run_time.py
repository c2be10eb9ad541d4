"""Tests of estimated run times."""

from __future__ import annotations

import random
import unittest

from jackdawkeel.policy.run_time import RunTime
from jackdawkeel.policy.run_time import is_reliable
from jackdawkeel.policy.run_time import observe_run


def observe_all(samples: list[float], run_time: RunTime | None = None) -> RunTime:
    """Returns the estimate updated with all samples."""
    run_time = run_time or RunTime()
    for sample in samples:
        run_time = observe_run(run_time, sample)
    return run_time


class RunTimeTest(unittest.TestCase):
    def test_first_sample_is_the_estimate(self) -> None:
        self.assertEqual(observe_run(RunTime(), 70), RunTime(1, 70, 70, 70))

    def test_learns_mean_and_quantiles(self) -> None:
        rng = random.Random(5)
        run_time = observe_all([rng.uniform(50, 1050) for _ in range(4000)])
        self.assertAlmostEqual(run_time.mean_ms, 550, delta=150)
        self.assertAlmostEqual(run_time.high_ms, 1000, delta=100)
        self.assertAlmostEqual(run_time.low_ms, 100, delta=40)

    def test_estimate_follows_a_change_by_orders_of_magnitude(self) -> None:
        slow = observe_all([5000.0] * 500)
        fast = observe_all([50.0] * 2500, slow)
        self.assertAlmostEqual(fast.mean_ms, 50, delta=5)
        self.assertLess(fast.high_ms, 60)

    def test_estimate_is_reliable_from_20_samples(self) -> None:
        self.assertFalse(is_reliable(observe_all([10.0] * 19)))
        self.assertTrue(is_reliable(observe_all([10.0] * 20)))

    def test_quantile_recovers_from_a_zero_sample(self) -> None:
        run_time = observe_all([0.0] + [100.0] * 400)
        self.assertGreater(run_time.high_ms, 90)
