"""Adapter of the store interface to the platform's metadata store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Self
from typing import TypeVar
from urllib.parse import quote

import msgspec
import urllib3
from result import Err
from result import Ok
from result import Result
from urllib3.exceptions import HTTPError

from ..decode_errors import DECODE_ERRORS
from ..store.call_counter import CallCounter
from ..store.call_counter import CallKind
from ..store.failures import classify_http_error
from ..store.failures import error_kind_after_send
from ..store.interface import GetPrefixResult
from ..store.interface import GetResult
from ..store.interface import KeyValue
from ..store.interface import StoreError
from ..store.interface import StoreErrorKind
from ..store.interface import SwapResult
from .store_timeouts import CONNECT_TIMEOUT_S
from .store_timeouts import StoreTimeouts
from .store_watch import PlatformWatch
from .wire import WireCondition
from .wire import WireItem
from .wire import WireLease
from .wire import WireRangePage
from .wire import WireTransaction
from .wire import WireTransactionResponse
from .wire import WireWrite


if TYPE_CHECKING:
    from urllib3.response import BaseHTTPResponse

    from ..setting_values import Address


MAX_CONNECTIONS = 4
MAX_PAGES = 100
MS_PER_S = 1000

BodyT = TypeVar("BodyT")


class PlatformStore:
    """Client of the platform's metadata store; owns its connection pool.

    Args:
        address: Address of the store.
        timeouts: Timeouts of calls to the store.
    """

    def __init__(self, address: Address, timeouts: StoreTimeouts) -> None:
        self.address = address
        self.timeouts = timeouts
        self.timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=timeouts.response_s
        )
        self.calls = CallCounter()
        self.pool = self._make_pool()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.pool.close()

    def get(self, key: bytes) -> Result[GetResult, StoreError]:
        """Reads one key; the result includes every write completed before the call."""
        path = f"/-/kv-key?key={quote(key)}"
        answer = self._call(CallKind.RANGE, "GET", path)
        if answer.is_err():
            return Err(answer.unwrap_err())
        response = answer.unwrap()
        if response.status == 404:
            return Ok(GetResult(None, 0))
        return _decode(CallKind.RANGE, response, WireItem).map(
            lambda item: GetResult(_to_item(item), item.as_of)
        )

    def get_prefix(self, prefix: bytes) -> Result[GetPrefixResult, StoreError]:
        """Reads all keys with a prefix, page by page.

        The result has the revision of the first page, so that a watch that starts
        after it returns all changes made while the other pages were read.
        """
        items: list[KeyValue] = []
        revision = 0
        after = b""
        for _ in range(MAX_PAGES):
            path = f"/-/kv-range?prefix={quote(prefix)}"
            if after:
                path += f"&after={quote(after)}"
            page = self._call(CallKind.RANGE, "GET", path).and_then(
                lambda response: _decode(CallKind.RANGE, response, WireRangePage)
            )
            if page.is_err():
                return Err(page.unwrap_err())
            response_page = page.unwrap()
            revision = revision or response_page.as_of
            items += [_to_item(item) for item in response_page.items]
            if not response_page.more_pages or not items:
                return Ok(GetPrefixResult(items, revision))
            after = items[-1].key
        message = f"range: the result has more than {MAX_PAGES} pages"
        return Err(StoreError(StoreErrorKind.UNAVAILABLE, message))

    def compare_and_swap(
        self,
        key: bytes,
        expected_mod_revision: int,
        value: bytes,
        lease_id: int | None = None,
    ) -> Result[SwapResult, StoreError]:
        """Writes a key if its revision matches; 0 requires that the key is missing."""
        name = key.decode()
        request = WireTransaction(
            expected=[WireCondition(name, expected_mod_revision)],
            writes=[WireWrite(name, value, lease_id or 0)],
        )
        answer = self._call(CallKind.TXN, "POST", "/-/kv-txn", request)
        if answer.is_err():
            return Err(answer.unwrap_err())
        response = answer.unwrap()
        if response.status == 404:
            return Err(
                StoreError(
                    StoreErrorKind.LEASE_NOT_FOUND,
                    "txn: the lease does not exist or has expired",
                )
            )
        succeeded = response.status != 412
        return _decode(CallKind.TXN, response, WireTransactionResponse).map(
            lambda body: SwapResult(
                succeeded, body.revision, _find_item(body.items, name)
            )
        )

    def grant_lease(self, ttl_s: int) -> Result[int, StoreError]:
        """Grants a lease with a time to live in seconds; returns its id."""
        request = WireLease(ttl_ms=ttl_s * MS_PER_S)
        answer = self._call(CallKind.LEASE_GRANT, "POST", "/-/kv-lease", request)
        return answer.and_then(
            lambda response: _decode(CallKind.LEASE_GRANT, response, WireLease)
        ).map(lambda lease: lease.lease)

    def keep_alive(self, lease_id: int) -> Result[int, StoreError]:
        """Renews a lease; returns its new time to live in seconds."""
        kind = CallKind.LEASE_KEEPALIVE
        answer = self._call(kind, "POST", f"/-/kv-keep/{lease_id}")
        if answer.is_err():
            return Err(answer.unwrap_err())
        response = answer.unwrap()
        if response.status == 404:
            message = f"lease {lease_id} has expired"
            return Err(StoreError(StoreErrorKind.LEASE_NOT_FOUND, message))
        return _decode(kind, response, WireLease).map(
            lambda lease: lease.ttl_ms // MS_PER_S
        )

    def watch(self, key: bytes, start_revision: int) -> PlatformWatch:
        """Watches a key from a revision on, and all keys of which it is a prefix.

        Watch requests select keys by prefix.
        """
        return self.watch_prefix(key, start_revision)

    def watch_prefix(self, prefix: bytes, start_revision: int) -> PlatformWatch:
        """Watches all keys with a prefix from a revision on."""
        return PlatformWatch(
            self.address, prefix, start_revision, self.calls, self.timeouts
        )

    def _call(
        self,
        kind: CallKind,
        method: str,
        path: str,
        request: msgspec.Struct | None = None,
    ) -> Result[BaseHTTPResponse, StoreError]:
        self.calls.add(kind)
        body = b"" if request is None else msgspec.json.encode(request)
        try:
            response = self.pool.request(
                method,
                path,
                body=body or None,
                headers={"Content-Type": "application/json"} if body else None,
                retries=False,
                redirect=False,
                timeout=self.timeout,
            )
        except HTTPError as error:
            # The other idle connections may have failed too.
            self.pool.close()
            self.pool = self._make_pool()
            return Err(classify_http_error(kind, error))
        if response.status in (429, 503):
            # The platform guarantees that a call refused like this had no effect.
            message = f"{kind}: refused with status {response.status}"
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, message))
        if response.status not in (200, 404, 412):
            message = f"{kind}: status {response.status}"
            return Err(StoreError(error_kind_after_send(kind), message))
        return Ok(response)

    def _make_pool(self) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            self.address.host,
            self.address.port,
            maxsize=MAX_CONNECTIONS,
            block=False,
        )


def _decode(
    kind: CallKind, response: BaseHTTPResponse, body_type: type[BodyT]
) -> Result[BodyT, StoreError]:
    try:
        return Ok(msgspec.json.decode(response.data, type=body_type))
    except DECODE_ERRORS as error:
        message = f"{kind}: cannot decode the response: {error}"
        return Err(StoreError(error_kind_after_send(kind), message))


def _to_item(item: WireItem) -> KeyValue:
    return KeyValue(item.key.encode(), item.value, item.revision)


def _find_item(items: list[WireItem], key: str) -> KeyValue | None:
    for item in items:
        if item.key == key and item.revision:
            return _to_item(item)
    return None
