"""Data of the store stand-ins: keys, leases and the history of writes."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class Item:
    """A version of a key; a deleted one has an empty value."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0
    deleted: bool = False


@dataclass(slots=True)
class Lease:
    """A lease; ``expires_at`` is a time of the monotonic clock, in seconds."""

    ttl_s: int
    expires_at: float


@dataclass(slots=True)
class StoreData:
    """Keys with revisions as in etcd.

    Callers hold ``changed`` during each access; a change notifies its waiters.
    """

    changed: threading.Condition = field(default_factory=threading.Condition)
    revision: int = 1
    compact_revision: int = 0
    items: dict[bytes, Item] = field(default_factory=dict)
    history: list[Item] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)
    last_lease: int = 1000

    def read_range(self, key: bytes, range_end: bytes) -> list[Item]:
        """Returns the items of a range, sorted by key."""
        matches = [
            item for item in self.items.values() if in_range(item.key, key, range_end)
        ]
        return sorted(matches, key=lambda item: item.key)

    def put(self, key: bytes, value: bytes, lease: int, revision: int) -> None:
        """Writes a key in a new revision; ``commit`` completes it."""
        old = self.items.get(key)
        created = old.create_revision if old else revision
        version = old.version + 1 if old else 1
        self.items[key] = Item(key, value, created, revision, version, lease)
        self.history.append(self.items[key])

    def delete_range(self, key: bytes, range_end: bytes, revision: int) -> int:
        """Deletes the keys of a range in a new revision; returns their number."""
        matches = self.read_range(key, range_end)
        for item in matches:
            del self.items[item.key]
            self.history.append(Item(item.key, b"", 0, revision, 0, 0, deleted=True))
        return len(matches)

    def commit(self, revision: int) -> None:
        """Makes a revision the current one if it contains changes."""
        if self.history and self.history[-1].mod_revision == revision:
            self.revision = revision
            self.changed.notify_all()

    def grant_lease(self, ttl_s: int) -> int:
        """Grants a lease; returns its id."""
        self.last_lease += 1
        self.leases[self.last_lease] = Lease(ttl_s, time.monotonic() + ttl_s)
        return self.last_lease

    def keep_alive(self, lease_id: int) -> int:
        """Renews a lease; returns its time to live in seconds, 0 if it has expired."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = time.monotonic() + lease.ttl_s
        return lease.ttl_s

    def expire_leases(self) -> None:
        """Deletes expired leases and the keys attached to them."""
        now = time.monotonic()
        expired = [
            name for name, lease in self.leases.items() if lease.expires_at <= now
        ]
        for lease_id in expired:
            del self.leases[lease_id]
            keys = [item.key for item in self.items.values() if item.lease == lease_id]
            for key in keys:
                self.delete_range(key, b"", self.revision + 1)
            self.commit(self.revision + 1)

    def compact(self, revision: int) -> None:
        """Compacts the history: watches from an earlier revision fail."""
        self.compact_revision = revision
        self.changed.notify_all()


def in_range(name: bytes, key: bytes, range_end: bytes) -> bool:
    """Returns whether a key is in a range, as etcd defines ranges."""
    if not range_end:
        return name == key
    return name >= key and (range_end == b"\x00" or name < range_end)
