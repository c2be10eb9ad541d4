"""How often an entry announces its open jobs to the others.

Designed for fleets of 3 to 64 entries, whose callers come back 1.3 s after they have
left an entry. In larger fleets the load of an entry stays the same, and jobs are known
to the others later.
"""

from __future__ import annotations


MIN_INTERVAL_S = 0.25
# Bounds the announcements that an entry sends, and those that it receives.
MAX_ANNOUNCEMENTS_PER_S = 64


def choose_announcement_interval_s(entries: int) -> float:
    """Returns the time between two announcements to an entry, in seconds.

    Args:
        entries: Number of entries that receive them.
    """
    return max(MIN_INTERVAL_S, entries / MAX_ANNOUNCEMENTS_PER_S)
