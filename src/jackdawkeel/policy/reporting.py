"""Intervals of the reports of changed free capacity, between two full reports.

Designed for bursts, in which the free capacity of every target changes all the time.
Entries with few agents receive each change within a tick of the agents, so that they
rarely assign capacity that is in use. Entries with many agents would spend most of
their processor time on such reports; there, changes wait for the next full report.
"""

from __future__ import annotations


# Reports of changed free capacity that an entry requests per second, in addition to
# the full reports; as many as the full reports of 48 agents.
MAX_CHANGES_PER_S = 240
# Minimum time between reports to an entry whose assignments have not changed.
MIN_CHANGE_INTERVAL_S = 0.05
# Longest requested interval at which changes are reported between two full reports.
MAX_CHANGE_INTERVAL_S = 0.125


def request_change_interval_s(agents: int) -> float:
    """Returns the minimum time between reports of changes that an entry requests.

    Args:
        agents: Number of agents that report to it.
    """
    return agents / MAX_CHANGES_PER_S


def choose_change_interval_s(requested_s: float, full_interval_s: float) -> float:
    """Returns the time between an agent's reports of changes, in seconds.

    Args:
        requested_s: Minimum time that the entry requests. If it is close to the time
            between full reports, changes wait for those.
        full_interval_s: Time between full reports.
    """
    if requested_s > MAX_CHANGE_INTERVAL_S:
        return full_interval_s
    return min(max(MIN_CHANGE_INTERVAL_S, requested_s), full_interval_s / 2)
