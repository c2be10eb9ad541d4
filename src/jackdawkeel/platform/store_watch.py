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
from ..store.failures import end_waiting_read
from ..store.interface import KeyChange
from ..store.interface import StoreError
from ..store.interface import StoreErrorKind
from .store_times import CONNECT_TIMEOUT_S
from .store_times import StoreTimes
from .wire import WireEvents
from .wire import WireItem


if TYPE_CHECKING:
    from urllib3.response import BaseHTTPResponse

    from ..setting_values import Address


GONE = 410


class PlatformWatch:
    """Reads the changes of all keys with a prefix; a call that fails loses none.

    Args:
        address: Where the store is.
        prefix: Start of the watched keys.
        start_revision: The first revision that is of interest.
        calls: Counts each request as one call.
        times: How long a call may take.
    """

    def __init__(
        self,
        address: Address,
        prefix: bytes,
        start_revision: int,
        calls: CallCounter,
        times: StoreTimes,
    ) -> None:
        self.prefix = prefix
        self.seen_revision = start_revision - 1
        self.calls = calls
        self.closed = False
        self.times = times
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
            f"&after={self.seen_revision}&waitMs={self.times.watch_wait_ms}"
        )
        try:
            response = self._request(path)
        except (HTTPError, HTTPException, OSError) as error:
            self.renew()
            return _fail(StoreErrorKind.UNAVAILABLE, f"the watch failed: {error}")
        if response.status == GONE:
            return _fail(StoreErrorKind.COMPACTED, "the watched history is dropped")
        if response.status != 200:
            text = f"the watch was refused with status {response.status}"
            return _fail(StoreErrorKind.UNAVAILABLE, text)
        return self._decode(response.data)

    def renew(self) -> None:
        """Replaces the connection."""
        self.connection.close()

    def close(self) -> None:
        """Ends the watch and a call that waits on another thread."""
        self.closed = True
        end_waiting_read(self.connection.sock)
        self.connection.close()

    def _request(self, path: str) -> BaseHTTPResponse:
        connection = self.connection
        if not connection.is_connected:
            connection.close()
            connection.timeout = CONNECT_TIMEOUT_S
            connection.connect()
        connection.timeout = self.times.watch_silence_s
        connection.request("GET", path)
        return connection.getresponse()

    def _decode(self, body: bytes) -> Result[list[KeyChange], StoreError]:
        try:
            answer = msgspec.json.decode(body, type=WireEvents)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            text = f"the watch sent a damaged response: {error}"
            return _fail(StoreErrorKind.UNAVAILABLE, text)
        self.seen_revision = max(self.seen_revision, answer.as_of)
        return Ok([_to_change(event) for event in answer.events])


def _fail(kind: StoreErrorKind, message: str) -> Err[StoreError]:
    return Err(StoreError(kind, message))


def _to_change(event: WireItem) -> KeyChange:
    value = None if event.deleted else event.value
    return KeyChange(event.key.encode(), value, event.revision)
