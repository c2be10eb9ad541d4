"""Hedging: a second copy of an idempotent task that takes too long."""

from __future__ import annotations

from .retry_budget import RetryBudget
from .retry_budget import try_spend_second_attempt
from .run_time import RunTime
from .run_time import is_reliable


MIN_HEDGE_DELAY_MS = 20.0


def hedge_delay_ms(run_time: RunTime) -> float | None:
    """Returns the run time from which a task is a straggler, in milliseconds.

    Returns:
        The learned high quantile, at least ``MIN_HEDGE_DELAY_MS``, or None while the
        estimate is unreliable.
    """
    if not is_reliable(run_time):
        return None
    return max(run_time.high_ms, MIN_HEDGE_DELAY_MS)


def try_spend_hedge(
    idempotent: bool,
    attempts: int,
    elapsed_ms: float,
    run_time: RunTime,
    budget: RetryBudget,
) -> bool:
    """Decides whether to start a second copy, and spends it from the budget if so.

    Args:
        idempotent: Whether the caller allowed its tasks to start twice.
        attempts: Number of copies of the task that were started.
        elapsed_ms: Time since the first copy was started, in milliseconds.
        run_time: Learned run time of the service's tasks.
        budget: The service's hedging budget.

    Returns:
        Whether the second copy is to be started.
    """
    delay_ms = hedge_delay_ms(run_time)
    if not idempotent or attempts != 1 or delay_ms is None:
        return False
    return elapsed_ms >= delay_ms and try_spend_second_attempt(budget)
