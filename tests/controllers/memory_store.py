"""An in-memory store with faults injected into its next calls."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from jackdawkeel.store.interface import GetPrefixResult
from jackdawkeel.store.interface import GetResult
from jackdawkeel.store.interface import KeyValue
from jackdawkeel.store.interface import StoreError
from jackdawkeel.store.interface import StoreErrorKind
from jackdawkeel.store.interface import SwapResult


if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from jackdawkeel.store.interface import Watch


class Fault(StrEnum):
    """A fault of one call.

    Attributes:
        NONE: The call succeeds.
        DOWN: The store is unavailable.
        ANSWER_LOST: The swap is applied, but its answer is lost.
        REQUEST_LOST: The swap is not applied and has no answer.
        APPLIED_AFTER_READ: The swap has no answer and is applied after the next read.
        LEASE_LOST: The store no longer has the lease of the swap.
    """

    NONE = "none"
    DOWN = "down"
    ANSWER_LOST = "answer_lost"
    REQUEST_LOST = "request_lost"
    APPLIED_AFTER_READ = "applied_after_read"
    LEASE_LOST = "lease_gone"


ERROR_KINDS = {
    Fault.DOWN: StoreErrorKind.UNAVAILABLE,
    Fault.LEASE_LOST: StoreErrorKind.LEASE_NOT_FOUND,
}


@dataclass(slots=True)
class MemoryStore:
    """Keys in memory; each call consumes the next fault of its kind.

    Attributes:
        items: The stored keys.
        revision: Revision of the last write.
        swap_faults: Faults of the next swaps.
        get_faults: Faults of the next reads of a key.
        grant_faults: Faults of the next lease grants.
        before_swap: Each is called before one swap, to write as a rival.
        late_swap: A swap to apply after the next read.
        leases: TTL of each granted lease in seconds; the ids count from 1.
        lease_ids: Lease id of each swap that was neither lost nor delayed.
    """

    items: dict[bytes, KeyValue] = field(default_factory=dict)
    revision: int = 1
    swap_faults: deque[Fault] = field(default_factory=deque)
    get_faults: deque[Fault] = field(default_factory=deque)
    grant_faults: deque[Fault] = field(default_factory=deque)
    before_swap: deque[Callable[[], None]] = field(default_factory=deque)
    late_swap: Callable[[], None] | None = None
    leases: list[int] = field(default_factory=list)
    lease_ids: list[int | None] = field(default_factory=list)

    def get(self, key: bytes) -> Result[GetResult, StoreError]:
        """Reads a key, then applies a late swap."""
        if self.get_faults and self.get_faults.popleft() is not Fault.NONE:
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, "down"))
        reading = GetResult(self.items.get(key), self.revision)
        late_swap, self.late_swap = self.late_swap, None
        if late_swap:
            late_swap()
        return Ok(reading)

    def get_prefix(self, prefix: bytes) -> Result[GetPrefixResult, StoreError]:
        """Reads all keys with a prefix."""
        items = [item for key, item in self.items.items() if key.startswith(prefix)]
        return Ok(GetPrefixResult(items, self.revision))

    def compare_and_swap(
        self,
        key: bytes,
        expected_mod_revision: int,
        value: bytes,
        lease_id: int | None = None,
    ) -> Result[SwapResult, StoreError]:
        """Swaps the value of a key, with the next swap fault applied."""
        if self.before_swap:
            self.before_swap.popleft()()
        fault = self.swap_faults.popleft() if self.swap_faults else Fault.NONE
        if fault in ERROR_KINDS:
            return Err(StoreError(ERROR_KINDS[fault], fault))
        if fault is Fault.APPLIED_AFTER_READ:
            self.late_swap = lambda: self._apply_late_swap(
                key, expected_mod_revision, value
            )
        if fault in (Fault.APPLIED_AFTER_READ, Fault.REQUEST_LOST):
            return Err(StoreError(StoreErrorKind.OUTCOME_UNKNOWN, fault))
        swapped = self.swap(key, expected_mod_revision, value)
        self.lease_ids.append(lease_id)
        if fault is Fault.ANSWER_LOST:
            return Err(StoreError(StoreErrorKind.OUTCOME_UNKNOWN, fault))
        return Ok(swapped)

    def swap(self, key: bytes, expected: int, value: bytes) -> SwapResult:
        """Swaps without a fault, as another writer would."""
        current = self.items.get(key)
        if (current.mod_revision if current else 0) != expected:
            return SwapResult(False, self.revision, current)
        self.revision += 1
        self.items[key] = KeyValue(key, value, self.revision)
        return SwapResult(True, self.revision)

    def grant_lease(self, ttl_s: int) -> Result[int, StoreError]:
        """Grants a lease that never expires."""
        if self.grant_faults and self.grant_faults.popleft() is not Fault.NONE:
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, "down"))
        self.leases.append(ttl_s)
        return Ok(len(self.leases))

    def keep_alive(self, lease_id: int) -> Result[int, StoreError]:
        """Renews a lease."""
        return Ok(self.leases[lease_id - 1])

    def watch(self, key: bytes, start_revision: int) -> Watch:
        """Not supported by this store."""
        raise NotImplementedError

    def watch_prefix(self, prefix: bytes, start_revision: int) -> Watch:
        """Not supported by this store."""
        raise NotImplementedError

    def _apply_late_swap(self, key: bytes, expected: int, value: bytes) -> None:
        self.swap(key, expected, value)
