"""Statistics of a service at a home: run times, budgets and busy slots."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ..policy.retry_budget import HEDGE_RATIO
from ..policy.retry_budget import RetryBudget
from ..policy.run_time import RunTime
from ..policy.run_time import observe_run


@dataclass(slots=True)
class ServiceStats:
    """Run times, retry budgets and busy slots of one service.

    Attributes:
        run_time: Run times of tasks with a result.
        retries: Budget for retries of tasks that failed or are unknown.
        hedges: Budget for second copies of stragglers.
        busy_share: Moving average of the share of busy slots.
    """

    run_time: RunTime = field(default_factory=RunTime)
    retries: RetryBudget = field(default_factory=RetryBudget)
    hedges: RetryBudget = field(default_factory=lambda: RetryBudget(HEDGE_RATIO))
    busy_share: float = 0.0

    def observe(self, run_ms: float) -> None:
        """Records the run time of a task with a result.

        Args:
            run_ms: Run time at the target in milliseconds.
        """
        self.run_time = observe_run(self.run_time, run_ms)
