"""Tests of the HTTP server: the connection's socket, its stop and a port in use."""

from __future__ import annotations

import socket
import threading
import unittest
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import Any

import urllib3

from jackdawkeel.connections.limits import limit_internal
from jackdawkeel.connections.refusals import RefusalCounts
from jackdawkeel.errors import StartError
from jackdawkeel.wsgi_server import SOCKET_ENVIRON_KEY
from jackdawkeel.wsgi_server import WsgiServer
from tests.standins.processes import loopback_host
from tests.standins.processes import pick_address


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


WAIT_S = 20.0
# Time after which a caller resubmits a job whose connection was lost, in seconds.
RESUBMISSION_DELAY_S = 1.3


class WsgiServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.address = pick_address(loopback_host(1))
        host, port = self.address.rsplit(":", 1)
        self.entered = threading.Event()
        self.released = threading.Event()
        self.sockets: list[object] = []
        self.server = WsgiServer(
            host=host,
            port=int(port),
            threads=2,
            limits=limit_internal(100),
            application=self.respond,
            refusals=RefusalCounts(),
        )
        self.pool = urllib3.PoolManager(retries=False, timeout=WAIT_S)

    def respond(
        self, environment: dict[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Responds once the test has set ``released``."""
        self.sockets.append(environment[SOCKET_ENVIRON_KEY])
        self.entered.set()
        self.released.wait(WAIT_S)
        start_response("200 OK", [("Content-Length", "4")])
        return [b"done"]

    def get(self) -> bytes:
        """Sends a request and returns the body of the response."""
        return self.pool.request("GET", f"http://{self.address}/").data

    def test_disconnect_of_a_peer_whose_close_was_lost_is_probed_for(self) -> None:
        self.released.set()
        self.server.start()
        self.get()
        (connection,) = self.sockets
        assert isinstance(connection, socket.socket)
        self.assertTrue(connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
            interval_s = connection.getsockopt(socket.IPPROTO_TCP, option)
            self.assertLess(interval_s, RESUBMISSION_DELAY_S)
        self.server.stop()

    def test_environ_has_the_socket_of_the_connection(self) -> None:
        self.released.set()
        self.server.start()
        self.addCleanup(self.server.stop)
        self.assertEqual(b"done", self.get())
        self.assertIsInstance(self.sockets[0], socket.socket)

    def test_stop_waits_for_the_request_in_progress(self) -> None:
        self.server.start()
        with ThreadPoolExecutor(2) as threads:
            answer = threads.submit(self.get)
            self.assertTrue(self.entered.wait(WAIT_S))
            stopping = threads.submit(self.server.stop)
            self.released.set()
            self.assertEqual(b"done", answer.result(WAIT_S))
            stopping.result(WAIT_S)
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.get()

    def test_start_fails_if_the_address_is_in_use(self) -> None:
        host, port = self.address.rsplit(":", 1)
        with (
            socket.create_server((host, int(port))),
            self.assertRaises(StartError),
        ):
            self.server.start()
