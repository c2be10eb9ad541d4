"""Interface to the platform's key-value store.

All calls block with a timeout. They run on I/O threads and never access the state of
a controller.
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
    """The kinds of failures of a call to the store."""

    UNAVAILABLE = "unavailable"
    """The call certainly had no effect."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """The write may have taken effect, or may still take effect."""
    COMPACTED = "compacted"
    """The store no longer keeps the watched revisions."""
    LEASE_NOT_FOUND = "lease_not_found"
    """The lease has expired; the call had no effect."""
    CLOSED = "closed"
    """The caller closed the watch."""


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call.

    Attributes:
        kind: The kind of failure, including what is known about its effect.
        message: Description for the log.
        compact_revision: For ``COMPACTED``, the lowest revision that the store still
            keeps; 0 if unknown or for other kinds.
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
    """The result of reading one key.

    Attributes:
        item: The key with its value, or None if the key does not exist.
        revision: The store's revision at the time of the read.
    """

    item: KeyValue | None
    revision: int


@dataclass(frozen=True, slots=True)
class GetPrefixResult:
    """All keys with a prefix, and the store's revision at the time of the read."""

    items: list[KeyValue]
    revision: int


@dataclass(frozen=True, slots=True)
class SwapResult:
    """The result of a compare-and-swap.

    Attributes:
        succeeded: Whether the value was written.
        revision: The revision of the write, or the store's revision if the swap failed.
        current: The existing key if the swap failed; None if the key does not exist.
    """

    succeeded: bool
    revision: int
    current: KeyValue | None = None


@dataclass(frozen=True, slots=True)
class KeyChange:
    """A change of a watched key; the value is None if the key was deleted."""

    key: bytes
    value: bytes | None
    mod_revision: int


class Watch(Protocol):
    """A watch that resumes after failures without missing a change.

    It is a context manager that closes the watch.
    """

    def read(self) -> Result[list[KeyChange], StoreError]:
        """Waits for the next changes, in order of their revisions.

        After ``UNAVAILABLE``, the next call resumes after the last received change.
        After ``COMPACTED``, the caller must read the keys again and open a new watch
        that starts after the store's revision of that read; a key's own revision may
        be older than the compaction.
        """
        ...

    def reconnect(self) -> None:
        """Replaces the connection of a watch that has not delivered a known change."""
        ...

    def close(self) -> None:
        """Closes the watch and interrupts a blocked ``read``; thread-safe."""
        ...

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None: ...


class Store(Protocol):
    """The operations of the platform's store that the dispatcher uses."""

    def get(self, key: bytes) -> Result[GetResult, StoreError]:
        """Reads one key; the result includes every write completed before the call."""
        ...

    def get_prefix(self, prefix: bytes) -> Result[GetPrefixResult, StoreError]:
        """Reads all keys with a prefix, which must not be empty."""
        ...

    def compare_and_swap(
        self,
        key: bytes,
        expected_mod_revision: int,
        value: bytes,
        lease_id: int | None = None,
    ) -> Result[SwapResult, StoreError]:
        """Writes a key if its revision matches; 0 requires that the key is missing."""
        ...

    def grant_lease(self, ttl_s: int) -> Result[int, StoreError]:
        """Grants a lease with a time to live in seconds; returns its id."""
        ...

    def keep_alive(self, lease_id: int) -> Result[int, StoreError]:
        """Renews a lease; returns its new time to live in seconds."""
        ...

    def watch(self, key: bytes, start_revision: int) -> Watch:
        """Watches one key from a revision on; connects at the first ``read``."""
        ...

    def watch_prefix(self, prefix: bytes, start_revision: int) -> Watch:
        """Watches all keys with a prefix from a revision on."""
        ...
