"""Adapter of the store interface to the published etcd v3 JSON gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Self
from typing import TypeVar

import msgspec
import urllib3
from result import Err
from result import Ok
from result import Result
from urllib3.exceptions import HTTPError

from ..decode_errors import DECODE_ERRORS
from . import etcd_wire as wire
from .call_counter import CallCounter
from .call_counter import CallKind
from .etcd_watch import EtcdWatch
from .failures import classify_http_error
from .failures import error_kind_after_send
from .interface import GetPrefixResult
from .interface import GetResult
from .interface import KeyValue
from .interface import StoreError
from .interface import StoreErrorKind
from .interface import SwapResult


if TYPE_CHECKING:
    from types import TracebackType


CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.5
WATCH_SILENCE_S = 5.0
MAX_CONNECTIONS = 8
MAX_ERROR_CHARACTERS = 200

PATH_BY_KIND = {
    CallKind.RANGE: "/v3/kv/range",
    CallKind.TXN: "/v3/kv/txn",
    CallKind.LEASE_GRANT: "/v3/lease/grant",
    CallKind.LEASE_KEEPALIVE: "/v3/lease/keepalive",
}
HEADERS = {"Content-Type": "application/json"}

# Errors that etcd reports before it applies a write. Status 503 alone does not show
# that a write had no effect: etcd also sends it for a write that timed out.
ERRORS_BEFORE_WRITE = ("etcdserver: no leader", "etcdserver: too many requests")
LEASE_NOT_FOUND = "etcdserver: requested lease not found"

ResponseT = TypeVar("ResponseT")


class EtcdStore:
    """Client of an etcd v3 JSON gateway; owns its connection pool.

    Args:
        url: Base URL of the gateway, ``http`` only.
        connect_timeout_s: Connect timeout, in seconds.
        read_timeout_s: Longest time without data from the gateway, in seconds.
        watch_silence_s: Time without data after which a watch reconnects, in seconds.

    Raises:
        ValueError: If the URL is not ``http://HOST[:PORT]``.
    """

    def __init__(
        self,
        url: str,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        watch_silence_s: float = WATCH_SILENCE_S,
    ) -> None:
        self.host, self.port = parse_store_url(url)
        self.timeout = urllib3.Timeout(connect=connect_timeout_s, read=read_timeout_s)
        self.watch_silence_s = watch_silence_s
        self.calls = CallCounter()
        self.pool = self._make_pool()

    def close(self) -> None:
        """Closes the idle connections; the caller closes its watches."""
        self.pool.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def get(self, key: bytes) -> Result[GetResult, StoreError]:
        """Reads one key."""
        return self._range(wire.RangeRequest(key)).map(
            lambda response: GetResult(_first_item(response), response.header.revision)
        )

    def get_prefix(self, prefix: bytes) -> Result[GetPrefixResult, StoreError]:
        """Reads all keys with a prefix."""
        return self._range(wire.RangeRequest(prefix, wire.prefix_end(prefix))).map(
            lambda response: GetPrefixResult(
                [_to_item(item) for item in response.kvs], response.header.revision
            )
        )

    def compare_and_swap(
        self,
        key: bytes,
        expected_mod_revision: int,
        value: bytes,
        lease_id: int | None = None,
    ) -> Result[SwapResult, StoreError]:
        """Writes a key if its revision matches; 0 requires that the key is missing."""
        put = wire.PutRequest(key, value, str(lease_id or 0))
        request = wire.TxnRequest(
            compare=[wire.Compare(key, str(expected_mod_revision))],
            success=[wire.RequestOp(request_put=put)],
            failure=[wire.RequestOp(request_range=wire.RangeRequest(key))],
        )
        return self._call(CallKind.TXN, request, wire.TxnResponse).map(_to_swap_result)

    def grant_lease(self, ttl_s: int) -> Result[int, StoreError]:
        """Grants a lease with a time to live in seconds; returns its id."""
        request = wire.LeaseGrantRequest(str(ttl_s))
        answer = self._call(CallKind.LEASE_GRANT, request, wire.LeaseGrantResponse)
        return answer.map(lambda response: response.id)

    def keep_alive(self, lease_id: int) -> Result[int, StoreError]:
        """Renews a lease; returns its new time to live in seconds."""
        request = wire.KeepAliveRequest(str(lease_id))
        answer = self._call(CallKind.LEASE_KEEPALIVE, request, wire.KeepAliveResponse)
        return answer.and_then(_check_renewed)

    def watch(self, key: bytes, start_revision: int) -> EtcdWatch:
        """Watches one key from a revision on."""
        return self._watch(key, b"", start_revision)

    def watch_prefix(self, prefix: bytes, start_revision: int) -> EtcdWatch:
        """Watches all keys with a prefix from a revision on."""
        return self._watch(prefix, wire.prefix_end(prefix), start_revision)

    def _watch(self, key: bytes, range_end: bytes, start_revision: int) -> EtcdWatch:
        return EtcdWatch(
            self.host,
            self.port,
            wire.WatchCreate(key, str(start_revision), range_end),
            self.watch_silence_s,
            self.calls,
        )

    def _range(
        self, request: wire.RangeRequest
    ) -> Result[wire.RangeResponse, StoreError]:
        return self._call(CallKind.RANGE, request, wire.RangeResponse)

    def _call(
        self, kind: CallKind, request: msgspec.Struct, response_type: type[ResponseT]
    ) -> Result[ResponseT, StoreError]:
        self.calls.add(kind)
        try:
            response = self.pool.request(
                "POST",
                PATH_BY_KIND[kind],
                body=msgspec.json.encode(request),
                headers=HEADERS,
                retries=False,
                redirect=False,
                timeout=self.timeout,
            )
        except HTTPError as error:
            # The other idle connections may have failed too.
            self.pool = self._make_pool()
            return Err(classify_http_error(kind, error))
        if response.status != 200:
            return Err(_classify_response(kind, response.status, response.data))
        try:
            return Ok(
                msgspec.json.decode(response.data, type=response_type, strict=False)
            )
        except DECODE_ERRORS as error:
            message = f"{kind}: cannot decode the response: {error}"
            return Err(StoreError(error_kind_after_send(kind), message))

    def _make_pool(self) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            self.host, self.port, maxsize=MAX_CONNECTIONS, block=False
        )


def parse_store_url(url: str) -> tuple[str, int]:
    """Returns the host and port of a store URL.

    Raises:
        ValueError: If the URL is not ``http://HOST[:PORT]``.
    """
    parts = urllib3.util.parse_url(url)
    if parts.scheme != "http" or not parts.host:
        raise ValueError(f"store URL must have the form http://HOST:PORT, got {url}")
    if parts.path not in (None, "", "/") or parts.query or parts.fragment:
        raise ValueError(f"store URL must not have a path, query or fragment: {url}")
    return parts.host, parts.port or 80


def _classify_response(kind: CallKind, status: int, body: bytes) -> StoreError:
    reason = _decode_reason(body)
    message = f"{kind}: status {status}: {reason}"
    if reason.startswith(LEASE_NOT_FOUND):
        return StoreError(StoreErrorKind.LEASE_NOT_FOUND, message)
    if 400 <= status < 500 or reason.startswith(ERRORS_BEFORE_WRITE):
        return StoreError(StoreErrorKind.UNAVAILABLE, message)
    return StoreError(error_kind_after_send(kind), message)


def _decode_reason(body: bytes) -> str:
    try:
        reason = msgspec.json.decode(body, type=wire.ErrorResponse).message
    except DECODE_ERRORS:
        reason = body.decode(errors="replace")
    return reason[:MAX_ERROR_CHARACTERS]


def _to_item(item: wire.WireKeyValue) -> KeyValue:
    return KeyValue(item.key, item.value, item.mod_revision)


def _first_item(response: wire.RangeResponse) -> KeyValue | None:
    return _to_item(response.kvs[0]) if response.kvs else None


def _to_swap_result(response: wire.TxnResponse) -> SwapResult:
    revision = response.header.revision
    if response.succeeded:
        return SwapResult(succeeded=True, revision=revision)
    ranges = [item.response_range for item in response.responses]
    current = _first_item(ranges[0]) if ranges and ranges[0] else None
    return SwapResult(succeeded=False, revision=revision, current=current)


def _check_renewed(response: wire.KeepAliveResponse) -> Result[int, StoreError]:
    if response.result.ttl <= 0:
        message = f"lease {response.result.id} has expired"
        return Err(StoreError(StoreErrorKind.LEASE_NOT_FOUND, message))
    return Ok(response.result.ttl)
