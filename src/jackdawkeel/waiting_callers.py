"""The callers that wait for the answers to their jobs; each blocks a thread."""

from __future__ import annotations

from typing import Self


# Threads beside those of the waiting callers, for requests that are answered at once.
RESERVED_THREADS = 32


class WaitingCallers:
    """Counts the callers that wait; each waits within this context.

    Attributes:
        limit: Number of callers that may wait.
        count: Number of callers that wait.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.count = 0

    def __enter__(self) -> Self:
        self.count += 1
        return self

    def __exit__(self, *_: object) -> None:
        self.count -= 1

    @property
    def is_full(self) -> bool:
        """Whether no other caller may wait."""
        return self.count >= self.limit
