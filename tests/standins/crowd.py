"""A crowd of clients that send streams of bytes and read no answers."""

from __future__ import annotations

import socket
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Self

from .process_usage import MIB


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator


PIECE_BYTES = 64 * 1024
SEND_TIMEOUT_S = 20.0
CONNECT_TIMEOUT_S = 5.0
MAX_THREADS = 32


@dataclass(frozen=True, slots=True)
class Stream:
    """What each client of a crowd sends.

    Attributes:
        start: The first bytes.
        make_piece: Returns the bytes that follow, by their number from 0.
        max_bytes: Bytes after which a client stops to send, and keeps its connection.
    """

    start: bytes
    make_piece: Callable[[int], bytes]
    max_bytes: int = 48 * MIB

    @classmethod
    def repeat(cls, start: bytes, pattern: bytes) -> Self:
        """Returns a stream that repeats a pattern."""
        piece = pattern * (PIECE_BYTES // len(pattern))
        return cls(start, lambda _: piece)

    def pieces(self) -> Iterator[bytes]:
        """Yields the pieces up to the maximum number of bytes."""
        yield self.start
        sent, number = 0, 0
        while sent < self.max_bytes:
            piece = self.make_piece(number)
            yield piece
            sent += len(piece)
            number += 1


class Crowd:
    """Connections to one address, open until the context exits.

    Args:
        address: Address to connect to.
        size: Number of connections.
    """

    def __init__(self, address: str, size: int) -> None:
        host, _, port = address.rpartition(":")
        self.target = (host, int(port))
        self.size = size
        self.connections: list[socket.socket] = []
        self.stack = ExitStack()

    def __enter__(self) -> Self:
        for _ in range(self.size):
            with suppress(OSError):
                connection = socket.create_connection(self.target, CONNECT_TIMEOUT_S)
                self.connections.append(self.stack.enter_context(connection))
        return self

    def __exit__(self, *_: object) -> None:
        self.stack.close()

    def send(self, stream: Stream) -> None:
        """Sends a stream on each connection; returns when all have ended."""
        self._send_on_each([stream.pieces() for _ in self.connections])

    def send_once(self, data: bytes) -> None:
        """Sends the same bytes on each connection."""
        self._send_on_each([[data]] * len(self.connections))

    def send_each(self, messages: Iterable[bytes]) -> None:
        """Sends one message on each connection, in order."""
        self._send_on_each([data] for data in messages)

    def _send_on_each(self, sources: Iterable[Iterable[bytes]]) -> None:
        until = time.monotonic() + SEND_TIMEOUT_S
        with ThreadPoolExecutor(MAX_THREADS) as threads:
            for connection, pieces in zip(self.connections, sources, strict=False):
                threads.submit(_send, connection, pieces, until)


def _send(connection: socket.socket, pieces: Iterable[bytes], until: float) -> None:
    """Sends until the peer ends the connection or the time is over."""
    with suppress(OSError):
        for piece in pieces:
            remaining_s = until - time.monotonic()
            if remaining_s <= 0:
                return
            connection.settimeout(remaining_s)
            connection.sendall(piece)
