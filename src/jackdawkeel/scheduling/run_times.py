"""Predicts run times of tasks from observed runs and the callers' estimates."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


# Weight of a new run in the moving average of a queue.
SMOOTHING_FACTOR = 0.1
MAX_QUEUES = 10_000
# Ratios are clamped to this range, so that one slow target does not dominate.
MIN_RATIO = 0.05
MAX_RATIO = 20.0


@dataclass(slots=True)
class RunTimes:
    """Ratio of observed to estimated run time, by queue."""

    ratios: dict[str, float] = field(default_factory=dict)

    def record(self, queue: str, run_ms: float, estimate_ms: float) -> None:
        """Records a run that succeeded."""
        if estimate_ms <= 0:
            return
        ratio = min(max(run_ms / estimate_ms, MIN_RATIO), MAX_RATIO)
        known = self.ratios.get(queue, 1.0)
        self.ratios[queue] = known + SMOOTHING_FACTOR * (ratio - known)
        if len(self.ratios) > MAX_QUEUES:
            del self.ratios[next(iter(self.ratios))]

    def predict_ms(self, queue: str, estimate_ms: float) -> float:
        """Returns the predicted run time of a task, in milliseconds."""
        return estimate_ms * self.ratios.get(queue, 1.0)
