"""A clock that does not count the pauses of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from ..clock import Clock


# A longer time between two readings is a pause; the event loop reads it every 0.05 s.
MIN_PAUSE_S = 0.3


class RunningClock:
    """Measures time without pauses; it has to be read in every tick.

    A process can't tell whether it was stopped alone or its VM was suspended. It uses
    this clock for times that another process on the VM measures with a steady clock.

    Attributes:
        paused_s: Length of all pauses, in seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.read_at = clock()
        self.paused_s = 0.0

    def __call__(self) -> float:
        """Returns the time of the clock less all pauses, in seconds."""
        now = self.clock()
        elapsed_s, self.read_at = now - self.read_at, now
        if elapsed_s > MIN_PAUSE_S:
            self.paused_s += elapsed_s
        return now - self.paused_s
