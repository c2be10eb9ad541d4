"""Links over TCP streams on the event loop.

A frame is the length of an envelope in four bytes, big-endian, and the envelope. Each
connection carries the envelopes of one session in one direction.
"""

from __future__ import annotations

import asyncio
import socket
from functools import partial
from typing import TYPE_CHECKING
from typing import Self

from ..errors import StartError
from ..policy.connection_choice import choose_largest
from .address import split_link_address
from .limits import MAX_ENVELOPE_BYTES
from .limits import RECONNECT_MAX_MS
from .limits import RECONNECT_MIN_MS
from .limits import SEND_BUFFER_ENVELOPES
from .transport import Transport


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..connections.limits import LinkLimits


LENGTH_BYTES = 4
READ_BUFFER_BYTES = 64 * 1024
# Bytes that wait for a slow peer; beyond it the link node keeps the batches itself.
MAX_WRITE_BUFFER_BYTES = 256 * 1024
LISTEN_BACKLOG = 1024
# Pause after an error of accept, such as a lack of descriptors.
ACCEPT_RETRY_DELAY_S = 0.5
# A connection whose peer has disappeared is closed after these probes, in 30 s; a
# redialled link would otherwise leave a descriptor open for each lost connection.
KEEPALIVE_IDLE_S = 15
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
# Time before which a retry does not replace an attempt to connect: one that has failed
# already, and one that waits for a reply. A slow path must not keep it from succeeding.
MIN_ATTEMPT_MS = 100
STUCK_ATTEMPT_MS = 1000
MS_PER_S = 1000


