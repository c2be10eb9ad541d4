"""Registers an entry in the store and lists the other entries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..backoff import add_jitter
from ..store.entries import ENTRY_LEASE_S
from ..store.entries import list_entries
from ..store.entries import register_entry
from ..store.interface import StoreErrorKind
from .owner_beats import EntryList
from .worker_thread import WorkerThread


if TYPE_CHECKING:
    from ..logs import EventLog
    from ..messages import PeerAddress
    from ..store.interface import Store


# An entry whose lease expired must be listed again within 2 s after the store recovers.
RENEWAL_INTERVAL_S = 1.2
INTERVAL_JITTER_RATIO = 0.2
# Pause after a failed call of an entry that has not read the list yet: it can't serve.
FIRST_READING_RETRY_S = 0.25


class Registration:
    """Renews the entry's lease and reads the list of entries.

    Attributes:
        entry_list: The other entries.
    """

    def __init__(self, store: Store, address: PeerAddress, log: EventLog) -> None:
        self.store = store
        self.address = address
        self.log = log
        self.entry_list = EntryList()
        self.lease_id: int | None = None
        self.worker = WorkerThread("registration", self._maintain_forever, log)

    async def _maintain_forever(self) -> None:
        while True:
            await self.worker.call(self._maintain)
            is_read = self.entry_list.is_read
            interval_s = RENEWAL_INTERVAL_S if is_read else FIRST_READING_RETRY_S
            await asyncio.sleep(add_jitter(interval_s, INTERVAL_JITTER_RATIO))

    def _maintain(self) -> None:
        if self.lease_id is not None:
            renewed = self.store.keep_alive(self.lease_id)
            if renewed.is_err():
                if renewed.unwrap_err().kind is not StoreErrorKind.LEASE_NOT_FOUND:
                    return
                self.lease_id = None
        listed = list_entries(self.store, self.log)
        if listed.is_err():
            return
        entries = listed.unwrap()
        # The store may remove a key although its lease continues.
        if self.lease_id is None or self.address not in entries:
            self._register()
        self.entry_list.replace([entry for entry in entries if entry != self.address])

    def _register(self) -> None:
        if self.lease_id is None:
            granted = self.store.grant_lease(ENTRY_LEASE_S)
            if granted.is_err():
                return
            self.lease_id = granted.unwrap()
        registered = register_entry(self.store, self.address, self.lease_id)
        if registered.is_err():
            kind = registered.unwrap_err().kind
            if kind is StoreErrorKind.LEASE_NOT_FOUND:
                self.lease_id = None
