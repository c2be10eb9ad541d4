"""A watch of the platform's store, by short calls that wait for a change."""

from __future__ import annotations

from http.client import HTTPException
from typing import TYPE_CHECKING
from typing import Self
from urllib.parse import quote

import msgspec
from result import Err
from result import Ok
from result import Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from ..store.call_counter import CallCounter
from ..store.call_counter import CallKind
from ..store.failures import interrupt_read
from ..store.interface import KeyChange
from ..store.interface import StoreError
from ..store.interface import StoreErrorKind
from .store_timeouts import CONNECT_TIMEOUT_S
from .store_timeouts import StoreTimeouts
from .wire import WireItem
from .wire import WireWatchResponse


if TYPE_CHECKING:
    from urllib3.response import BaseHTTPResponse

    from ..setting_values import Address


HTTP_GONE = 410


class PlatformWatch:
    """Reads the changes of all keys with a prefix; a call that fails loses none.

    Args:
        address: Where the store is.
        prefix: Start of the watched keys.
        start_revision: The first revision that is of interest.
        calls: Counts each request as one call.
        timeouts: How long a call may take.
    """

    def __init__(
        self,
        address: Address,
        prefix: bytes,
        start_revision: int,
        calls: CallCounter,
        timeouts: StoreTimeouts,
    ) -> None:
        self.prefix = prefix
        self.last_revision = start_revision - 1
        self.calls = calls
        self.closed = False
        self.timeouts = timeouts
        self.connection = HTTPConnection(address.host, address.port)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def read(self) -> Result[list[KeyChange], StoreError]:
        """Waits for changes for a short time; no change is an empty list."""
        if self.closed:
            return Err(StoreError(StoreErrorKind.CLOSED, "the watch was closed"))
        self.calls.add(CallKind.WATCH)
        path = (
            f"/-/kv-watch?prefix={quote(self.prefix)}"
            f"&after={self.last_revision}&waitMs={self.timeouts.watch_wait_ms}"
        )
        try:
            response = self._request(path)
        except (HTTPError, HTTPException, OSError) as error:
            self.reconnect()
            return _error(StoreErrorKind.UNAVAILABLE, f"the watch failed: {error}")
        if response.status == HTTP_GONE:
            return _error(StoreErrorKind.COMPACTED, "the watched history is dropped")
        if response.status != 200:
            text = f"the watch was refused with status {response.status}"
            return _error(StoreErrorKind.UNAVAILABLE, text)
        return self._decode(response.data)

    def reconnect(self) -> None:
        """Replaces the connection."""
        self.connection.close()

    def close(self) -> None:
        """Ends the watch and a call that waits on another thread."""
        self.closed = True
        interrupt_read(self.connection.sock)
        self.connection.close()

    def _request(self, path: str) -> BaseHTTPResponse:
        connection = self.connection
        if not connection.is_connected:
            connection.close()
            connection.timeout = CONNECT_TIMEOUT_S
            connection.connect()
        connection.timeout = self.timeouts.watch_timeout_s
        connection.request("GET", path)
        return connection.getresponse()

    def _decode(self, body: bytes) -> Result[list[KeyChange], StoreError]:
        try:
            answer = msgspec.json.decode(body, type=WireWatchResponse)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            text = f"the watch sent a damaged response: {error}"
            return _error(StoreErrorKind.UNAVAILABLE, text)
        self.last_revision = max(self.last_revision, answer.as_of)
        return Ok([_to_change(event) for event in answer.events])


def _error(kind: StoreErrorKind, message: str) -> Err[StoreError]:
    return Err(StoreError(kind, message))


def _to_change(event: WireItem) -> KeyChange:
    value = None if event.deleted else event.value
    return KeyChange(event.key.encode(), value, event.revision)
