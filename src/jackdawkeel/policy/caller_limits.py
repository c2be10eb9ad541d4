"""How many callers may wait for the answers to their jobs at one entry.

Load: callers that submit jobs of an hour and stay connected, beside those that ask for
the state of a job, cancel one or submit a short one.
"""

from __future__ import annotations


def limit_waiting_callers(threads: int, connections: int) -> int:
    """Returns the number of callers that may wait.

    Half of the connections are left, because a connection that waits for an answer
    never gives way to a new one.

    Args:
        threads: Threads that may be blocked by waiting callers.
        connections: Connections of callers that are held.
    """
    return min(threads, connections // 2)
