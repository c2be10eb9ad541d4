"""Counts the calls to the store, which the platform counts as well."""

from __future__ import annotations

import threading
from collections import Counter
from enum import StrEnum


class CallKind(StrEnum):
    """Every kind of call; a waiting watch is one."""

    RANGE = "range"
    TXN = "txn"
    LEASE_GRANT = "lease_grant"
    LEASE_KEEPALIVE = "lease_keepalive"
    WATCH = "watch"


class CallCounter:
    """Counts calls by kind; safe to use from any thread."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.counts: Counter[CallKind] = Counter()

    def add(self, kind: CallKind) -> None:
        """Counts one call."""
        with self.lock:
            self.counts[kind] += 1

    def read(self) -> dict[CallKind, int]:
        """Returns the number of calls of each kind."""
        with self.lock:
            return {kind: self.counts[kind] for kind in CallKind}
