"""Clocks; components receive theirs, so that tests can use a fake one."""

from __future__ import annotations

import time
from collections.abc import Callable


Clock = Callable[[], float]


def read_boot_clock() -> float:
    """Returns seconds since boot, including time spent suspended or paused."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_running_clock() -> float:
    """Returns seconds since boot without the time that the machine was suspended."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)
