"""Budgets that limit second attempts to a share of the first attempts."""

from __future__ import annotations

from dataclasses import dataclass


RETRY_RATIO = 0.1
HEDGE_RATIO = 0.05
MAX_BALANCE = 10.0


@dataclass(slots=True)
class RetryBudget:
    """A budget for second attempts, either retries or hedges.

    Attributes:
        ratio: Second attempts earned by each first attempt.
        balance: Second attempts available now, at most ``MAX_BALANCE``.
    """

    ratio: float = RETRY_RATIO
    balance: float = MAX_BALANCE


def record_first_attempt(budget: RetryBudget) -> None:
    """Adds the share of a second attempt that a first attempt earns."""
    budget.balance = min(budget.balance + budget.ratio, MAX_BALANCE)


def try_spend_second_attempt(budget: RetryBudget) -> bool:
    """Spends one second attempt if available, and returns whether it was."""
    if budget.balance < 1:
        return False
    budget.balance -= 1
    return True
