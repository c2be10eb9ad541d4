"""A clock that does not count the pauses of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from ..clock import Clock


# A longer time between two readings is a pause; the event loop reads it every 0.05 s.
MIN_PAUSE_S = 0.15


class RunningClock:
    """Measures time without pauses; it has to be read in every tick.

    It is used for times that another process on the VM measures with its steady clock,
    which does not count a suspension of the VM. A process can't tell whether a pause
    that its own steady clock has counted was one of the VM, so it counts none.

    Attributes:
        paused_s: Length of all pauses until the last reading, in seconds.
    """

    def __init__(self, clock: Clock, steady_clock: Clock) -> None:
        """Creates a clock that has the time of another one.

        Args:
            clock: That clock, in seconds; it counts suspensions.
            steady_clock: Clock in seconds that need not count them.
        """
        self.clock = clock
        self.steady_clock = steady_clock
        self.read_at = clock()
        self.steady_read_at = steady_clock()
        self.paused_s = 0.0

    def __call__(self) -> float:
        """Returns the time of the clock less all pauses, in seconds."""
        now, steady_now = self.clock(), self.steady_clock()
        elapsed_s, self.read_at = now - self.read_at, now
        ran_s, self.steady_read_at = steady_now - self.steady_read_at, steady_now
        self.paused_s += elapsed_s if ran_s > MIN_PAUSE_S else elapsed_s - ran_s
        return now - self.paused_s

    def measure_paused_s(self) -> float:
        """Returns the length of all pauses until now, in seconds."""
        self()
        return self.paused_s
