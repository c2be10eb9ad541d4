"""A watch through the etcd v3 JSON gateway that resumes without a gap."""

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
    """One streaming request; owns its connection."""

    def __init__(self, host: str, port: int) -> None:
        self.connection = HTTPConnection(host, port, timeout=OPEN_TIMEOUT_S)
        self.socket: socket.socket | None = None
        self.response: HTTPResponse | None = None
        self.buffer = b""

    def connect(self) -> None:
        """Connects.

        Raises:
            HTTPError: If no connection is made in time.
        """
        self.connection.connect()
        self.socket = self.connection.sock

    def send(self, request: wire.WatchRequest, silence_s: float) -> None:
        """Sends the request and waits for the head of the response.

        Raises:
            HTTPError: If the response is refused or does not come in time.
            OSError: If the connection fails.
            HTTPException: If the response is damaged.
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
        """Waits for the next line; empty at the end of the stream.

        Raises:
            ReadTimeoutError: If the stream was silent for too long.
            HTTPError: If the connection fails.
        """
        while b"\n" not in self.buffer:
            data = self.response.read1() if self.response is not None else b""
            if not data:
                return b""
            self.buffer += data
            if len(self.buffer) > MAX_LINE_BYTES:
                raise HTTPError(f"a line is longer than {MAX_LINE_BYTES} bytes")
        line, _, self.buffer = self.buffer.partition(b"\n")
        return line + b"\n"

    def interrupt(self) -> None:
        """Ends a waiting read; may be called by any thread."""
        interrupt_read(self.socket)

    def close(self) -> None:
        """Closes the connection."""
        if self.response is not None:
            self.response.close()
        self.connection.close()


class EtcdWatch:
    """Reads the changes of a key or range; replaces its connection if silent.

    Args:
        host: Host of the gateway.
        port: Port of the gateway.
        initial_request: What to watch, from which revision on.
        silence_s: Silence after which the connection is replaced, in seconds.
        calls: Counts each request as one call.
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
        """Replaces the connection; the watch resumes after the last change."""
        with self.lock:
            self.reconnecting = self.stream is not None
            self._interrupt_stream()

    def close(self) -> None:
        """Ends the watch and any waiting read."""
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
        return Err(StoreError(StoreErrorKind.CLOSED, "the watch was closed"))

    def _read_once(self) -> Result[list[KeyChange], StoreError]:
        try:
            line = self._ensure_stream().read_line()
        except ReadTimeoutError:
            self._drop_stream()
            return Ok([])
        except (HTTPError, OSError, HTTPException) as error:
            return _unavailable(f"the watch failed: {error}")
        if not line:
            return _unavailable("the store ended the watch")
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
                raise HTTPError("the watch was closed")
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
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return _unavailable(f"the watch sent a damaged line: {error}")
        if response.result is None:
            reason = response.error.message if response.error else "no result"
            return _unavailable(f"the watch failed: {reason}")
        result = response.result
        if result.compact_revision:
            message = f"revisions before {result.compact_revision} are compacted"
            kind = StoreErrorKind.COMPACTED
            return Err(StoreError(kind, message, result.compact_revision))
        if result.canceled:
            return _unavailable(
                f"the store cancelled the watch: {result.cancel_reason}"
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
