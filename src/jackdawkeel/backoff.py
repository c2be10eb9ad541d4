"""Backoff and jitter, which keep many processes from acting at the same moment."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .clock import Clock


def add_jitter(seconds: float, ratio: float) -> float:
    """Returns a delay varied at random.

    Args:
        seconds: The mean delay.
        ratio: Largest deviation, as a fraction of the mean.
    """
    return seconds * (1 + random.uniform(-ratio, ratio))


class Backoff:
    """Decides when attempts are due, with exponential backoff and jitter.

    The first attempt of the process is due at once. Each later series of attempts
    starts after a random delay, because its cause may affect many processes at the
    same moment.
    """

    def __init__(
        self, min_s: float, max_s: float, max_first_delay_s: float, clock: Clock
    ) -> None:
        """Creates a backoff whose first attempt is due at once.

        Args:
            min_s: Upper bound of the first delay between two attempts, in seconds;
                half of it is the lower bound of every delay.
            max_s: Limit up to which the upper bound doubles, in seconds.
            max_first_delay_s: Upper bound of the delay before a later series, in
                seconds.
            clock: Clock in seconds.
        """
        self.min_s = min_s
        self.max_s = max_s
        self.max_first_delay_s = max_first_delay_s
        self.clock = clock
        self.delay_s = min_s
        self.next_attempt_at = 0.0
        self.was_needed = True

    def is_due(self, is_needed: bool) -> bool:
        """Returns whether an attempt is due; resets the delays if none is needed."""
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
