"""Detects callers that close their connection while they wait."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING
from typing import Self


if TYPE_CHECKING:
    from collections.abc import Callable


class DisconnectWatch:
    """Watches the connection of one waiting caller on the loop.

    The HTTP server keeps the connection. The watch peeks for its end and consumes no
    data.
    """

    def __init__(
        self, connection: socket.socket | None, on_disconnect: Callable[[], None]
    ) -> None:
        self.connection = connection
        self.on_disconnect = on_disconnect
        self.descriptor = -1

    def __enter__(self) -> Self:
        if self.connection is not None:
            self.loop = asyncio.get_running_loop()
            self.descriptor = self.connection.fileno()
        if self.descriptor >= 0:
            self.loop.add_reader(self.descriptor, self._check_connection)
        return self

    def __exit__(self, *_: object) -> None:
        self._stop()

    def _stop(self) -> None:
        if self.descriptor >= 0:
            self.loop.remove_reader(self.descriptor)
            self.descriptor = -1

    def _check_connection(self) -> None:
        if self.connection is None:
            return
        try:
            data = self.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self._stop()
        if not data:
            self.on_disconnect()
