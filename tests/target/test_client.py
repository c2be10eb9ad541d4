"""Tests of the result of a task under each fault between an agent and its target."""

from __future__ import annotations

import socket
import threading
import unittest
from contextlib import contextmanager
from dataclasses import dataclass
from http.client import HTTPConnection
from typing import TYPE_CHECKING
from unittest import mock

from jackdawkeel.clock import read_boot_clock
from jackdawkeel.target import client as client_module
from jackdawkeel.target import connection as connection_module
from jackdawkeel.target.client import TargetClient
from jackdawkeel.target.client import TargetResult
from jackdawkeel.task_state import TaskState
from tests.fakes import refusing_url
from tests.standins.processes import wait_until
from tests.standins.target import TargetStandIn


if TYPE_CHECKING:
    from collections.abc import Iterator

    from jackdawkeel.clock import Clock


LONG_S = 30.0
SHORT_S = 0.3
NEVER = float("inf")
JOB_ID = "0123456789abcdef.1.0123456789abcdef01234567"
DONE = TaskState.DONE
FAILED = TaskState.FAILED
NOT_STARTED = TaskState.NOT_STARTED
UNKNOWN = TaskState.UNKNOWN


def sized(body: bytes, length: int | None = None, status: bytes = b"200 OK") -> bytes:
    """Returns a response with a Content-Length, by default that of its body."""
    stated = len(body) if length is None else length
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, stated, body)


def chunked(body: bytes) -> bytes:
    """Returns a response with chunked transfer encoding."""
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body


def unsized(body: bytes) -> bytes:
    """Returns a response without framing, which ends when the connection closes."""
    return b"HTTP/1.0 200 OK\r\n\r\n" + body


@dataclass(frozen=True, slots=True)
class Row:
    """The bytes that a target sends before it closes the connection.

    Attributes:
        name: Name of the case.
        response: The bytes sent.
        state: Expected state of the task.
        body: Expected body of the result.
    """

    name: str
    response: bytes
    state: TaskState
    body: bytes = b""


RESPONSE_TABLE = [
    Row("closed without a byte", b"", UNKNOWN),
    Row("half a status line", b"HTTP/1.1 20", UNKNOWN),
    Row("no HTTP", b"SSH-2.0-x\r\n\r\n", UNKNOWN),
    Row("head cut off", b"HTTP/1.1 200 OK\r\nContent-Le", UNKNOWN),
    Row("whole body", sized(b'{"sum": 3}'), DONE, b'{"sum": 3}'),
    Row("in chunks", chunked(b'4\r\n{"a"\r\n3\r\n:1}\r\n0\r\n\r\n'), DONE, b'{"a":1}'),
    Row("status 201", sized(b"7", status=b"201 Created"), DONE, b"7"),
    Row("body shorter than announced", sized(b"12", 9), UNKNOWN),
    Row("chunk cut off", chunked(b"4\r\n12"), UNKNOWN),
    Row("last chunk missing", chunked(b"2\r\n12\r\n"), UNKNOWN),
    Row("whole body that is not JSON", sized(b"hello"), FAILED),
    Row("whole body that is not UTF-8", sized(b'"\xff\xfe"'), FAILED),
    Row("no content", b"HTTP/1.1 204 No Content\r\n\r\n", FAILED),
    Row("body of no stated length", unsized(b'{"a":1}'), DONE, b'{"a":1}'),
    Row("bad body of no stated length", unsized(b'{"a":'), UNKNOWN),
    Row("number of no stated length", unsized(b"12"), UNKNOWN),
    Row("redirect", sized(b"", 0, b"307 Moved\r\nLocation: /tasks/sum"), FAILED),
    Row("refused", sized(b"", 0, b"429 Busy\r\nRetry-After: 0"), FAILED),
    Row("server error", sized(b"", 0, b"503 Busy\r\nRetry-After: 0"), FAILED),
    Row("server error cut off", sized(b"no", 50, b"500 Error"), FAILED),
]

PAYLOAD_TABLE = [
    (b'{"sum": [1, 2]}', DONE, LONG_S),
    (b'{"fail": 500}', FAILED, LONG_S),
    (b'{"fail": 400}', FAILED, LONG_S),
    (b'{"close": true}', UNKNOWN, LONG_S),
    (b'{"truncate": true}', UNKNOWN, LONG_S),
    (b'{"hang": true}', UNKNOWN, SHORT_S),
]


