"""The narrow interface to the platform's key-value store.

All calls block, with timeouts, and run on I/O threads; they never touch the state
of a controller.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Protocol
from typing import Self


if TYPE_CHECKING:
    from types import TracebackType

    from result import Result


class StoreErrorKind(StrEnum):
    """Every way in which a call to the store can fail."""

    UNAVAILABLE = "unavailable"
    """The call certainly had no effect."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """The write may have taken effect, or may still do so."""
    COMPACTED = "compacted"
    """The watched revisions are no longer kept."""
    LEASE_NOT_FOUND = "lease_not_found"
    """The lease has expired; the call had no effect."""
    CLOSED = "closed"
    """The watch was closed by its owner."""


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call.

    Attributes:
        kind: What is known about its effect.
        message: One sentence for the log.
        compact_revision: Lowest revision that is still kept, with ``COMPACTED``.
    """

    kind: StoreErrorKind
    message: str
    compact_revision: int = 0


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value and the revision that last wrote it."""

    key: bytes
    value: bytes
    mod_revision: int


@dataclass(frozen=True, slots=True)
class GetResult:
    """The state of one key.

    Attributes:
        item: The key's value, or None if it does not exist.
        revision: The revision of the store when it was read.
    """

    item: KeyValue | None
    revision: int


@dataclass(frozen=True, slots=True)
class GetPrefixResult:
    """All keys with a prefix, and the store's revision when they were read."""

    items: list[KeyValue]
    revision: int


@dataclass(frozen=True, slots=True)
class SwapResult:
    """The answer to a compare-and-swap.

    Attributes:
        succeeded: Whether the value was written.
        revision: The store's revision; that of the write if it succeeded.
        current: What stands in the way, if the swap failed and the key exists.
    """

    succeeded: bool
    revision: int
    current: KeyValue | None = None


@dataclass(frozen=True, slots=True)
class KeyChange:
    """One change of a watched key; the value is None if the key was deleted."""

    key: bytes
    value: bytes | None
    mod_revision: int


class Watch(Protocol):
    """A watch that resumes without a gap; a context manager."""

    def read(self) -> Result[list[KeyChange], StoreError]:
        """Waits for the next changes, in order of their revisions.

        After ``UNAVAILABLE`` a later call resumes where the watch was. After
        ``COMPACTED`` the keys must be read and watched anew, from the revision after
        that of the reading: a key's own revision may be older than the compaction.
        """
        ...

    def reconnect(self) -> None:
        """Replaces the connection; for a watch that missed a known change."""
        ...

    def close(self) -> None:
        """Ends the watch and any waiting ``read``; may be called by any thread."""
        ...

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None: ...


class Store(Protocol):
    """The calls that the dispatcher makes to the platform's store."""

    def get(self, key: bytes) -> Result[GetResult, StoreError]:
        """Reads one key; the answer reflects every write that ended before."""
        ...

    def get_prefix(self, prefix: bytes) -> Result[GetPrefixResult, StoreError]:
        """Reads all keys that start with a prefix, which must not be empty."""
        ...

    def compare_and_swap(
        self,
        key: bytes,
        expected_mod_revision: int,
        value: bytes,
        lease_id: int | None = None,
    ) -> Result[SwapResult, StoreError]:
        """Writes a key if its revision is the expected one, 0 for no such key."""
        ...

    def grant_lease(self, ttl_s: int) -> Result[int, StoreError]:
        """Grants a lease that expires after so many seconds; returns its id."""
        ...

    def keep_alive(self, lease_id: int) -> Result[int, StoreError]:
        """Renews a lease; returns its new time to live in seconds."""
        ...

    def watch(self, key: bytes, start_revision: int) -> Watch:
        """Watches one key from a revision on; opens nothing before ``read``."""
        ...

    def watch_prefix(self, prefix: bytes, start_revision: int) -> Watch:
        """Watches all keys with a prefix from a revision on."""
        ...
