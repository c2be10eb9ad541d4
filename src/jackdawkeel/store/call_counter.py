"""Counts calls to the store, which the platform counts as well."""

from __future__ import annotations

import threading
from collections import Counter
from enum import StrEnum


class CallKind(StrEnum):
    """The kinds of calls; each request of a watch counts as one call."""

    RANGE = "range"
    TXN = "txn"
    LEASE_GRANT = "lease_grant"
    LEASE_KEEPALIVE = "lease_keepalive"
    WATCH = "watch"


class CallCounter:
    """Counts calls by kind; thread-safe."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.counts: Counter[CallKind] = Counter()

    def add(self, kind: CallKind) -> None:
        """Adds one call of a kind."""
        with self.lock:
            self.counts[kind] += 1

    def read(self) -> dict[CallKind, int]:
        """Returns the number of calls of each kind."""
        with self.lock:
            return {kind: self.counts[kind] for kind in CallKind}
