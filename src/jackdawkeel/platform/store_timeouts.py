"""How long calls of the platform's store may take."""

from __future__ import annotations

from dataclasses import dataclass


CONNECT_TIMEOUT_S = 0.5
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class StoreTimeouts:
    """Limits of calls of the store.

    Attributes:
        response_s: Longest time for an answer, in seconds.
        watch_wait_ms: How long the store waits for a change before it answers a
            watch, in milliseconds.
        watch_response_s: Time for the answer to a watch beyond that, in seconds.
    """

    response_s: float = 1.0
    watch_wait_ms: int = 900
    watch_response_s: float = 0.3

    @property
    def watch_timeout_s(self) -> float:
        """After what time a watch without an answer has failed, in seconds."""
        return self.watch_wait_ms / MS_PER_S + self.watch_response_s


# A silent watch is noticed early enough to read a configuration within its bound.
ENTRY_TIMEOUTS = StoreTimeouts()
# Agents follow only evacuations, whose bound is longer, and hear them from entries too.
AGENT_TIMEOUTS = StoreTimeouts(watch_wait_ms=2000)
