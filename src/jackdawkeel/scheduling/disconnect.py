"""Detects callers that close their connection before they are answered."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING
from typing import Self


if TYPE_CHECKING:
    import socket
    from collections.abc import Callable


# Interval of the checks for a disconnect behind unread data, in seconds.
UNREAD_DATA_POLL_INTERVAL_S = 0.05


def is_disconnected(connection: socket.socket | None) -> bool:
    """Returns whether a caller has closed its connection, even behind unread data."""
    if connection is None:
        return False
    descriptor = connection.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    # Hang-ups and errors are always reported.
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


class DisconnectWatch:
    """Watches the connection of one waiting caller on the loop.

    The HTTP server keeps the connection; the watch reads no data. A connection with
    unread data, such as the caller's next request, stays readable, so it is then
    checked periodically instead.
    """

    def __init__(
        self, connection: socket.socket | None, on_disconnect: Callable[[], None]
    ) -> None:
        self.connection = connection
        self.on_disconnect = on_disconnect
        self.descriptor = -1
        self.next_check: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        if self.connection is not None:
            self.loop = asyncio.get_running_loop()
            self.descriptor = self.connection.fileno()
        if self.descriptor >= 0:
            self.loop.add_reader(self.descriptor, self._check_connection)
        return self

    def __exit__(self, *_: object) -> None:
        self._stop_reading()
        if self.next_check is not None:
            self.next_check.cancel()

    def _stop_reading(self) -> None:
        if self.descriptor >= 0:
            self.loop.remove_reader(self.descriptor)
            self.descriptor = -1

    def _check_connection(self) -> None:
        self._stop_reading()
        if is_disconnected(self.connection):
            self.on_disconnect()
            return
        self.next_check = self.loop.call_later(
            UNREAD_DATA_POLL_INTERVAL_S, self._check_connection
        )
