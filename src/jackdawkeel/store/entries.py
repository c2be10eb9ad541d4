"""Service registry of entries: each registers its address under a leased key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import EventName
from ..link.address import is_link_address
from ..messages import PeerAddress


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from result import Result

    from ..logs import EventLog
    from .interface import KeyValue
    from .interface import Store
    from .interface import StoreError
    from .interface import SwapResult


ENTRY_PREFIX = b"/jackdawkeel/entries/"
ENTRY_LEASE_S = 10
MAX_LOGGED_BYTES = 100


def list_entries(store: Store, log: EventLog) -> Result[list[PeerAddress], StoreError]:
    """Returns the addresses of all entries with an unexpired lease.

    Keys that no entry can have written are logged and left out.
    """
    reading = store.get_prefix(ENTRY_PREFIX)
    return reading.map(lambda result: list(_decode_entries(result.items, log)))


def _decode_entries(items: Iterable[KeyValue], log: EventLog) -> Iterator[PeerAddress]:
    for item in items:
        try:
            incarnation = item.key.removeprefix(ENTRY_PREFIX).decode()
            link = item.value.decode()
        except UnicodeDecodeError:
            _record_dropped(item, log)
            continue
        if is_link_address(link):
            yield PeerAddress(incarnation, link)
        else:
            _record_dropped(item, log)


def _record_dropped(item: KeyValue, log: EventLog) -> None:
    log.record(
        EventName.MESSAGE_DROPPED,
        reason="invalid_address",
        peer=ascii(item.key),
        details=ascii(item.value[:MAX_LOGGED_BYTES]),
    )


def register_entry(
    store: Store, address: PeerAddress, lease_id: int
) -> Result[SwapResult, StoreError]:
    """Writes an entry's address under its lease.

    Overwrites an existing key: an earlier registration whose response was lost may
    have written it under another lease.
    """
    key = ENTRY_PREFIX + address.incarnation.encode()
    encoded = address.link.encode()
    first = store.compare_and_swap(key, 0, encoded, lease_id)
    if first.is_err() or first.unwrap().succeeded:
        return first
    current = first.unwrap().current
    if current is None:
        return first
    return store.compare_and_swap(key, current.mod_revision, encoded, lease_id)
