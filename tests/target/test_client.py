"""What becomes of a task under each fault between an agent and its target."""

from __future__ import annotations

import socket
import threading
import time
import unittest
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from unittest import mock

from jackdawkeel.clock import read_boot_clock
from jackdawkeel.target import client as client_module
from jackdawkeel.target import connection as connection_module
from jackdawkeel.target.client import TargetClient
from jackdawkeel.target.client import TargetResult
from jackdawkeel.task_state import TaskState
from tests.standins.target import TargetStandIn


if TYPE_CHECKING:
    from collections.abc import Iterator


LONG_S = 30.0
SHORT_S = 0.3
NEVER = float("inf")
JOB_ID = "0123456789abcdef.1.0123456789abcdef01234567"


@dataclass(frozen=True, slots=True)
class ResponseRow:
    """What a target sends on a raw connection before it closes it."""

    name: str
    response: bytes
    state: TaskState
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class PayloadRow:
    """What a payload asks of the target stand-in."""

    name: str
    payload: bytes
    state: TaskState
    timeout_s: float = LONG_S


RESPONSE_TABLE = [
    ResponseRow("closed without a byte", b"", TaskState.UNKNOWN),
    ResponseRow("half a status line", b"HTTP/1.1 20", TaskState.UNKNOWN),
    ResponseRow("no HTTP", b"SSH-2.0-x\r\n\r\n", TaskState.UNKNOWN),
    ResponseRow("head cut off", b"HTTP/1.1 200 OK\r\nContent-Le", TaskState.UNKNOWN),
    ResponseRow(
        "whole body",
        b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"sum": 3}',
        TaskState.DONE,
        b'{"sum": 3}',
    ),
    ResponseRow(
        "whole body in chunks",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b'4\r\n{"a"\r\n3\r\n:1}\r\n0\r\n\r\n',
        TaskState.DONE,
        b'{"a":1}',
    ),
    ResponseRow(
        "status 201",
        b"HTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\n7",
        TaskState.DONE,
        b"7",
    ),
    ResponseRow(
        "body shorter than announced",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n12",
        TaskState.UNKNOWN,
    ),
    ResponseRow(
        "chunk cut off",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n12",
        TaskState.UNKNOWN,
    ),
    ResponseRow(
        "last chunk missing",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n",
        TaskState.UNKNOWN,
    ),
    ResponseRow(
        "whole body that is not JSON",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        TaskState.FAILED,
    ),
    ResponseRow(
        "whole body that is not UTF-8",
        b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"\xff\xfe"',
        TaskState.FAILED,
    ),
    ResponseRow("no content", b"HTTP/1.1 204 No Content\r\n\r\n", TaskState.FAILED),
    ResponseRow(
        "body of no stated length",
        b'HTTP/1.0 200 OK\r\n\r\n{"a":1}',
        TaskState.DONE,
        b'{"a":1}',
    ),
    ResponseRow(
        "bad body of no stated length",
        b'HTTP/1.0 200 OK\r\n\r\n{"a":',
        TaskState.UNKNOWN,
    ),
    ResponseRow(
        "number of no stated length", b"HTTP/1.0 200 OK\r\n\r\n12", TaskState.UNKNOWN
    ),
    ResponseRow(
        "redirect",
        b"HTTP/1.1 307 Moved\r\nLocation: /tasks/sum\r\nContent-Length: 0\r\n\r\n",
        TaskState.FAILED,
    ),
    ResponseRow(
        "refused by the target",
        b"HTTP/1.1 429 Busy\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n",
        TaskState.FAILED,
    ),
    ResponseRow(
        "server error",
        b"HTTP/1.1 503 Busy\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n",
        TaskState.FAILED,
    ),
    ResponseRow(
        "server error with its body cut off",
        b"HTTP/1.1 500 Error\r\nContent-Length: 50\r\n\r\nno",
        TaskState.FAILED,
    ),
]

