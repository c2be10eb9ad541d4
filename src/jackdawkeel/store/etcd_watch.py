"""Watches keys through the etcd v3 JSON gateway; resumes without missing changes."""

from __future__ import annotations

import threading
from http.client import HTTPException
from typing import TYPE_CHECKING
from typing import Self

import msgspec
from result import Err
from result import Ok
from result import Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.exceptions import ReadTimeoutError

from ..decode_errors import DECODE_ERRORS
from . import etcd_wire as wire
from .call_counter import CallCounter
from .call_counter import CallKind
from .failures import interrupt_read
from .interface import KeyChange
from .interface import StoreError
from .interface import StoreErrorKind


if TYPE_CHECKING:
    import socket
    from types import TracebackType

    from urllib3.response import HTTPResponse


OPEN_TIMEOUT_S = 1.5
MAX_LINE_BYTES = 64 * 1024 * 1024
WATCH_PATH = "/v3/watch"
HEADERS = {"Content-Type": "application/json"}


class WatchStream:
    """The streaming response to one watch request; owns its connection."""

    def __init__(self, host: str, port: int) -> None:
        self.connection = HTTPConnection(host, port, timeout=OPEN_TIMEOUT_S)
        self.socket: socket.socket | None = None
        self.response: HTTPResponse | None = None
        self.buffer = b""

    def connect(self) -> None:
        """Opens the connection.

        Raises:
            HTTPError: If connecting fails or times out.
        """
        self.connection.connect()
        self.socket = self.connection.sock

    def send(self, request: wire.WatchRequest, silence_s: float) -> None:
        """Sends the request and waits for the response headers.

        Raises:
            HTTPError: If the status is not 200, or the response times out.
            OSError: If the connection fails.
            HTTPException: If the response is malformed.
        """
        body = msgspec.json.encode(request)
        self.connection.request(
            "POST", WATCH_PATH, body=body, headers=HEADERS, preload_content=False
        )
        response = self.connection.getresponse()
        if response.status != 200:
            raise HTTPError(f"status {response.status}")
        if self.socket is not None:
            self.socket.settimeout(silence_s)
        self.response = response

    def read_line(self) -> bytes:
        """Waits for the next line; returns no bytes at the end of the stream.

        Raises:
            ReadTimeoutError: If no data arrives within the silence timeout.
            HTTPError: If the connection fails or the line is too long.
        """
        while b"\n" not in self.buffer:
            data = self.response.read1() if self.response is not None else b""
            if not data:
                return b""
            self.buffer += data
            if len(self.buffer) > MAX_LINE_BYTES:
                raise HTTPError(f"line is longer than {MAX_LINE_BYTES} bytes")
        line, _, self.buffer = self.buffer.partition(b"\n")
        return line + b"\n"

    def interrupt(self) -> None:
        """Interrupts a blocked read; thread-safe."""
        interrupt_read(self.socket)

    def close(self) -> None:
        """Closes the connection."""
        if self.response is not None:
            self.response.close()
        self.connection.close()


