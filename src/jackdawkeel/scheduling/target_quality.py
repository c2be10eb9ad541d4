"""Measures how well a target has served its recent tasks."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from statistics import median_high


# Older ends are ignored, so that an excluded target is tried again after this time.
WINDOW_S = 4.0
# Maximum number of ends to consider; about two seconds of a busy target.
MAX_RECENT_ENDS = 100
# Minimum number of runs for measuring the slowness of a target, and maximum number of
# ended runs to consider.
MIN_SPEED_RUNS = 3
MAX_SPEED_RUNS = 10


@dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run.

    Attributes:
        at: When it ended, in seconds.
        is_good: Whether the target completed the run.
        slowness: Observed divided by expected run time; 0 if unknown.
    """

    at: float
    is_good: bool
    slowness: float


@dataclass(slots=True)
class TargetQuality:
    """The ends of recent runs."""

    ends: deque[RunEnd] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_ENDS))

    def record(
        self, now: float, *, is_good: bool, run_ms: float, expected_ms: float
    ) -> None:
        """Records an end; the run time of a moved task is a projection."""
        slowness = run_ms / expected_ms if expected_ms > 0 else 0.0
        self.ends.append(RunEnd(now, is_good, slowness))

    def drop_expired(self, now: float) -> None:
        """Removes ends older than the window."""
        while self.ends and self.ends[0].at < now - WINDOW_S:
            self.ends.popleft()

    def count(self) -> tuple[int, int]:
        """Returns how many runs ended, and how many of them failed or stalled."""
        return len(self.ends), sum(not end.is_good for end in self.ends)

    def measure_slowness(self, running: list[float]) -> float:
        """Returns the median of observed divided by expected run time; 1 if unknown.

        Args:
            running: The same ratio for running tasks, projected from their progress.
        """
        ended = [end.slowness for end in self.ends if end.slowness]
        known = [*ended[-MAX_SPEED_RUNS:], *running]
        if len(known) < MIN_SPEED_RUNS:
            return 1.0
        return median_high(known)
