"""Message bodies of the etcd v3 JSON gateway.

Bytes are encoded in base64, and 64-bit integers as strings.
"""

from __future__ import annotations

import msgspec


class RangeRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of ``/v3/kv/range``; an empty range end selects one key."""

    key: bytes
    range_end: bytes = b""


class Compare(msgspec.Struct, frozen=True):
    """Condition on the revision at which a key was last modified."""

    key: bytes
    mod_revision: str
    target: str = "MOD"
    result: str = "EQUAL"


class PutRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Put operation of a transaction."""

    key: bytes
    value: bytes
    lease: str = "0"


class RequestOp(msgspec.Struct, frozen=True, omit_defaults=True):
    """One operation of a transaction; one of the fields is set."""

    request_put: PutRequest | None = None
    request_range: RangeRequest | None = None


class TxnRequest(msgspec.Struct, frozen=True):
    """Body of ``/v3/kv/txn``."""

    compare: list[Compare]
    success: list[RequestOp]
    failure: list[RequestOp]


class LeaseGrantRequest(msgspec.Struct, frozen=True, rename="upper"):
    """Body of ``/v3/lease/grant``; the time to live is in seconds."""

    ttl: str


class KeepAliveRequest(msgspec.Struct, frozen=True, rename="upper"):
    """Body of ``/v3/lease/keepalive``."""

    id: str


class WatchCreate(msgspec.Struct, frozen=True, omit_defaults=True):
    """The watched key or range, and the first revision."""

    key: bytes
    start_revision: str
    range_end: bytes = b""


class WatchRequest(msgspec.Struct, frozen=True):
    """Body of ``/v3/watch``."""

    create_request: WatchCreate


class ResponseHeader(msgspec.Struct, frozen=True):
    """Header of each response, with the store's revision."""

    revision: int = 0


class WireKeyValue(msgspec.Struct, frozen=True):
    """Key-value pair in a response; the gateway omits zero fields."""

    key: bytes = b""
    value: bytes = b""
    mod_revision: int = 0


class RangeResponse(msgspec.Struct, frozen=True):
    """Response of ``/v3/kv/range``."""

    header: ResponseHeader = ResponseHeader()
    kvs: list[WireKeyValue] = []


class ResponseOp(msgspec.Struct, frozen=True):
    """Response to one operation of a transaction."""

    response_range: RangeResponse | None = None


class TxnResponse(msgspec.Struct, frozen=True):
    """Response of ``/v3/kv/txn``."""

    header: ResponseHeader
    succeeded: bool = False
    responses: list[ResponseOp] = []


class LeaseGrantResponse(msgspec.Struct, frozen=True, rename="upper"):
    """Response of ``/v3/lease/grant``."""

    id: int
    ttl: int = 0


class KeepAliveResult(msgspec.Struct, frozen=True, rename="upper"):
    """Result of a lease renewal; the time to live is 0 if the lease has expired."""

    id: int = 0
    ttl: int = 0


class KeepAliveResponse(msgspec.Struct, frozen=True):
    """Response of ``/v3/lease/keepalive``: a stream of one line."""

    result: KeepAliveResult


class WatchEvent(msgspec.Struct, frozen=True):
    """Change of a key."""

    kv: WireKeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct, frozen=True):
    """Message of a watch: created, cancelled, compacted or changes."""

    header: ResponseHeader = ResponseHeader()
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    events: list[WatchEvent] = []


class GatewayError(msgspec.Struct, frozen=True):
    """Error reported inside a stream."""

    message: str = ""


class WatchResponse(msgspec.Struct, frozen=True):
    """One line of the stream of ``/v3/watch``."""

    result: WatchResult | None = None
    error: GatewayError | None = None


class ErrorResponse(msgspec.Struct, frozen=True):
    """Body of a response with a status other than 200."""

    message: str = ""


def prefix_end(prefix: bytes) -> bytes:
    """Returns the exclusive end of the range of all keys with a prefix.

    A single zero byte means that the range has no end.
    """
    head = prefix.rstrip(b"\xff")
    if not head:
        return b"\x00"
    return head[:-1] + bytes([head[-1] + 1])
