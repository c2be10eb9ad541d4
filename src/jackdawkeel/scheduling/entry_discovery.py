"""Discovers entries for an agent, from its settings and from the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..backoff import add_jitter
from ..messages import PeerAddress
from ..setting_values import Address
from ..store.entries import list_entries
from .worker_thread import WorkerThread


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..logs import EventLog
    from ..store.interface import Store
    from .process_settings import ProcessSettings


# Each OwnerBeat announces the other entries, so the store is read rarely.
REFRESH_INTERVAL_S = 5.0
INITIAL_REFRESH_INTERVAL_S = 0.7
INITIAL_ROUNDS = 4
INTERVAL_JITTER_RATIO = 0.2


class EntryDiscovery:
    """Reads the list of entries at intervals."""

    def __init__(
        self,
        store: Store,
        settings: ProcessSettings,
        log: EventLog,
        on_found: Callable[[Iterable[PeerAddress]], None],
    ) -> None:
        self.store = store
        self.settings = settings
        self.log = log
        self.on_found = on_found
        self.worker = WorkerThread("discovery", self._find_forever, log)

    async def _find_forever(self) -> None:
        self.on_found(self._seed_addresses())
        rounds = 0
        while True:
            listed = await self.worker.call(list_entries, self.store, self.log)
            if listed.is_ok():
                self.on_found(listed.unwrap())
            rounds += 1
            interval_s = (
                INITIAL_REFRESH_INTERVAL_S
                if rounds <= INITIAL_ROUNDS
                else REFRESH_INTERVAL_S
            )
            await asyncio.sleep(add_jitter(interval_s, INTERVAL_JITTER_RATIO))

    def _seed_addresses(self) -> list[PeerAddress]:
        port = self.settings.link_port
        links = [Address(seed.host, port).link for seed in self.settings.seeds]
        return [PeerAddress("", link) for link in links if link != self.settings.link]
