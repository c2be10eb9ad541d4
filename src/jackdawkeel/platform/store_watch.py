"""Watches keys of the platform's store by long polling."""

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

from ..decode_errors import DECODE_ERRORS
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
    """Reads changes of all keys with a prefix; a failed call loses no change.

    Args:
        address: Address of the store.
        prefix: Prefix of the watched keys.
        start_revision: The first revision whose changes are returned.
        calls: Counter to which each request is added.
        timeouts: Timeouts of a request.
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
        """Sends one long poll; returns an empty list if it ends without a change."""
        if self.closed:
            return Err(StoreError(StoreErrorKind.CLOSED, "watch: closed by the caller"))
        self.calls.add(CallKind.WATCH)
        path = (
            f"/-/kv-watch?prefix={quote(self.prefix)}"
            f"&after={self.last_revision}&waitMs={self.timeouts.watch_wait_ms}"
        )
        try:
            response = self._request(path)
        except (HTTPError, HTTPException, OSError) as error:
            self.reconnect()
            return _error(StoreErrorKind.UNAVAILABLE, f"watch: {error}")
        if response.status == HTTP_GONE:
            return _error(
                StoreErrorKind.COMPACTED, "watch: the watched revisions are compacted"
            )
        if response.status != 200:
            text = f"watch: refused with status {response.status}"
            return _error(StoreErrorKind.UNAVAILABLE, text)
        return self._decode(response.data)

    def reconnect(self) -> None:
        """Closes the connection; the next request opens a new one."""
        self.connection.close()

    def close(self) -> None:
        """Closes the watch and interrupts a request that another thread waits for."""
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
        except DECODE_ERRORS as error:
            text = f"watch: cannot decode the response: {error}"
            return _error(StoreErrorKind.UNAVAILABLE, text)
        self.last_revision = max(self.last_revision, answer.as_of)
        return Ok([_to_change(event) for event in answer.events])


def _error(kind: StoreErrorKind, message: str) -> Err[StoreError]:
    return Err(StoreError(kind, message))


def _to_change(event: WireItem) -> KeyChange:
    value = None if event.deleted else event.value
    return KeyChange(event.key.encode(), value, event.revision)
