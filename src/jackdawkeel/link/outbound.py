"""One outgoing NNG connection to the link address of another process."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Self

import pynng

from .limits import RECONNECT_MAX_MS
from .limits import RECONNECT_MIN_MS
from .limits import SEND_BUFFER_ENVELOPES


if TYPE_CHECKING:
    from collections.abc import Callable


class NngConnection:
    """A socket that uses at most one connection in its lifetime.

    NNG reconnects by itself after a loss. The second connection is rejected, so that
    the messages of one session stay in order.
    """

    def __init__(
        self, source_ip: str, destination: str, on_lost: Callable[[], None]
    ) -> None:
        """Starts dialling in the background.

        Args:
            source_ip: IP to dial from.
            destination: Link address, ``tcp://IP:PORT``.
            on_lost: Called on an NNG thread when the connection is lost.
        """
        self.on_lost = on_lost
        self.has_connected = False
        self.is_closed = False
        self.socket = pynng.Push0(send_buffer_size=SEND_BUFFER_ENVELOPES)
        self.socket.reconnect_time_min = RECONNECT_MIN_MS
        self.socket.reconnect_time_max = RECONNECT_MAX_MS
        self.socket.add_pre_pipe_connect_cb(self._accept_first_pipe)
        self.socket.add_post_pipe_remove_cb(self._report_loss)
        address = destination.removeprefix("tcp://")
        self.socket.dial(f"tcp://{source_ip};{address}", block=False)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def send(self, body: bytes) -> bool:
        """Sends one envelope unless that blocks; returns whether the socket took it."""
        try:
            self.socket.send(body, block=False)
        except pynng.TryAgain:
            return False
        return True

    def close(self) -> None:
        """Closes the socket; envelopes in its send buffer are lost."""
        self.is_closed = True
        self.socket.close()

    def _accept_first_pipe(self, pipe: pynng.Pipe) -> None:
        if self.has_connected or self.is_closed:
            pipe.close()
            return
        self.has_connected = True

    def _report_loss(self, _pipe: pynng.Pipe) -> None:
        if not self.is_closed:
            self.on_lost()
