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
    """Average ratio of observed to estimated run time, by queue."""

    ratios: dict[str, float] = field(default_factory=dict)

    def record(self, queue: str, run_ms: float, estimate_ms: float) -> None:
        """Records a run that succeeded."""
        if estimate_ms <= 0:
            return
        ratio = min(max(run_ms / estimate_ms, MIN_RATIO), MAX_RATIO)
        average = self.ratios.get(queue, 1.0)
        self.ratios[queue] = average + SMOOTHING_FACTOR * (ratio - average)
        if len(self.ratios) > MAX_QUEUES:
            del self.ratios[next(iter(self.ratios))]

    def scale_estimate(self, queue: str, estimate: float) -> float:
        """Returns an estimated time, corrected by the queue's ratio, in its unit."""
        return estimate * self.ratios.get(queue, 1.0)
