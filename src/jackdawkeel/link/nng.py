"""Links over NNG sockets: a Pull socket, and one Push socket per peer and session.

Neither socket sends a message a second time.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Self

import pynng

from ..errors import StartError
from .limits import MAX_ENVELOPE_BYTES
from .limits import RECONNECT_MAX_MS
from .limits import RECONNECT_MIN_MS
from .limits import SEND_BUFFER_ENVELOPES
from .transport import Transport


if TYPE_CHECKING:
    from collections.abc import Callable


RECEIVE_BUFFER_ENVELOPES = 256
MAX_ENVELOPES_PER_WAKEUP = 100


class NngListener:
    """A Pull socket that is read on the event loop."""

    def __init__(
        self,
        address: str,
        receive: Callable[[bytes], bool],
        _reject: Callable[[str, str, str], None],
    ) -> None:
        """Listens on a link address.

        Args:
            address: Link address, ``tcp://IP:PORT``.
            receive: Called with each envelope; returns whether it is valid.

        Raises:
            StartError: If the address can't be listened on.
        """
        self.receive = receive
        self.loop = asyncio.get_running_loop()
        self.socket = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_ENVELOPES)
        self.socket.recv_max_size = MAX_ENVELOPE_BYTES
        try:
            self.socket.listen(address)
        except pynng.NNGException as error:
            self.socket.close()
            raise StartError(f"can't listen on {address}: {error}") from error
        self.descriptor = self.socket.recv_fd
        self.loop.add_reader(self.descriptor, self._receive_ready)

    def close(self) -> None:
        """Closes the socket and its connections."""
        self.loop.remove_reader(self.descriptor)
        self.socket.close()

    def _receive_ready(self) -> None:
        for _ in range(MAX_ENVELOPES_PER_WAKEUP):
            try:
                body = self.socket.recv(block=False)
            except pynng.TryAgain:
                return
            except RuntimeError:
                # pynng can't unpack an empty message, but has already received it.
                body = b""
            self.receive(body)


class NngConnection:
    """A socket that uses at most one connection in its lifetime.

    NNG reconnects by itself after a loss. The second connection is rejected, so that
    the messages of one session stay in order.

    Attributes:
        is_refused: Always false, since NNG does not report failed attempts.
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
        self.is_refused = False
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

    def retry(self) -> None:
        """Does nothing: NNG dials by itself, at most ``RECONNECT_MAX_MS`` later."""

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


NNG_TRANSPORT = Transport(NngListener, NngConnection)
