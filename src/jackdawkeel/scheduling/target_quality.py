"""How well a target has served the tasks of the last seconds."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from statistics import median_high


# Ends older than this say nothing any more, so that a target that was given up is
# tried again after this time.
WINDOW_S = 4.0
# Most ends that count; about two seconds of a busy target.
MAX_RECENT_ENDS = 100
# Runs that say something about the speed of a target, and the latest that count.
MIN_SPEED_RUNS = 3
MAX_SPEED_RUNS = 10


@dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run.

    Attributes:
        at: When it ended, in seconds.
        is_good: Whether the target did the work.
        slowness: Observed over expected run time; 0 if unknown.
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
        """Records an end; the run time of a moved task is the projected one."""
        slowness = run_ms / expected_ms if expected_ms > 0 else 0.0
        self.ends.append(RunEnd(now, is_good, slowness))

    def drop_expired(self, now: float) -> None:
        """Drops ends that say nothing any more."""
        while self.ends and self.ends[0].at < now - WINDOW_S:
            self.ends.popleft()

    def count(self) -> tuple[int, int]:
        """Returns how many runs ended, and how many of them badly."""
        return len(self.ends), sum(not end.is_good for end in self.ends)

    def measure_slowness(self, running: list[float]) -> float:
        """Returns the median of observed over expected run time, or 1.

        Args:
            running: The same of tasks that still run, by their progress.
        """
        ended = [end.slowness for end in self.ends if end.slowness]
        known = [*ended[-MAX_SPEED_RUNS:], *running]
        if len(known) < MIN_SPEED_RUNS:
            return 1.0
        return median_high(known)
