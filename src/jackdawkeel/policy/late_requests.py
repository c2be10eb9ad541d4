"""When a job may start after its entry lost the connection to all agents.

Designed for entries that were suspended or cut off, while callers disconnected and
resubmitted their jobs through other entries. Requests and disconnects may reach the
entry late afterwards, because their senders retransmit at growing intervals.
"""

from __future__ import annotations


# Time within which the disconnect of a caller follows its delayed request, in seconds.
DISCONNECT_DELAY_S = 0.05
# Upper bound of the time for which data may arrive late after an outage, in seconds.
MAX_DELIVERY_DELAY_S = 5.0


def find_delivery_end(restored_at: float, outage_s: float) -> float:
    """Returns until when data may arrive late after an outage, in clock seconds.

    The intervals of retransmission double, so the next one takes at most as long as the
    outage lasted.
    """
    return restored_at + min(outage_s, MAX_DELIVERY_DELAY_S)


def find_earliest_start(
    arrived_at: float, restored_at: float, delivery_end: float
) -> float:
    """Returns when the tasks of a job may start, in clock seconds.

    Args:
        arrived_at: When the entry read the request.
        restored_at: When the last outage ended.
        delivery_end: Until when data may arrive late after it.
    """
    if arrived_at <= restored_at:
        return delivery_end
    if arrived_at <= delivery_end:
        return arrived_at + DISCONNECT_DELAY_S
    return arrived_at
