"""Tests of retry budgets."""

from __future__ import annotations

import unittest

from jackdawkeel.policy.retry_budget import RetryBudget
from jackdawkeel.policy.retry_budget import record_first_attempt
from jackdawkeel.policy.retry_budget import try_spend_second_attempt


class RetryBudgetTest(unittest.TestCase):
    def test_second_attempts_are_limited_to_a_share_of_first_attempts(self) -> None:
        cases = [(0.1, 100, 20), (0.1, 1000, 110), (0.05, 1000, 60), (0.0, 1000, 10)]
        for ratio, attempts, expected in cases:
            with self.subTest(ratio=ratio, attempts=attempts):
                budget = RetryBudget(ratio)
                spent = 0
                for _ in range(attempts):
                    spent += try_spend_second_attempt(budget)
                    record_first_attempt(budget)
                self.assertAlmostEqual(spent, expected, delta=1)

    def test_balance_is_bounded(self) -> None:
        budget = RetryBudget()
        for _ in range(1000):
            record_first_attempt(budget)
        spent = sum(try_spend_second_attempt(budget) for _ in range(50))
        self.assertEqual(spent, 10)
