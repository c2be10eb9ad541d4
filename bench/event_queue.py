"""The event loop of the models."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


class EventQueue:
    """Runs actions in order of time; those of one moment in the order of planning.

    Attributes:
        now: The moment of the action that runs, in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    def schedule_at(self, time_s: float, action: Callable[[], None]) -> None:
        """Has an action done at a moment in seconds."""
        heapq.heappush(self._events, (time_s, next(self._sequence_numbers), action))

    def run_until(self, time_s: float) -> None:
        """Runs the actions up to a moment in seconds."""
        while self._events and self._events[0][0] <= time_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
