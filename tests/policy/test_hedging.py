"""Tests of hedging: which tasks get a second copy, and when."""

from __future__ import annotations

import unittest

from jackdawkeel.policy.hedging import hedge_delay_ms
from jackdawkeel.policy.hedging import try_spend_hedge
from jackdawkeel.policy.retry_budget import RetryBudget
from jackdawkeel.policy.run_time import RunTime


LEARNED = RunTime(samples=100, mean_ms=200, high_ms=900, low_ms=50)


class TrySpendHedgeTest(unittest.TestCase):
    def test_only_idempotent_stragglers_within_the_budget_are_hedged(self) -> None:
        unreliable = RunTime(samples=3, mean_ms=200, high_ms=900, low_ms=50)
        cases = [
            ("straggler", True, 1, 900.0, LEARNED, 1.0, True),
            ("not idempotent", False, 1, 9000.0, LEARNED, 1.0, False),
            ("not started", True, 0, 9000.0, LEARNED, 1.0, False),
            ("hedged before", True, 2, 9000.0, LEARNED, 1.0, False),
            ("not slow", True, 1, 899.0, LEARNED, 1.0, False),
            ("nothing learned", True, 1, 9000.0, unreliable, 1.0, False),
            ("no budget", True, 1, 9000.0, LEARNED, 0.9, False),
        ]
        for name, idempotent, attempts, elapsed, learned, balance, expected in cases:
            with self.subTest(name):
                budget = RetryBudget(balance=balance)
                is_spent = try_spend_hedge(
                    idempotent, attempts, elapsed, learned, budget
                )
                self.assertEqual(is_spent, expected)
                self.assertEqual(budget.balance, balance - expected)

    def test_delay_is_at_least_the_minimum(self) -> None:
        self.assertEqual(hedge_delay_ms(RunTime(100, 1, 1, 1)), 20)