class StreamListener:
    """Accepts connections and passes on the envelopes that arrive on them.

    Attributes:
        limits: Limits of the connections.
        connections: The open connections, the oldest first.
        partial_bytes: Bytes of incomplete frames that they hold together.
        opening: Accepted connections that are being set up.
        read_buffer: Buffer into which the data of any connection is read.
    """

    def __init__(
        self,
        address: str,
        receive: Callable[[bytes], bool],
        reject: Callable[[str, str, str], None],
        limits: LinkLimits,
    ) -> None:
        """Listens on a link address.

        Args:
            address: Link address.
            receive: Called with each envelope; returns whether it is valid.
            reject: Called with the reason, the peer and details if a connection can't
                be accepted, or is closed because of its data or a limit.
            limits: Limits of the connections.

        Raises:
            StartError: If the address can't be listened on.
        """
        self.receive = receive
        self.reject = reject
        self.limits = limits
        self.connections: dict[InboundStream, asyncio.Transport] = {}
        self.partial_bytes = 0
        self.is_closed = False
        self.read_buffer = bytearray(READ_BUFFER_BYTES)
        self.socket = socket.socket()
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.socket.bind(split_link_address(address))
            self.socket.listen(LISTEN_BACKLOG)
        except OSError as error:
            self.socket.close()
            raise StartError(f"can't listen on {address}: {error}") from error
        self.socket.setblocking(False)
        self.loop = asyncio.get_running_loop()
        self.opening: set[asyncio.Task[None]] = set()
        self._resume()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Stops listening and closes the accepted connections."""
        if self.is_closed:
            return
        self.is_closed = True
        self.loop.remove_reader(self.socket)
        self.socket.close()
        for task in self.opening:
            task.cancel()
        for connection in list(self.connections.values()):
            connection.abort()

    def _resume(self) -> None:
        if not self.is_closed:
            self.loop.add_reader(self.socket, self._accept)

    def _accept(self) -> None:
        try:
            accepted, _ = self.socket.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        except OSError as error:
            # Without a free descriptor the socket stays readable.
            self.reject("accept_failed", "", str(error))
            self.loop.remove_reader(self.socket)
            self.loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume)
            return
        if not self._make_room():
            accepted.close()
            return
        accepted.setblocking(False)
        task = self.loop.create_task(self._open(accepted))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    def _make_room(self) -> bool:
        """Returns whether another connection may be held.

        One that has sent no valid envelope gives way to a new one.
        """
        held = len(self.connections) + len(self.opening)
        if held < self.limits.max_connections:
            return True
        for stream in self.connections:
            if not stream.is_established:
                stream.reject("connections", "too many connections")
                return True
        self.reject("connections", "", "too many connections")
        return False

    def limit_memory(self) -> None:
        """Closes the connections with the largest incomplete frames over the limit."""
        while self.partial_bytes > self.limits.memory_bytes:
            sizes = ((len(stream.partial), stream) for stream in self.connections)
            largest = choose_largest(sizes, min_bytes=1)
            if largest is None:
                return
            largest.reject(
                "memory", f"incomplete frame of {len(largest.partial)} bytes"
            )

    async def _open(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(
                lambda: InboundStream(self), accepted
            )
        except OSError:
            accepted.close()


class InboundStream(asyncio.BufferedProtocol):
    """Splits the data of one accepted connection into envelopes.

    Attributes:
        partial: The beginning of a frame whose end has not arrived.
        is_established: Whether it has sent a valid envelope.
    """

    def __init__(self, listener: StreamListener) -> None:
        self.listener = listener
        self.partial = bytearray()
        self.is_established = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.listener.is_closed:
            transport.abort()
            return
        self.listener.connections[self] = transport
        enable_keepalive(transport.get_extra_info("socket"))

    def connection_lost(self, _error: Exception | None) -> None:
        """Discards an incomplete frame with the connection."""
        self.listener.connections.pop(self, None)
        self._clear()

    def get_buffer(self, _size_hint: int) -> bytearray:
        """Returns the buffer for the next read."""
        return self.listener.read_buffer

    def buffer_updated(self, count: int) -> None:
        """Passes on the envelopes that are complete."""
        if self.transport.is_closing():
            return
        self.partial += memoryview(self.listener.read_buffer)[:count]
        self.listener.partial_bytes += count
        begin = 0
        while (end := self._find_end(begin)) is not None:
            if end - begin - LENGTH_BYTES > MAX_ENVELOPE_BYTES:
                length = end - begin - LENGTH_BYTES
                self.reject("oversized", f"frame of {length} bytes")
                return
            if end > len(self.partial):
                break
            body = bytes(self.partial[begin + LENGTH_BYTES : end])
            self.is_established |= self.listener.receive(body)
            begin = end
        del self.partial[:begin]
        self.listener.partial_bytes -= begin
        self.listener.limit_memory()

    def _find_end(self, begin: int) -> int | None:
        body = begin + LENGTH_BYTES
        if len(self.partial) < body:
            return None
        return body + int.from_bytes(self.partial[begin:body])

    def reject(self, reason: str, details: str) -> None:
        """Closes the connection at once, because of its data or a limit."""
        peer = self.transport.get_extra_info("peername")
        self.listener.connections.pop(self, None)
        self._clear()
        self.transport.abort()
        self.listener.reject(reason, str(peer), details)

    def _clear(self) -> None:
        self.listener.partial_bytes -= len(self.partial)
        self.partial.clear()


class StreamConnection(asyncio.Protocol):
    """An outgoing connection that is established at most once in its lifetime.

    It is not replaced after a loss, so that the envelopes of one session stay in order
    and none is sent twice.

    Attributes:
        unsent: Frames that wait until the connection is established.
        is_refused: Whether no process listened at the last attempt to connect.
        begun_at: When the first attempt, or the last retry, was begun.
        is_pausing: Whether the last attempt has failed and the next one waits.
    """

    def __init__(
        self, source_ip: str, destination: str, on_lost: Callable[[], None]
    ) -> None:
        """Starts to connect in the background, until it succeeds or is closed.

        Args:
            source_ip: IP to connect from.
            destination: Link address.
            on_lost: Called when the established connection is lost.
        """
        self.on_lost = on_lost
        self.unsent: list[bytes] = []
        self.transport: asyncio.Transport | None = None
        self.is_lost = False
        self.is_closed = False
        self.is_refused = False
        self.source_ip = source_ip
        self.destination = destination
        self._begin()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _begin(self) -> None:
        loop = asyncio.get_running_loop()
        self.begun_at = loop.time()
        self.is_pausing = False
        self.connecting = loop.create_task(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = split_link_address(self.destination)
        pause_ms = RECONNECT_MIN_MS
        while True:
            self.is_pausing = False
            try:
                await loop.create_connection(
                    lambda: self, host, port, local_addr=(self.source_ip, 0)
                )
            except OSError as error:
                self.is_refused = isinstance(error, ConnectionRefusedError)
                self.is_pausing = True
                await asyncio.sleep(pause_ms / MS_PER_S)
                pause_ms = min(2 * pause_ms, RECONNECT_MAX_MS)
            else:
                return

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the frames that have been waiting."""
        assert isinstance(transport, asyncio.Transport)
        if self.is_closed:
            transport.abort()
            return
        self.transport = transport
        self.is_refused = False
        enable_keepalive(transport.get_extra_info("socket"))
        if self.unsent:
            transport.write(b"".join(self.unsent))
            self.unsent.clear()

    def connection_lost(self, _error: Exception | None) -> None:
        """Reports the loss."""
        self.is_lost = True
        if not self.is_closed:
            self.on_lost()

    def send(self, body: bytes) -> bool:
        """Sends one envelope unless that blocks; returns whether it was accepted."""
        if self.is_lost or self.is_closed:
            return False
        frame = len(body).to_bytes(LENGTH_BYTES) + body
        if self.transport is None:
            if len(self.unsent) >= SEND_BUFFER_ENVELOPES:
                return False
            self.unsent.append(frame)
            return True
        is_full = self.transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES
        if is_full or self.transport.is_closing():
            return False
        self.transport.write(frame)
        return True

    def retry(self) -> None:
        """Tries at once to connect, if it has not; the peer is known to run.

        An attempt may wait for its next turn, or for the reply to a packet that was
        lost while the peer had no power.
        """
        if self.transport is not None or self.is_closed:
            return
        age_s = asyncio.get_running_loop().time() - self.begun_at
        min_age_ms = MIN_ATTEMPT_MS if self.is_pausing else STUCK_ATTEMPT_MS
        if age_s >= min_age_ms / MS_PER_S:
            self.connecting.cancel()
            self._begin()

    def close(self) -> None:
        """Closes the connection; frames that the kernel has not taken are lost."""
        self.is_closed = True
        self.connecting.cancel()
        if self.transport is not None:
            self.transport.abort()


def enable_keepalive(connection: socket.socket) -> None:
    """Enables keep-alive probes on a connection."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def make_stream_transport(limits: LinkLimits) -> Transport:
    """Returns the transport of a process whose accepted links have limits."""
    return Transport(partial(StreamListener, limits=limits), StreamConnection)
