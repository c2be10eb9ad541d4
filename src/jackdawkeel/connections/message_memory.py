"""Memory of messages and answers that the connections of one listener hold."""

from __future__ import annotations

from threading import Lock


class MessageMemory:
    """Sum of the bytes that connections hold; used on the threads of one server.

    Attributes:
        limit_bytes: Limit of the sum.
        held_bytes: The sum.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.lock = Lock()

    def adjust(self, change_bytes: int) -> None:
        """Adds to the sum, or subtracts from it."""
        with self.lock:
            self.held_bytes += change_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether the connections hold more than the limit."""
        return self.held_bytes > self.limit_bytes
