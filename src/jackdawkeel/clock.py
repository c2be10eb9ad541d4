"""Clocks, injected everywhere so that tests need no real time."""

from __future__ import annotations

import time
from collections.abc import Callable


Clock = Callable[[], float]


def read_boot_clock() -> float:
    """Returns seconds since boot, counting time spent suspended or paused."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
