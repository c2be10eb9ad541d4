"""Handlers of the etcd v3 JSON gateway calls, on the data of the store stand-in."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING
from typing import Any

from .store_data import Item
from .store_data import StoreData
from .store_data import in_range


if TYPE_CHECKING:
    from collections.abc import Callable


MAX_VALUE_BYTES = 1024 * 1024
Body = dict[str, Any]


def _handle_range(data: StoreData, body: Body) -> tuple[int, Body]:
    return 200, _range(data, body)


def _handle_put(data: StoreData, body: Body) -> tuple[int, Body]:
    return _handle_txn(data, {"success": [{"request_put": body}]})


def _handle_txn(data: StoreData, body: Body) -> tuple[int, Body]:
    data.expire_leases()
    succeeded = all(
        _evaluate_compare(data, compare) for compare in body.get("compare", [])
    )
    operations = body.get("success" if succeeded else "failure", [])
    error = _find_error(data, operations)
    if error:
        return 400, error
    revision = data.revision + 1
    responses = [
        _apply_operation(data, operation, revision) for operation in operations
    ]
    data.commit(revision)
    answer: Body = {"header": _header(data), "responses": responses}
    # The gateway omits fields with the value false.
    return 200, answer | ({"succeeded": True} if succeeded else {})


def _handle_lease_grant(data: StoreData, body: Body) -> tuple[int, Body]:
    lease_id = data.grant_lease(int(body["TTL"]))
    return 200, {"header": _header(data), "ID": str(lease_id), "TTL": body["TTL"]}


def _handle_keepalive(data: StoreData, body: Body) -> tuple[int, Body]:
    data.expire_leases()
    ttl_s = data.keep_alive(int(body["ID"]))
    result = {"header": _header(data), "ID": body["ID"]}
    return 200, {"result": result | ({"TTL": str(ttl_s)} if ttl_s else {})}


UNARY_CALLS: dict[str, Callable[[StoreData, Body], tuple[int, Body]]] = {
    "/v3/kv/range": _handle_range,
    "/v3/kv/put": _handle_put,
    "/v3/kv/txn": _handle_txn,
    "/v3/lease/grant": _handle_lease_grant,
    "/v3/lease/keepalive": _handle_keepalive,
}


def _find_error(data: StoreData, operations: list[Body]) -> Body | None:
    puts = [item["request_put"] for item in operations if "request_put" in item]
    for put in puts:
        lease = int(put.get("lease", 0))
        if lease and lease not in data.leases:
            return {"code": 5, "message": "etcdserver: requested lease not found"}
        if len(decode(put.get("value", ""))) > MAX_VALUE_BYTES:
            return {"code": 3, "message": "etcdserver: request is too large"}
    return None


def _evaluate_compare(data: StoreData, compare: Body) -> bool:
    item = data.items.get(decode(compare["key"]))
    name = "create_revision" if compare["target"] == "CREATE" else "mod_revision"
    actual = getattr(item, name) if item else 0
    expected = int(compare.get(name, 0))
    outcomes = {
        "EQUAL": actual == expected,
        "NOT_EQUAL": actual != expected,
        "GREATER": actual > expected,
        "LESS": actual < expected,
    }
    return outcomes[compare.get("result", "EQUAL")]


def _apply_operation(data: StoreData, operation: Body, revision: int) -> Body:
    ((kind, body),) = operation.items()
    if kind == "request_range":
        return {"response_range": _range(data, body)}
    if kind == "request_put":
        value = decode(body.get("value", ""))
        lease = int(body.get("lease", 0))
        data.put(decode(body["key"]), value, lease, revision)
        return {"response_put": {"header": {"revision": str(revision)}}}
    key, range_end = decode(body["key"]), decode(body.get("range_end", ""))
    deleted = data.delete_range(key, range_end, revision)
    return {"response_delete_range": {"deleted": str(deleted)}}


def _range(data: StoreData, body: Body) -> Body:
    data.expire_leases()
    key, range_end = decode(body["key"]), decode(body.get("range_end", ""))
    items = data.read_range(key, range_end)
    answer: Body = {"header": _header(data)}
    if items:
        answer["kvs"] = [_encode_item(item) for item in items]
        answer["count"] = str(len(items))
    return answer


def _header(data: StoreData) -> Body:
    return {"cluster_id": "1", "member_id": "1", "revision": str(data.revision)}


def encode_changes(
    data: StoreData, key: bytes, range_end: bytes, start_revision: int
) -> Body | None:
    """Encodes the changes from a revision on as a watch message.

    Returns:
        A cancellation if the revision is compacted, or None if nothing changed.
    """
    if start_revision < data.compact_revision:
        compacted = str(data.compact_revision)
        return encode_result(data, canceled=True, compact_revision=compacted)
    changes = [item for item in data.history if item.mod_revision >= start_revision]
    events = [
        _encode_event(item) for item in changes if in_range(item.key, key, range_end)
    ]
    return encode_result(data, events=events) if events else None


def encode_result(data: StoreData, **fields: Any) -> Body:
    """Encodes one watch message."""
    return {"header": _header(data), **fields}


def _encode_item(item: Item) -> Body:
    return {
        "key": encode(item.key),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "version": str(item.version),
        "value": encode(item.value),
        "lease": str(item.lease),
    }


def _encode_event(item: Item) -> Body:
    if item.deleted:
        kv = {"key": encode(item.key), "mod_revision": str(item.mod_revision)}
        return {"type": "DELETE", "kv": kv}
    return {"kv": _encode_item(item)}


def encode_write(item: Item) -> Body:
    """Encodes a write or a deletion for the record of writes."""
    return {
        "revision": item.mod_revision,
        "key": item.key.decode(errors="replace"),
        "value": None if item.deleted else item.value.decode(errors="replace"),
    }


def encode(value: bytes) -> str:
    """Encodes bytes in base64, as the gateway does."""
    return base64.b64encode(value).decode()


def decode(text: str) -> bytes:
    """Decodes base64 text from a client."""
    return base64.b64decode(text, validate=True)