PAYLOAD_TABLE = [
    PayloadRow("sum", b'{"sum": [1, 2]}', TaskState.DONE),
    PayloadRow("failure", b'{"fail": 500}', TaskState.FAILED),
    PayloadRow("bad request", b'{"fail": 400}', TaskState.FAILED),
    PayloadRow("close", b'{"close": true}', TaskState.UNKNOWN),
    PayloadRow("truncate", b'{"truncate": true}', TaskState.UNKNOWN),
    PayloadRow("hang", b'{"hang": true}', TaskState.UNKNOWN, SHORT_S),
]


class RawTarget:
    """Accepts connections one by one and sends the same bytes on each request."""

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
    """Starts one task under a permit that never ends."""
    return client.call(JOB_ID, 7, "nightly-counts", payload, NEVER, timeout_s)


class ResponseTableTest(unittest.TestCase):
    def test_each_response(self) -> None:
        for row in RESPONSE_TABLE:
            with (
                self.subTest(row.name),
                run_raw_target(row.response) as target,
                TargetClient(target.url, 1, read_boot_clock) as client,
            ):
                result = call(client)
                self.assertEqual(row.state, result.state, result.reason)
                self.assertEqual(row.body, result.body)
                self.assertEqual(row.state is TaskState.DONE, result.reason == "")
                self.assertEqual(1, len(target.requests))

    def test_each_payload(self) -> None:
        for row in PAYLOAD_TABLE:
            with (
                self.subTest(row.name),
                TargetStandIn() as target,
                TargetClient(target.url, 1, read_boot_clock) as client,
            ):
                result = call(client, row.payload, row.timeout_s)
                self.assertEqual(row.state, result.state, result.reason)
                self.assertEqual(1, len(target.starts))

    def test_body_over_the_limit(self) -> None:
        response = b'HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"0123456789"'
        with (
            mock.patch.object(client_module, "MAX_RESULT_BYTES", 11),
            run_raw_target(response) as target,
            TargetClient(target.url, 1, read_boot_clock) as client,
        ):
            result = call(client)
        self.assertEqual(TaskState.FAILED, result.state)
        self.assertEqual("the result is larger than 11 bytes", result.reason)

    def test_body_that_trickles_longer_than_the_timeout(self) -> None:
        ticks = iter([0.0, 0.0, 100.0, 100.0])
        response = b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{"a":1}'
        with (
            run_raw_target(response) as target,
            TargetClient(target.url, 1, lambda: next(ticks)) as client,
        ):
            result = call(client)
        self.assertEqual(TaskState.UNKNOWN, result.state, result.reason)


