"""Service registry of entries: each registers its address under a leased key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages import PeerAddress


if TYPE_CHECKING:
    from result import Result

    from .interface import Store
    from .interface import StoreError
    from .interface import SwapResult


ENTRY_PREFIX = b"/jackdawkeel/entries/"
ENTRY_LEASE_S = 10


def list_entries(store: Store) -> Result[list[PeerAddress], StoreError]:
    """Returns the addresses of all entries with an unexpired lease."""
    return store.get_prefix(ENTRY_PREFIX).map(
        lambda reading: [
            PeerAddress(
                item.key.removeprefix(ENTRY_PREFIX).decode(), _decode_link(item.value)
            )
            for item in reading.items
        ]
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


def _decode_link(value: bytes) -> str:
    return value.decode(errors="replace")