class EtcdWatch:
    """Reads changes of a key or key range; reconnects when the stream is silent.

    Args:
        host: Host of the gateway.
        port: Port of the gateway.
        initial_request: The watched key or range, and the first revision.
        silence_s: Time without data after which the watch reconnects, in seconds.
        calls: Counter to which each request is added.
    """

    def __init__(
        self,
        host: str,
        port: int,
        initial_request: wire.WatchCreate,
        silence_s: float,
        calls: CallCounter,
    ) -> None:
        self.host = host
        self.port = port
        self.initial_request = initial_request
        self.next_revision = int(initial_request.start_revision)
        self.silence_s = silence_s
        self.calls = calls
        self.lock = threading.Lock()
        self.stream: WatchStream | None = None
        self.closed = False
        self.reconnecting = False
        self.reading = False

    def read(self) -> Result[list[KeyChange], StoreError]:
        """Waits for the next changes, in order of their revisions."""
        with self.lock:
            self.reading = True
        try:
            return self._read_changes()
        finally:
            with self.lock:
                self.reading = False
            if self.closed:
                self._drop_stream()

    def reconnect(self) -> None:
        """Replaces the connection; the watch resumes after the last received change."""
        with self.lock:
            self.reconnecting = self.stream is not None
            self._interrupt_stream()

    def close(self) -> None:
        """Closes the watch and interrupts a blocked ``read``; thread-safe."""
        with self.lock:
            self.closed = True
            self._interrupt_stream()
            idle = not self.reading
        if idle:
            self._drop_stream()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def _read_changes(self) -> Result[list[KeyChange], StoreError]:
        while not self.closed:
            answer = self._read_once()
            if answer.is_err():
                self._drop_stream()
                if self._consume_reconnecting():
                    continue
            if not self.closed and (answer.is_err() or answer.unwrap()):
                return answer
        return Err(StoreError(StoreErrorKind.CLOSED, "watch: closed by the caller"))

    def _read_once(self) -> Result[list[KeyChange], StoreError]:
        try:
            line = self._ensure_stream().read_line()
        except ReadTimeoutError:
            self._drop_stream()
            return Ok([])
        except (HTTPError, OSError, HTTPException) as error:
            return _unavailable(f"watch: {error}")
        if not line:
            return _unavailable("watch: the store ended the stream")
        return self._decode(line)

    def _ensure_stream(self) -> WatchStream:
        if self.stream is not None:
            return self.stream
        stream = WatchStream(self.host, self.port)
        try:
            self._open(stream)
        except BaseException:
            self._drop_stream()
            stream.close()
            raise
        return stream

    def _open(self, stream: WatchStream) -> None:
        stream.connect()
        with self.lock:
            if self.closed:
                raise HTTPError("closed by the caller")
            self.stream = stream
        self.calls.add(CallKind.WATCH)
        initial_request = self.initial_request
        start_revision = str(self.next_revision)
        create = wire.WatchCreate(
            initial_request.key, start_revision, initial_request.range_end
        )
        stream.send(wire.WatchRequest(create), self.silence_s)

    def _decode(self, line: bytes) -> Result[list[KeyChange], StoreError]:
        try:
            response = msgspec.json.decode(line, type=wire.WatchResponse, strict=False)
        except DECODE_ERRORS as error:
            return _unavailable(f"watch: cannot decode a line: {error}")
        if response.result is None:
            reason = response.error.message if response.error else "no result"
            return _unavailable(f"watch: {reason}")
        result = response.result
        if result.compact_revision:
            message = f"watch: revisions before {result.compact_revision} are compacted"
            kind = StoreErrorKind.COMPACTED
            return Err(StoreError(kind, message, result.compact_revision))
        if result.canceled:
            return _unavailable(
                f"watch: cancelled by the store: {result.cancel_reason}"
            )
        return Ok(self._accept_changes(result.events))

    def _accept_changes(self, events: list[wire.WatchEvent]) -> list[KeyChange]:
        changes = [
            _to_change(event)
            for event in events
            if event.kv.mod_revision >= self.next_revision
        ]
        if changes:
            self.next_revision = changes[-1].mod_revision + 1
        return changes

    def _consume_reconnecting(self) -> bool:
        with self.lock:
            reconnecting, self.reconnecting = self.reconnecting, False
            return reconnecting

    def _drop_stream(self) -> None:
        with self.lock:
            stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()

    def _interrupt_stream(self) -> None:
        if self.stream is not None:
            self.stream.interrupt()


def _unavailable(message: str) -> Err[StoreError]:
    return Err(StoreError(StoreErrorKind.UNAVAILABLE, message))


def _to_change(event: wire.WatchEvent) -> KeyChange:
    value = None if event.type == "DELETE" else event.kv.value
    return KeyChange(event.kv.key, value, event.kv.mod_revision)
