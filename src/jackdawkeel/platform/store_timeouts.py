"""Timeouts of calls to the platform's store."""

from __future__ import annotations

from dataclasses import dataclass


CONNECT_TIMEOUT_S = 0.5
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class StoreTimeouts:
    """Timeouts of calls to the store.

    Attributes:
        response_s: Timeout of the response to a call other than a watch, in seconds.
        watch_wait_ms: Time that the store holds a watch request open when there is no
            change, in milliseconds.
        watch_response_s: Time allowed beyond that for the response to a watch, in
            seconds.
    """

    response_s: float = 1.0
    watch_wait_ms: int = 900
    watch_response_s: float = 0.3

    @property
    def watch_timeout_s(self) -> float:
        """Time without a response after which a watch request fails, in seconds."""
        return self.watch_wait_ms / MS_PER_S + self.watch_response_s


# Detects a silent watch early enough to load a new configuration within its time limit.
ENTRY_TIMEOUTS = StoreTimeouts()
# Agents watch only evacuations, which have a longer time limit and also reach them
# through entries.
AGENT_TIMEOUTS = StoreTimeouts(watch_wait_ms=2000)
