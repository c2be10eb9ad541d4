"""Budgets that keep second attempts to a share of the first ones."""

from __future__ import annotations

from dataclasses import dataclass


RETRY_RATIO = 0.1
HEDGE_RATIO = 0.05
MAX_BALANCE = 10.0


@dataclass(slots=True)
class RetryBudget:
    """A budget of second attempts.

    Attributes:
        ratio: Second attempts earned by each first attempt.
        balance: Second attempts that may be made now.
    """

    ratio: float = RETRY_RATIO
    balance: float = MAX_BALANCE


def record_first_attempt(budget: RetryBudget) -> None:
    """Earns a share of a second attempt."""
    budget.balance = min(budget.balance + budget.ratio, MAX_BALANCE)


def try_spend_second_attempt(budget: RetryBudget) -> bool:
    """Spends one second attempt, if the budget has one."""
    if budget.balance < 1:
        return False
    budget.balance -= 1
    return True
