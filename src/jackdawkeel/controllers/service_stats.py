"""What a home has learned of each service: run times and retry budgets."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ..policy.retry_budget import HEDGE_RATIO
from ..policy.retry_budget import RetryBudget
from ..policy.run_time import RunTime
from ..policy.run_time import observe_run


@dataclass(slots=True)
class ServiceStats:
    """What was learned of one service.

    Attributes:
        run_time: Run times of tasks that were done.
        retries: Budget for tasks that ended badly.
        hedges: Budget for second copies of stragglers.
        busy_share: Moving average of the share of busy slots.
    """

    run_time: RunTime = field(default_factory=RunTime)
    retries: RetryBudget = field(default_factory=RetryBudget)
    hedges: RetryBudget = field(default_factory=lambda: RetryBudget(HEDGE_RATIO))
    busy_share: float = 0.0

    def observe(self, run_ms: float) -> None:
        """Learns from a task that was done."""
        self.run_time = observe_run(self.run_time, run_ms)
