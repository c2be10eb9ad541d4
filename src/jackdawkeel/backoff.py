"""Delays with jitter, so that many processes do not act at the same moment."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .clock import Clock


def add_jitter(seconds: float, ratio: float) -> float:
    """Returns a random time around a given one, at most so far from it."""
    return seconds * (1 + random.uniform(-ratio, ratio))


class Backoff:
    """Decides when to try, after delays that double up to a bound.

    The first try of the process comes at once; later needs begin with a random
    delay, as what caused them may have hit many processes at the same moment.
    """

    def __init__(
        self, min_s: float, max_s: float, max_first_delay_s: float, clock: Clock
    ) -> None:
        self.min_s = min_s
        self.max_s = max_s
        self.max_first_delay_s = max_first_delay_s
        self.clock = clock
        self.delay_s = min_s
        self.next_attempt_at = 0.0
        self.was_needed = True

    def is_due(self, is_needed: bool) -> bool:
        """Returns whether to try now; when nothing is needed, starts anew."""
        if not is_needed:
            self.delay_s = self.min_s
            self.was_needed = False
            return False
        now = self.clock()
        if not self.was_needed:
            self.was_needed = True
            self.next_attempt_at = now + random.uniform(0.0, self.max_first_delay_s)
        if now < self.next_attempt_at:
            return False
        self.next_attempt_at = now + random.uniform(self.min_s / 2, self.delay_s)
        self.delay_s = min(self.max_s, 2 * self.delay_s)
        return True
