"""Tests of the intake: time limits, connections that give way, answers taken late."""

from __future__ import annotations

import socket
import threading
import unittest
from typing import TYPE_CHECKING
from typing import Any
from unittest.mock import patch

from jackdawkeel.connections import waiting_connections
from jackdawkeel.connections.limits import MIB
from jackdawkeel.connections.limits import ListenerLimits
from jackdawkeel.connections.refusals import RefusalCounts
from jackdawkeel.policy.connection_choice import ConnectionPhase
from jackdawkeel.wsgi_server import WsgiServer
from tests.standins.processes import loopback_host
from tests.standins.processes import pick_address
from tests.standins.processes import wait_until


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


MAX_CONNECTIONS = 3
MEMORY_BYTES = 2 * MIB
# More than the buffers of the system hold.
LARGE_ANSWER_BYTES = 16 * MIB
SHORT_TIMEOUT_S = 0.2
WAIT_S = 20.0
REQUEST = b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n"


class IntakeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.host, _, port = pick_address(loopback_host(1)).rpartition(":")
        self.port = int(port)
        self.refusals = RefusalCounts()
        self.released = threading.Event()
        self.server = WsgiServer(
            host=self.host,
            port=self.port,
            threads=MAX_CONNECTIONS,
            limits=ListenerLimits(MAX_CONNECTIONS, MEMORY_BYTES, MIB),
            application=self.respond,
            refusals=self.refusals,
        )
        self.server.start()
        self.addCleanup(self.server.stop)
        self.addCleanup(self.released.set)

    def respond(
        self, environment: dict[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Waits for ``released`` or responds with many bytes, by the path."""
        path = environment["PATH_INFO"]
        if path == "/wait":
            self.released.wait(WAIT_S)
        body = b"a" * LARGE_ANSWER_BYTES if path == "/large" else b"done"
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    def connect(self) -> socket.socket:
        """Returns a new connection."""
        connection = socket.create_connection((self.host, self.port), WAIT_S)
        return self.enterContext(connection)

    def limit_time(self, phase: ConnectionPhase) -> None:
        """Shortens the time limit of a phase."""
        limits = {phase: SHORT_TIMEOUT_S}
        self.enterContext(patch.dict(waiting_connections.TIMEOUT_S, limits))

    def wait_for_refusals(self, **counts: int) -> None:
        """Waits until refusals have been counted."""
        wait_until(lambda: self.refusals.read() == counts, f"{counts}")

    def test_message_that_is_not_complete_in_time_is_refused(self) -> None:
        self.limit_time(ConnectionPhase.RECEIVING)
        connection = self.connect()
        connection.sendall(REQUEST[:20])
        self.assertTrue(read_all(connection).startswith(b"HTTP/1.1 408 "))
        self.wait_for_refusals(message_timeout=1)

    def test_idle_connections_end(self) -> None:
        self.limit_time(ConnectionPhase.NEW)
        self.limit_time(ConnectionPhase.KEPT)
        new, kept = self.connect(), self.connect()
        kept.sendall(REQUEST % b"")
        self.assertEqual(b"", read_all(new))
        self.assertTrue(read_all(kept).endswith(b"done"))
        self.assertEqual({}, self.refusals.read())

    def test_answer_that_is_not_taken_ends_its_connection(self) -> None:
        self.limit_time(ConnectionPhase.ANSWERING)
        connection = self.connect()
        connection.sendall(REQUEST % b"large")
        self.wait_for_refusals(answer_timeout=1)

    def test_answer_larger_than_the_memory_is_whole(self) -> None:
        connection = self.connect()
        connection.sendall(REQUEST % b"large")
        wait_until(lambda: self.intake.memory.is_exceeded, "an answer to be held")
        other = self.connect()
        other.sendall(REQUEST % b"")
        self.assertIn(b"done", other.recv(1000))
        connection.sendall(b"GET / HTTP/1.0\r\n\r\n")
        answers = read_all(connection)
        self.assertEqual(LARGE_ANSWER_BYTES, answers.count(b"a" * MIB) * MIB)
        self.assertTrue(answers.endswith(b"done"))

    def test_the_oldest_idle_connection_gives_way(self) -> None:
        connections = [self.connect() for _ in range(MAX_CONNECTIONS + 1)]
        self.assertEqual(b"", read_all(connections[0]))
        for connection in connections[1:]:
            connection.sendall(REQUEST % b"")
            self.assertIn(b"done", connection.recv(1000))
        self.assertEqual({"connections": 1}, self.refusals.read())

    def test_connections_wait_while_threads_handle_all_others(self) -> None:
        handled = [self.connect() for _ in range(MAX_CONNECTIONS)]
        for connection in handled:
            connection.sendall(REQUEST % b"wait")
        wait_until(self.are_all_handled, "threads to handle all connections")
        another = self.connect()
        another.sendall(REQUEST % b"")
        wait_until(lambda: self.intake.is_paused, "the listener to pause")
        self.released.set()
        self.assertIn(b"done", another.recv(1000))

    def are_all_handled(self) -> bool:
        """Returns whether threads handle as many connections as may be held."""
        count = len(self.intake.connections)
        return count == MAX_CONNECTIONS and not self.intake.waiting.phases

    @property
    def intake(self) -> Any:
        """The connections of the server."""
        return self.server.server._connections

    def test_no_bytes_are_counted_without_connections(self) -> None:
        for path in (b"", b"large"):
            connection = self.connect()
            connection.sendall(REQUEST % path)
            connection.recv(1000)
            connection.close()
        connection = self.connect()
        connection.sendall(b"POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\nabc")
        wait_until(lambda: self.intake.memory.held_bytes > 0, "bytes to be held")
        connection.close()
        wait_until(lambda: not self.intake.connections, "all connections to end")
        self.assertEqual(0, self.intake.memory.held_bytes)


def read_all(connection: socket.socket) -> bytes:
    """Returns all bytes until the server closes the connection."""
    pieces = []
    while piece := connection.recv(MIB):
        pieces.append(piece)
    return b"".join(pieces)
