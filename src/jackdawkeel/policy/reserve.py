"""Slots that jobs of several tasks leave free for single requests."""

from __future__ import annotations

import math


RESERVED_SLOTS = 1
MIN_SLOTS_TO_RESERVE = 4
RESERVE_BELOW_BUSY_SHARE = 0.85
BUSY_TIME_CONSTANT_S = 5.0


def update_busy_share(
    share: float, running: int, slots: int, elapsed_s: float
) -> float:
    """Returns the updated moving average of the share of busy slots.

    Args:
        share: The previous average.
        running: Tasks running at all agents of the service.
        slots: Total slots of those agents.
        elapsed_s: Time since the last update in seconds.
    """
    if slots <= 0:
        return share
    weight = 1 - math.exp(-max(elapsed_s, 0.0) / BUSY_TIME_CONSTANT_S)
    return share + weight * (running / slots - share)


def reserved_slots(tasks: int, busy_share: float, slots: int) -> int:
    """Returns the number of slots that a job's tasks leave free at a target.

    Single requests may use every slot. Nothing is reserved while the service is
    overloaded, because idle slots would then cost throughput.

    Args:
        tasks: Number of tasks in the job.
        busy_share: Moving average of the share of busy slots.
        slots: Slots of the target.
    """
    if tasks == 1 or slots < MIN_SLOTS_TO_RESERVE:
        return 0
    if busy_share > RESERVE_BELOW_BUSY_SHARE:
        return 0
    return RESERVED_SLOTS
