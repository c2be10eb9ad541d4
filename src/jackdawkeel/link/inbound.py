"""The NNG socket that receives the envelopes of all peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pynng

from ..errors import StartError
from .limits import MAX_ENVELOPE_BYTES


if TYPE_CHECKING:
    from collections.abc import Callable


RECEIVE_BUFFER_ENVELOPES = 256
MAX_ENVELOPES_PER_WAKEUP = 100


class NngListener:
    """A Pull socket that is read on the event loop."""

    def __init__(
        self,
        address: str,
        receive: Callable[[bytes], None],
        _reject: Callable[[str, str], None],
    ) -> None:
        """Listens on a link address.

        Args:
            address: Link address, ``tcp://IP:PORT``.
            receive: Called with each envelope.

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