class RawTarget:
    """A target that serves one connection at a time and always sends the same bytes."""

    def __init__(self, response: bytes) -> None:
        self.response = response
        self.requests: list[bytes] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"

    def serve(self) -> None:
        """Serves until the listener is closed."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                self.requests.append(read_request(connection))
                connection.sendall(self.response)


@contextmanager
def run_raw_target(response: bytes) -> Iterator[RawTarget]:
    """Runs a raw target in a thread."""
    target = RawTarget(response)
    thread = threading.Thread(target=target.serve)
    thread.start()
    try:
        yield target
    finally:
        target.listener.shutdown(socket.SHUT_RDWR)
        target.listener.close()
        thread.join()


def read_request(connection: socket.socket) -> bytes:
    """Reads a request whose payload is ``{}``."""
    request = b""
    while not request.endswith(b"{}") and (chunk := connection.recv(4096)):
        request += chunk
    return request


def call(
    client: TargetClient, payload: bytes = b"{}", timeout_s: float = LONG_S
) -> TargetResult:
    """Starts one task with a permit that never expires."""
    return client.call(JOB_ID, 7, "nightly-counts", payload, NEVER, timeout_s)


class TargetTestCase(unittest.TestCase):
    def open_client(
        self, url: str, connections: int = 1, clock: Clock = read_boot_clock
    ) -> TargetClient:
        """Returns a client that is closed after the test."""
        return self.enterContext(TargetClient(url, connections, clock))

    def start(
        self, connections: int = 1, clock: Clock = read_boot_clock
    ) -> tuple[TargetStandIn, TargetClient]:
        """Starts a stand-in target and a client that calls it."""
        target = self.enterContext(TargetStandIn())
        return target, self.open_client(target.url, connections, clock)

    def assert_state(self, state: TaskState, result: TargetResult) -> None:
        """Asserts the state of a task; shows the reason of the result on failure."""
        self.assertEqual(state, result.state, result.reason)


class ResponseTableTest(TargetTestCase):
    def test_each_response_gives_its_state_after_one_request(self) -> None:
        for row in RESPONSE_TABLE:
            with self.subTest(row.name), run_raw_target(row.response) as target:
                result = call(self.open_client(target.url))
                self.assert_state(row.state, result)
                self.assertEqual(row.body, result.body)
                self.assertEqual(row.state is DONE, result.reason == "")
                self.assertEqual(1, len(target.requests))

    def test_each_payload_gives_its_state_after_one_start(self) -> None:
        for payload, state, timeout_s in PAYLOAD_TABLE:
            with self.subTest(payload):
                target, client = self.start()
                self.assert_state(state, call(client, payload, timeout_s))
                self.assertEqual(1, len(target.starts))

    def test_body_over_the_limit_is_a_failure(self) -> None:
        self.enterContext(mock.patch.object(client_module, "MAX_RESULT_BYTES", 11))
        with run_raw_target(sized(b'"0123456789"')) as target:
            result = call(self.open_client(target.url))
        self.assertEqual(FAILED, result.state)
        self.assertEqual("the result is larger than 11 bytes", result.reason)

    def test_body_that_takes_longer_than_the_timeout_is_unknown(self) -> None:
        ticks = iter([0.0, 0.0, 100.0, 100.0])
        with run_raw_target(sized(b'{"a":1}')) as target:
            result = call(self.open_client(target.url, clock=lambda: next(ticks)))
        self.assert_state(UNKNOWN, result)


class NotStartedTest(TargetTestCase):
    def test_connection_refused_is_not_started(self) -> None:
        with refusing_url() as url:
            result = call(self.open_client(url))
        self.assert_state(NOT_STARTED, result)
        self.assertEqual(0.0, result.elapsed_s)

    def test_connection_that_is_never_accepted_is_not_started(self) -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            with socket.create_connection(address):
                client = self.open_client(f"http://127.0.0.1:{address[1]}")
                result = call(client, timeout_s=SHORT_S)
        self.assert_state(NOT_STARTED, result)

    def test_no_free_connection_is_not_started(self) -> None:
        self.enterContext(mock.patch.object(client_module, "POOL_WAIT_TIMEOUT_S", 0))
        target, client = self.start()
        connection = client.pool._get_conn()
        result = call(client)
        client.pool._put_conn(connection)
        self.assert_state(NOT_STARTED, result)
        self.assertEqual([], target.starts)

    def test_call_of_a_closed_client_is_not_started(self) -> None:
        target, client = self.start()
        client.__exit__(None, None, None)
        self.assert_state(NOT_STARTED, call(client))
        self.assertEqual([], target.starts)

    def test_permit_that_expires_while_connecting_is_not_started(self) -> None:
        ticks = iter([0.0, 10.0])
        target, client = self.start(clock=lambda: next(ticks))
        result = client.call(JOB_ID, 0, "sum", b"{}", 10.0, LONG_S)
        self.assertEqual(NOT_STARTED, result.state)
        self.assertEqual("the permit has expired", result.reason)
        self.assertEqual([], target.starts)

    def test_expired_permit_on_a_reused_connection_is_not_started(self) -> None:
        target, client = self.start()
        self.assertEqual(DONE, call(client).state)
        result = client.call(JOB_ID, 0, "sum", b"{}", 0.0, LONG_S)
        self.assertEqual(NOT_STARTED, result.state)
        self.assertEqual(DONE, call(client).state)
        self.assertEqual(2, len(target.starts))


class RequestTest(TargetTestCase):
    def test_request_has_the_expected_path_headers_and_body(self) -> None:
        with run_raw_target(sized(b"{}")) as target:
            client = self.open_client(f"{target.url}/v1/")
            client.call(JOB_ID, 7, "a/b ø", b"{}", NEVER, LONG_S)
        request = target.requests[0]
        self.assertTrue(request.startswith(b"POST /v1/tasks/a%2Fb%20%C3%B8 HTTP/1.1"))
        self.assertIn(f"\r\nTask-Id: {JOB_ID}/7\r\n".encode(), request)
        self.assertIn(b"\r\nContent-Type: application/json\r\n", request)
        self.assertTrue(request.endswith(b"\r\n\r\n{}"))

    def test_headers_and_body_are_sent_in_one_call_after_the_permit_check(self) -> None:
        steps: list[str] = []
        send_bytes = HTTPConnection.send

        def read_clock() -> float:
            steps.append("clock")
            return 0.0

        def send(connection: HTTPConnection, data: bytes) -> None:
            steps.append("send")
            send_bytes(connection, data)

        target, client = self.start(clock=read_clock)
        with mock.patch.object(HTTPConnection, "send", send):
            self.assert_state(DONE, call(client))
        self.assertEqual(["clock", "clock", "send"], steps[:3])
        self.assertEqual(1, steps.count("send"))
        self.assertEqual(1, len(target.starts))

    def test_urls_other_than_http_with_a_host_are_refused(self) -> None:
        for url in ["https://127.0.0.1:1", "ftp://127.0.0.1", "http://", "target"]:
            with self.subTest(url), self.assertRaises(ValueError):
                TargetClient(url, 1, read_boot_clock)


class ReuseTest(TargetTestCase):
    def test_connection_is_reused_after_each_complete_response(self) -> None:
        target, client = self.start(4)
        for payload in [b"{}", b'{"fail": 500}', b'{"fail": 302}', b"{}"]:
            call(client, payload)
        self.assertEqual(1, client.pool.num_connections)
        self.assertEqual(1, len(target.server.connections))

    def test_idle_connection_that_the_target_closed_is_replaced(self) -> None:
        target, client = self.start()
        call(client)
        target.server.close_connections()
        wait_until(lambda: not target.server.connections, "no connection", LONG_S)
        self.assertEqual(DONE, call(client).state)
        self.assertEqual(2, len(target.starts))

    def test_connection_that_was_idle_too_long_is_replaced(self) -> None:
        self.enterContext(mock.patch.object(connection_module, "MAX_IDLE_TIME_S", 0.0))
        _, client = self.start()
        ports = set()
        for _ in range(3):
            call(client)
            connection = client.pool._get_conn()
            ports.add(connection.sock.getsockname())  # type: ignore[attr-defined]
            client.pool._put_conn(connection)
        self.assertEqual(3, len(ports))

    def test_reused_connection_that_closes_on_the_request_is_unknown(self) -> None:
        target, client = self.start()
        self.assertEqual(DONE, call(client).state)
        self.assert_state(UNKNOWN, call(client, b'{"close": true}'))
        self.assertEqual(2, len(target.starts))
        self.assertEqual(DONE, call(client).state)