class NotStartedTest(unittest.TestCase):
    def test_connection_refused(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        with TargetClient(f"http://127.0.0.1:{port}", 1, read_boot_clock) as client:
            result = call(client)
        self.assertEqual(TaskState.NOT_STARTED, result.state, result.reason)
        self.assertEqual(0.0, result.elapsed_s)

    def test_connection_that_is_never_accepted(self) -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            with (
                socket.create_connection(address),
                TargetClient(f"http://127.0.0.1:{address[1]}", 1, time.time) as client,
            ):
                result = call(client, timeout_s=SHORT_S)
        self.assertEqual(TaskState.NOT_STARTED, result.state, result.reason)

    def test_all_connections_in_use(self) -> None:
        with (
            mock.patch.object(client_module, "POOL_TIMEOUT_S", 0),
            TargetStandIn() as target,
            TargetClient(target.url, 1, read_boot_clock) as client,
        ):
            connection = client.pool._get_conn()
            result = call(client)
            client.pool._put_conn(connection)
            self.assertEqual(TaskState.NOT_STARTED, result.state, result.reason)
            self.assertEqual([], target.starts)

    def test_closed_client(self) -> None:
        with TargetStandIn() as target:
            with TargetClient(target.url, 1, read_boot_clock) as client:
                pass
            result = call(client)
            self.assertEqual(TaskState.NOT_STARTED, result.state, result.reason)
            self.assertEqual([], target.starts)

    def test_permit_that_ends_while_the_connection_is_made(self) -> None:
        ticks = iter([0.0, 10.0])
        with (
            TargetStandIn() as target,
            TargetClient(target.url, 1, lambda: next(ticks)) as client,
        ):
            result = client.call(JOB_ID, 0, "sum", b"{}", 10.0, LONG_S)
            self.assertEqual(TaskState.NOT_STARTED, result.state)
            self.assertEqual("the permit has expired", result.reason)
            self.assertEqual([], target.starts)

    def test_permit_that_ended_on_a_reused_connection(self) -> None:
        with (
            TargetStandIn() as target,
            TargetClient(target.url, 1, read_boot_clock) as client,
        ):
            self.assertEqual(TaskState.DONE, call(client).state)
            result = client.call(JOB_ID, 0, "sum", b"{}", 0.0, LONG_S)
            self.assertEqual(TaskState.NOT_STARTED, result.state)
            self.assertEqual(TaskState.DONE, call(client).state)
            self.assertEqual(2, len(target.starts))


class RequestTest(unittest.TestCase):
    def test_request_as_sent(self) -> None:
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        with (
            run_raw_target(response) as target,
            TargetClient(f"{target.url}/v1/", 1, read_boot_clock) as client,
        ):
            client.call(JOB_ID, 7, "a/b ø", b"{}", NEVER, LONG_S)
        request = target.requests[0]
        self.assertTrue(request.startswith(b"POST /v1/tasks/a%2Fb%20%C3%B8 HTTP/1.1"))
        self.assertIn(f"\r\nTask-Id: {JOB_ID}/7\r\n".encode(), request)
        self.assertIn(b"\r\nContent-Type: application/json\r\n", request)
        self.assertTrue(request.endswith(b"\r\n\r\n{}"))

    def test_urls_that_are_refused(self) -> None:
        for url in ["https://127.0.0.1:1", "ftp://127.0.0.1", "http://", "target"]:
            with self.subTest(url), self.assertRaises(ValueError):
                TargetClient(url, 1, read_boot_clock)


class ReuseTest(unittest.TestCase):
    def test_connection_is_used_again_after_each_whole_response(self) -> None:
        with (
            TargetStandIn() as target,
            TargetClient(target.url, 4, read_boot_clock) as client,
        ):
            for payload in [b"{}", b'{"fail": 500}', b'{"fail": 302}', b"{}"]:
                call(client, payload)
            self.assertEqual(1, client.pool.num_connections)
            self.assertEqual(1, len(target.server.connections))

    def test_idle_connection_that_the_target_closed_is_replaced(self) -> None:
        with (
            TargetStandIn() as target,
            TargetClient(target.url, 1, read_boot_clock) as client,
        ):
            call(client)
            target.server.close_connections()
            wait_until_empty(target)
            self.assertEqual(TaskState.DONE, call(client).state)
            self.assertEqual(2, len(target.starts))

    def test_connection_that_was_idle_for_long_is_replaced(self) -> None:
        with (
            mock.patch.object(connection_module, "MAX_IDLE_S", 0.0),
            TargetStandIn() as target,
            TargetClient(target.url, 1, read_boot_clock) as client,
        ):
            ports = set()
            for _ in range(3):
                call(client)
                connection = client.pool._get_conn()
                ports.add(connection.sock.getsockname())  # type: ignore[attr-defined]
                client.pool._put_conn(connection)
        self.assertEqual(3, len(ports))

    def test_reused_connection_that_closes_on_the_request_is_unknown(self) -> None:
        with (
            TargetStandIn() as target,
            TargetClient(target.url, 1, read_boot_clock) as client,
        ):
            self.assertEqual(TaskState.DONE, call(client).state)
            result = call(client, b'{"close": true}')
            self.assertEqual(TaskState.UNKNOWN, result.state, result.reason)
            self.assertEqual(2, len(target.starts))
            self.assertEqual(TaskState.DONE, call(client).state)


def wait_until_empty(target: TargetStandIn) -> None:
    """Waits until the stand-in has no open connection."""
    give_up_at = time.monotonic() + LONG_S
    while target.server.connections:
        if time.monotonic() > give_up_at:
            raise TimeoutError("connections of the target stand-in stay open")
        time.sleep(0.005)


if __name__ == "__main__":
    unittest.main()
