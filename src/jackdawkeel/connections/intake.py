"""Accepts the connections of HTTP clients and reads their messages.

A thread of the server gets a connection only once a message is complete, and returns it
with the answer. A client that is slow to send or to read therefore holds no thread.
"""

from __future__ import annotations

import logging
import selectors
import socket
import time
from contextlib import suppress
from threading import Lock
from typing import TYPE_CHECKING

from ..errors import DispatchError
from ..errors import ErrorKind
from ..policy.connection_choice import ConnectionPhase
from .client_connection import ClientConnection
from .message_memory import MessageMemory
from .refusals import MessageError
from .refusals import RefusalCause
from .waiting_connections import WaitingConnections


if TYPE_CHECKING:
    from collections.abc import Callable

    from cheroot.server import HTTPServer

    from .limits import ListenerLimits
    from .refusals import RefusalCounts


RECEIVE_BYTES = 64 * 1024
# Time after which a listener is checked that has no room for a connection.
PAUSE_POLL_INTERVAL_S = 0.02
# Pause after an error of accept, such as a lack of descriptors.
ACCEPT_RETRY_DELAY_S = 0.05
STOP_POLL_INTERVAL_S = 0.01
# For answers that clients have not taken when the server stops, in total.
STOP_SEND_TIMEOUT_S = 1.0

TIMED_OUT = DispatchError(ErrorKind.REQUEST_TIMEOUT, "the message took too long")
OUT_OF_MEMORY = DispatchError(
    ErrorKind.ENTRY_BUSY, "the messages of all clients take too much memory"
)
OUT_OF_CONNECTIONS = DispatchError(
    ErrorKind.ENTRY_BUSY, "there are too many connections"
)


