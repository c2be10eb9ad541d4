"""Follows the operators' keys in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..events import EventName
from ..store.interface import StoreErrorKind
from .worker_thread import WorkerThread


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..logs import EventLog
    from ..store.interface import Store
    from ..store.interface import Watch
    from .operator_state import OperatorState


# Pause after a failed call; a quarter of a second of the time within which a change
# must be applied.
RETRY_DELAY_S = 0.25


class StoreFollower:
    """Reads the operators' keys and watches them for changes.

    All keys are read again when the watch can't continue.
    """

    def __init__(
        self,
        store: Store,
        state: OperatorState,
        log: EventLog,
        on_change: Callable[[], None],
    ) -> None:
        self.store = store
        self.state = state
        self.log = log
        self.on_change = on_change
        self.is_reachable: bool | None = None
        self.worker = WorkerThread("store-watch", self._follow, log)

    async def _follow(self) -> None:
        while True:
            revision = await self._read_all()
            with self.store.watch_prefix(self.state.keys.prefix, revision + 1) as watch:
                await self._watch(watch)

    async def _read_all(self) -> int:
        prefix = self.state.keys.prefix
        while True:
            result = await self.worker.call(self.store.get_prefix, prefix)
            if result.is_ok():
                snapshot = result.unwrap()
                self._set_reachable(True)
                self.state.apply_snapshot(snapshot.items, snapshot.revision)
                self.on_change()
                return snapshot.revision
            self._set_reachable(False, result.unwrap_err().message)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _watch(self, watch: Watch) -> None:
        while True:
            result = await self.worker.call(watch.read)
            if result.is_err():
                error = result.unwrap_err()
                self._set_reachable(False, error.message)
                if error.kind is not StoreErrorKind.UNAVAILABLE:
                    return
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._set_reachable(True)
            changes = result.unwrap()
            for change in changes:
                self.state.apply_change(change.key, change.value, change.mod_revision)
            if changes:
                self.on_change()

    def _set_reachable(self, is_reachable: bool, reason: str = "") -> None:
        if is_reachable == self.is_reachable:
            return
        self.is_reachable = is_reachable
        if is_reachable:
            self.log.record(EventName.STORE_REACHED)
        else:
            self.log.record(EventName.STORE_UNREACHABLE, reason=reason)
