"""Keeps an entry in touch with the store: configuration, entries, own lease."""

from __future__ import annotations

import asyncio
import itertools
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import Self

from ..controllers.document import CONFIGURATION_KEY
from ..events import EventName
from ..metrics import HistogramName
from ..periodic import restart_on_error
from ..store.entries import ENTRY_LEASE_S
from ..store.entries import list_entries
from ..store.entries import register_entry
from ..store.interface import StoreErrorKind


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..controllers.configuration import ConfigurationController
    from ..logs import EventLog
    from ..messages import PeerAddress
    from ..metrics import Metrics
    from ..store.interface import KeyChange
    from ..store.interface import Store
    from ..store.interface import Watch


CONFIRM_INTERVAL_S = 0.7
ENTRIES_INTERVAL_S = 3.0
FIRST_ENTRIES_INTERVAL_S = 0.5
FIRST_ENTRIES_ROUNDS = 10
WATCH_RETRY_S = 0.5
RESTART_DELAY_S = 1.0
STORE_THREADS = 8
MAX_READS_AT_ONCE = 3


class StoreSync:
    """Owns the threads that call the store; results come back to the loop."""

    def __init__(
        self,
        *,
        store: Store,
        configuration: ConfigurationController,
        address: PeerAddress,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        on_failed_read: Callable[[], None],
    ) -> None:
        """Describes the sync.

        Args:
            store: The platform's store; owned by the caller.
            configuration: The configuration that is kept up to date.
            address: This entry.
            clock: Clock in seconds.
            log: Event log.
            metrics: Takes the times of confirming reads.
            on_failed_read: Called when a confirming read has failed.
        """
        self.store = store
        self.configuration = configuration
        self.address = address
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.on_failed_read = on_failed_read
        self.entries: list[PeerAddress] = []
        self.lease_id: int | None = None
        self.is_reached: bool | None = None
        self.read_revision = 0
        self.reads: set[asyncio.Task[None]] = set()
        self.watch: Watch | None = None

    def __enter__(self) -> Self:
        self.loop = asyncio.get_running_loop()
        self.threads = ThreadPoolExecutor(STORE_THREADS, "store")
        loops = [
            self._confirm_forever,
            self._watch_forever,
            self._keep_entries_forever,
        ]
        self.tasks = [
            asyncio.create_task(restart_on_error(loop, self.log, RESTART_DELAY_S))
            for loop in loops
        ]
        return self

    def __exit__(self, *_: object) -> None:
        for task in [*self.tasks, *self.reads]:
            task.cancel()
        if self.watch is not None:
            self.watch.close()
        self.threads.shutdown(wait=False, cancel_futures=True)

    async def _confirm_forever(self) -> None:
        while True:
            self.confirm_soon()
            await asyncio.sleep(CONFIRM_INTERVAL_S)

    def confirm_soon(self) -> None:
        """Begins a confirming read; a slow one does not hold up the next."""
        if len(self.reads) < MAX_READS_AT_ONCE:
            read = asyncio.create_task(self.confirm())
            self.reads.add(read)
            read.add_done_callback(self.reads.discard)

    async def confirm(self) -> None:
        """Reads the configuration once, as a confirmation from now."""
        sent_at = self.clock()
        self.configuration.detect_pause(sent_at)
        read = await self.loop.run_in_executor(
            self.threads, self.store.get, CONFIGURATION_KEY
        )
        self.metrics.observe(HistogramName.STORE_CALL, self.clock() - sent_at, "range")
        if read.is_err():
            self._note_failed_read(sent_at)
            return
        reading = read.unwrap()
        self.read_revision = max(self.read_revision, reading.revision)
        if reading.item is not None:
            self.apply(reading.item.mod_revision, reading.item.value)
        revision = reading.item.mod_revision if reading.item is not None else 0
        self.configuration.record_confirmation(sent_at, revision)
        self._note_reached(True)

    def _note_failed_read(self, sent_at: float) -> None:
        self.configuration.record_failed_read(sent_at, self.clock())
        self._note_reached(False)
        self.on_failed_read()

    def apply(self, revision: int, encoded: bytes) -> None:
        """Applies a configuration if it is newer than the one in force."""
        applied = self.configuration.apply(revision, encoded)
        if applied.is_err():
            reason = applied.unwrap_err().message
            self.log.record(EventName.INTERNAL_ERROR, reason=reason)
            return
        if not applied.unwrap():
            return
        self.log.record(EventName.CONFIGURATION_APPLIED, revision=revision)

    async def _watch_forever(self) -> None:
        while not self.read_revision:
            await asyncio.sleep(WATCH_RETRY_S)
        self.watch = self._open_watch()
        while True:
            read = await self.loop.run_in_executor(self.threads, self.watch.read)
            if read.is_ok():
                self._apply_changes(read.unwrap())
                continue
            if read.unwrap_err().kind is StoreErrorKind.CLOSED:
                return
            if read.unwrap_err().kind is StoreErrorKind.COMPACTED:
                await self.confirm()
                self.watch.close()
                self.watch = self._open_watch()
            await asyncio.sleep(WATCH_RETRY_S)

    def _open_watch(self) -> Watch:
        # Nothing was missed up to the store's revision at the last read, and that
        # is less likely to be compacted than the configuration's own revision.
        return self.store.watch(CONFIGURATION_KEY, self.read_revision + 1)

    def _apply_changes(self, changes: list[KeyChange]) -> None:
        for change in changes:
            if change.value is not None:
                self.apply(change.mod_revision, change.value)

    async def _keep_entries_forever(self) -> None:
        for rounds in itertools.count():
            await self._keep_lease()
            found = await self.loop.run_in_executor(
                self.threads, list_entries, self.store
            )
            if found.is_ok():
                self.entries = found.unwrap()
            # Entries that start together learn of each other at once.
            is_young = rounds < FIRST_ENTRIES_ROUNDS
            interval_s = FIRST_ENTRIES_INTERVAL_S if is_young else ENTRIES_INTERVAL_S
            await asyncio.sleep(interval_s)

    async def _keep_lease(self) -> None:
        run = self.loop.run_in_executor
        if self.lease_id is not None:
            kept = await run(self.threads, self.store.keep_alive, self.lease_id)
            if kept.is_ok():
                return
            if kept.unwrap_err().kind is not StoreErrorKind.LEASE_NOT_FOUND:
                return
            self.lease_id = None
        granted = await run(self.threads, self.store.grant_lease, ENTRY_LEASE_S)
        if granted.is_err():
            return
        lease_id = granted.unwrap()
        announced = await run(
            self.threads, register_entry, self.store, self.address, lease_id
        )
        if announced.is_ok() and announced.unwrap().succeeded:
            self.lease_id = lease_id

    def _note_reached(self, is_reached: bool) -> None:
        if is_reached == self.is_reached:
            return
        self.is_reached = is_reached
        name = EventName.STORE_REACHED if is_reached else EventName.STORE_UNREACHABLE
        self.log.record(name)
