"""Run times of tasks as observed, in place of what callers declare."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


# Weight of one more run in the mean ratio of a queue.
SMOOTHING_FACTOR = 0.1
MAX_QUEUES = 10_000
# Ratios beyond these are taken as these, so that one slow target does not decide.
MIN_RATIO = 0.05
MAX_RATIO = 20.0


@dataclass(slots=True)
class RunTimes:
    """Observed over declared run time, by queue."""

    ratios: dict[str, float] = field(default_factory=dict)

    def record(self, queue: str, run_ms: float, estimate_ms: float) -> None:
        """Records a run that ended well."""
        if estimate_ms <= 0:
            return
        ratio = min(max(run_ms / estimate_ms, MIN_RATIO), MAX_RATIO)
        known = self.ratios.get(queue, 1.0)
        self.ratios[queue] = known + SMOOTHING_FACTOR * (ratio - known)
        if len(self.ratios) > MAX_QUEUES:
            del self.ratios[next(iter(self.ratios))]

    def predict_ms(self, queue: str, estimate_ms: float) -> float:
        """Returns the expected run time of a task, in milliseconds."""
        return estimate_ms * self.ratios.get(queue, 1.0)