class ConnectionIntake:
    """The connections of one listener; replaces the manager that cheroot has.

    Attributes:
        connections: All open connections.
        waiting: Those that wait for their clients; the others are handled by a thread.
        memory: Memory of the messages and answers that they hold.
        receive_buffer: Buffer into which the bytes of any connection are received.
        lock: Held while a connection starts or stops to wait.
    """

    def __init__(
        self, server: HTTPServer, limits: ListenerLimits, refusals: RefusalCounts
    ) -> None:
        self.server = server
        self.limits = limits
        self.refusals = refusals
        self.connections: set[ClientConnection] = set()
        self.waiting = WaitingConnections(time.monotonic)
        self.memory = MessageMemory(limits.memory_bytes)
        self.receive_buffer = bytearray(RECEIVE_BYTES)
        self.is_serving = False
        self.is_stopping = False
        self.is_paused = False
        self.lock = Lock()
        self.listener: socket.socket = server.socket
        self.listener.setblocking(False)
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ)

    # Lifecycle, as the server calls it.

    def run(self, expiration_interval: float) -> None:
        """Serves connections until ``stop``.

        Args:
            expiration_interval: Longest time between two checks of the time limits, in
                seconds.
        """
        self.is_serving = True
        try:
            while not self.is_stopping:
                wait_s = self._limit_wait(expiration_interval)
                for key, _ in self.selector.select(wait_s):
                    if key.data is None:
                        self._accept()
                    else:
                        self._serve(key.data)
                for connection in self.waiting.list_expired():
                    self._expire(connection)
        finally:
            self.is_serving = False

    def stop(self) -> None:
        """Stops ``run``; blocks until it has returned."""
        self.is_stopping = True
        while self.is_serving:
            time.sleep(STOP_POLL_INTERVAL_S)

    def close(self) -> None:
        """Closes the connections that no thread handles."""
        until = time.monotonic() + STOP_SEND_TIMEOUT_S
        for connection in self.waiting.list_all():
            if connection.output.data:
                _send_before_stop(connection, until)
            self._end(connection)
        self.selector.close()

    def put(self, connection: ClientConnection) -> None:
        """Takes a connection back from a thread that has handled its message."""
        if self.is_stopping:
            _send_before_stop(connection, time.monotonic() + STOP_SEND_TIMEOUT_S)
            connection.close()
            return
        self._guard(connection, self._continue)

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether a connection may be kept after its answer."""
        limit: int | None = self.server.keep_alive_conn_limit
        kept = self.waiting.by_phase[ConnectionPhase.KEPT]
        return limit is None or len(kept) < limit

    # Events of connections.

    def _accept(self) -> None:
        if not self._has_room():
            self._pause()
            return
        try:
            accepted, address = self.listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        except OSError as error:
            # Closing a connection releases a descriptor for the next attempt. Without
            # one the listener stays readable.
            self.server.error_log(f"accept failed: {error}", level=logging.WARNING)
            self._end_oldest()
            time.sleep(ACCEPT_RETRY_DELAY_S)
            return
        accepted.setblocking(False)
        connection = ClientConnection(
            self.server,
            accepted,
            max_body_bytes=self.limits.max_body_bytes,
            memory=self.memory,
            refusals=self.refusals,
            on_close=self.connections.discard,
        )
        connection.remote_addr, connection.remote_port = address[:2]
        self.connections.add(connection)
        # The first message often arrives together with the connection.
        self._guard(connection, self._receive)

    def _serve(self, connection: ClientConnection) -> None:
        match self.waiting.find_phase(connection):
            case None:
                # An earlier event of the same call of the selector has ended it.
                return
            case ConnectionPhase.ANSWERING:
                self._guard(connection, self._continue)
            case ConnectionPhase.LINGERING:
                self._guard(connection, self._linger)
            case _:
                self._guard(connection, self._receive)

    def _guard(
        self, connection: ClientConnection, step: Callable[[ClientConnection], None]
    ) -> None:
        """Takes a step; an error ends only this connection."""
        try:
            step(connection)
        except (OSError, EOFError):
            self._end(connection)
        except Exception as error:
            self.server.error_log(repr(error), level=logging.ERROR, traceback=True)
            self._end(connection)

    def _receive(self, connection: ClientConnection) -> None:
        count = connection.receive(self.receive_buffer)
        if not count:
            self._wait_for_message(connection)
            return
        with memoryview(self.receive_buffer) as received:
            is_valid = self._read(connection, received[:count])
        if is_valid and self._limit_memory(connection):
            self._advance(connection)

    def _linger(self, connection: ClientConnection) -> None:
        if not connection.discard_input(self.receive_buffer):
            self._end(connection)

    def _expire(self, connection: ClientConnection) -> None:
        match self.waiting.find_phase(connection):
            case ConnectionPhase.RECEIVING:
                self._refuse(connection, RefusalCause.MESSAGE_TIMEOUT, TIMED_OUT)
                return
            case ConnectionPhase.ANSWERING:
                self._refuse(connection, RefusalCause.ANSWER_TIMEOUT, TIMED_OUT)
                return
        self._end(connection)

    # Steps of a connection, on the selector's thread or on the one that handled it.

    def _read(self, connection: ClientConnection, data: bytes | memoryview) -> bool:
        """Reads a message from received bytes; returns whether they are valid."""
        try:
            connection.message = connection.reader.feed(data)
        except MessageError as error:
            self._refuse(connection, error.cause, error.error)
            return False
        connection.update_memory()
        return True

    def _advance(self, connection: ClientConnection) -> None:
        """Passes a complete message to a thread, or waits for its rest."""
        if connection.message is None:
            connection.send_interim_response()
            self._wait_for_message(connection)
            return
        self._stop_waiting(connection)
        self.server.process_conn(connection)

    def _continue(self, connection: ClientConnection) -> None:
        """Sends the output, and then ends the connection or reads its next message."""
        is_sent = connection.send_output()
        connection.update_memory()
        if not is_sent:
            self._wait(connection, ConnectionPhase.ANSWERING)
        elif connection.is_refused:
            connection.socket.shutdown(socket.SHUT_WR)
            self._wait(connection, ConnectionPhase.LINGERING)
        elif not connection.keep_open:
            self._end(connection)
        elif self._read(connection, b""):
            self._advance(connection)

    def _refuse(
        self, connection: ClientConnection, cause: RefusalCause, error: DispatchError
    ) -> None:
        """Refuses a message, or ends a connection that has taken half of an answer."""
        if connection.output.data:
            self.refusals.count(cause)
            self._end(connection)
            return
        connection.refuse(cause, error)
        self._guard(connection, self._continue)

    # Limits that all connections share; only on the selector's thread.

    def _limit_memory(self, current: ClientConnection) -> bool:
        """Refuses the largest messages; returns whether the current one may go on."""
        while self.memory.is_exceeded:
            largest = self.waiting.find_largest(current)
            if largest is None or self._is_only_answer(largest):
                return True
            self._refuse(largest, RefusalCause.MEMORY, OUT_OF_MEMORY)
            if largest is current:
                return False
        return True

    def _is_only_answer(self, largest: ClientConnection) -> bool:
        """Returns whether an answer alone exceeds the limit; it is delivered."""
        others = self.memory.held_bytes - largest.held_bytes
        is_answer = self.waiting.find_phase(largest) is ConnectionPhase.ANSWERING
        return is_answer and others <= self.limits.memory_bytes

    def _has_room(self) -> bool:
        """Returns whether another connection may be held; one may give way to it."""
        if len(self.connections) < self.limits.max_connections:
            return True
        return self._end_oldest()

    def _end_oldest(self) -> bool:
        """Ends the connection that gives way to a new one; returns whether one did."""
        oldest = self.waiting.find_oldest()
        if oldest is None:
            return False
        if self.waiting.find_phase(oldest) is ConnectionPhase.RECEIVING:
            self._refuse(oldest, RefusalCause.CONNECTIONS, OUT_OF_CONNECTIONS)
        else:
            self.refusals.count(RefusalCause.CONNECTIONS)
        self._end(oldest)
        return True

    def _pause(self) -> None:
        """Leaves new connections to the system while threads handle all that are held.

        Callers that wait long for answers have only a part of the connections, so
        others become free soon.
        """
        self.is_paused = True
        self.selector.unregister(self.listener)

    def _limit_wait(self, seconds: float) -> float:
        """Returns how long to wait for events; accepts connections again."""
        if not self.is_paused:
            return seconds
        if len(self.connections) < self.limits.max_connections or self.waiting.phases:
            self.is_paused = False
            self.selector.register(self.listener, selectors.EVENT_READ)
            return seconds
        return PAUSE_POLL_INTERVAL_S

    # What a connection waits for, and for which event.

    def _wait_for_message(self, connection: ClientConnection) -> None:
        if connection.reader.has_begun:
            phase = ConnectionPhase.RECEIVING
        elif connection.has_answered:
            phase = ConnectionPhase.KEPT
        else:
            phase = ConnectionPhase.NEW
        if self.waiting.find_phase(connection) is not phase:
            self._wait(connection, phase)

    def _wait(self, connection: ClientConnection, phase: ConnectionPhase) -> None:
        """Puts a connection into a phase.

        This comes last in a step, because the selector's thread may then use it.
        """
        events = selectors.EVENT_READ
        if phase is ConnectionPhase.ANSWERING:
            events = selectors.EVENT_WRITE
        with self.lock:
            self.waiting.enter(connection, phase)
            if not connection.events:
                self.selector.register(connection.socket, events, connection)
            elif connection.events != events:
                self.selector.modify(connection.socket, events, connection)
            connection.events = events

    def _stop_waiting(self, connection: ClientConnection) -> None:
        with self.lock:
            self.waiting.leave(connection)
            if connection.events:
                self.selector.unregister(connection.socket)
                connection.events = 0

    def _end(self, connection: ClientConnection) -> None:
        if not connection.is_closed:
            self._stop_waiting(connection)
            connection.close()


def _send_before_stop(connection: ClientConnection, until: float) -> None:
    """Sends the output of a connection that is closed because the server stops."""
    with suppress(OSError):
        connection.socket.settimeout(max(0.0, until - time.monotonic()))
        connection.socket.sendall(connection.output.data)
