"""When to start a second copy of an idempotent task that takes too long."""

from __future__ import annotations

from .retry_budget import RetryBudget
from .retry_budget import try_spend_second_attempt
from .run_time import RunTime
from .run_time import is_reliable


MIN_HEDGE_DELAY_MS = 20.0


def hedge_delay_ms(run_time: RunTime) -> float | None:
    """Returns after which run time a task is a straggler, in milliseconds.

    Returns:
        The learned high quantile, or None while too little is learned.
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
    """Decides on a second copy and spends it from the budget.

    Args:
        idempotent: Whether the caller allowed a task to start twice.
        attempts: Copies of the task that were started.
        elapsed_ms: Time since the first copy was started, in milliseconds.
        run_time: What was learned of the service.
        budget: The service's budget for hedging.
    """
    delay_ms = hedge_delay_ms(run_time)
    if not idempotent or attempts != 1 or delay_ms is None:
        return False
    return elapsed_ms >= delay_ms and try_spend_second_attempt(budget)
