"""Event queue of the discrete-event models."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


class EventQueue:
    """Runs actions in order of simulated time.

    Actions due at the same time run in the order in which they were scheduled.

    Attributes:
        now: Simulated time of the current action, in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    def schedule_at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedules an action at a simulated time in seconds."""
        heapq.heappush(self._events, (time_s, next(self._sequence_numbers), action))

    def run_until(self, time_s: float) -> None:
        """Runs all actions due up to a simulated time in seconds."""
        while self._events and self._events[0][0] <= time_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
