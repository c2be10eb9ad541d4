"""Synchronises an entry with the store: configuration, list of entries, own lease."""

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
STARTUP_ENTRIES_INTERVAL_S = 0.5
STARTUP_ENTRIES_ROUNDS = 10
WATCH_RETRY_INTERVAL_S = 0.5
RESTART_DELAY_S = 1.0
STORE_THREADS = 8
MAX_CONCURRENT_READS = 3


class StoreSync:
    """Owns the threads that call the store; results are handled on the event loop."""

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
        """Creates the synchronisation; entering the context starts it.

        Args:
            store: The platform's store; it is not closed here.
            configuration: The configuration to keep up to date.
            address: Address of this entry, registered in the store.
            clock: Clock in seconds.
            log: Event log.
            metrics: Records the durations of confirming reads.
            on_failed_read: Called after each failed confirming read.
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
        self.is_reachable: bool | None = None
        self.read_revision = 0
        self.pending_reads: set[asyncio.Task[None]] = set()
        self.watch: Watch | None = None

    def __enter__(self) -> Self:
        self.loop = asyncio.get_running_loop()
        self.threads = ThreadPoolExecutor(STORE_THREADS, "store")
        loops = [
            self._confirm_configuration_forever,
            self._watch_forever,
            self._refresh_entries_forever,
        ]
        self.tasks = [
            asyncio.create_task(restart_on_error(loop, self.log, RESTART_DELAY_S))
            for loop in loops
        ]
        return self

    def __exit__(self, *_: object) -> None:
        for task in [*self.tasks, *self.pending_reads]:
            task.cancel()
        if self.watch is not None:
            self.watch.close()
        self.threads.shutdown(wait=False, cancel_futures=True)

    async def _confirm_configuration_forever(self) -> None:
        while True:
            self.schedule_confirmation()
            await asyncio.sleep(CONFIRM_INTERVAL_S)

    def schedule_confirmation(self) -> None:
        """Starts a confirming read, up to ``MAX_CONCURRENT_READS`` at once.

        A slow read therefore does not delay the next one.
        """
        if len(self.pending_reads) < MAX_CONCURRENT_READS:
            read = asyncio.create_task(self.confirm_configuration())
            self.pending_reads.add(read)
            read.add_done_callback(self.pending_reads.discard)

    async def confirm_configuration(self) -> None:
        """Reads the configuration once and records the result.

        A successful read confirms the configuration as of the time it was sent.
        """
        sent_at = self.clock()
        self.configuration.detect_pause(sent_at)
        read = await self.loop.run_in_executor(
            self.threads, self.store.get, CONFIGURATION_KEY
        )
        self.metrics.observe(HistogramName.STORE_CALL, self.clock() - sent_at, "range")
        if read.is_err():
            self._record_failed_read(sent_at)
            return
        key_read = read.unwrap()
        self.read_revision = max(self.read_revision, key_read.revision)
        if key_read.item is not None:
            self.apply(key_read.item.mod_revision, key_read.item.value)
        revision = key_read.item.mod_revision if key_read.item is not None else 0
        self.configuration.record_confirmation(sent_at, revision)
        self._record_reachability(True)

    def _record_failed_read(self, sent_at: float) -> None:
        self.configuration.record_failed_read(sent_at, self.clock())
        self._record_reachability(False)
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
            await asyncio.sleep(WATCH_RETRY_INTERVAL_S)
        self.watch = self._open_watch()
        while True:
            read = await self.loop.run_in_executor(self.threads, self.watch.read)
            if read.is_ok():
                self._apply_changes(read.unwrap())
                continue
            if read.unwrap_err().kind is StoreErrorKind.CLOSED:
                return
            if read.unwrap_err().kind is StoreErrorKind.COMPACTED:
                await self.confirm_configuration()
                self.watch.close()
                self.watch = self._open_watch()
            await asyncio.sleep(WATCH_RETRY_INTERVAL_S)

    def _open_watch(self) -> Watch:
        # The last read covers all changes up to the store's revision at that time.
        # That revision is less likely to be compacted than the one at which the
        # configuration last changed.
        return self.store.watch(CONFIGURATION_KEY, self.read_revision + 1)

    def _apply_changes(self, changes: list[KeyChange]) -> None:
        for change in changes:
            if change.value is not None:
                self.apply(change.mod_revision, change.value)

    async def _refresh_entries_forever(self) -> None:
        for round_number in itertools.count():
            await self._renew_lease()
            listed = await self.loop.run_in_executor(
                self.threads, list_entries, self.store, self.log
            )
            if listed.is_ok():
                self.entries = listed.unwrap()
            # Shorter interval at first, so that entries that start at the same time
            # find each other quickly.
            is_starting = round_number < STARTUP_ENTRIES_ROUNDS
            interval_s = (
                STARTUP_ENTRIES_INTERVAL_S if is_starting else ENTRIES_INTERVAL_S
            )
            await asyncio.sleep(interval_s)

    async def _renew_lease(self) -> None:
        run = self.loop.run_in_executor
        if self.lease_id is not None:
            renewed = await run(self.threads, self.store.keep_alive, self.lease_id)
            if renewed.is_ok():
                return
            if renewed.unwrap_err().kind is not StoreErrorKind.LEASE_NOT_FOUND:
                return
            self.lease_id = None
        granted = await run(self.threads, self.store.grant_lease, ENTRY_LEASE_S)
        if granted.is_err():
            return
        lease_id = granted.unwrap()
        registered = await run(
            self.threads, register_entry, self.store, self.address, lease_id
        )
        if registered.is_ok() and registered.unwrap().succeeded:
            self.lease_id = lease_id

    def _record_reachability(self, is_reachable: bool) -> None:
        if is_reachable == self.is_reachable:
            return
        self.is_reachable = is_reachable
        name = EventName.STORE_REACHED if is_reachable else EventName.STORE_UNREACHABLE
        self.log.record(name)
