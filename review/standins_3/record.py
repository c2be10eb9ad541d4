"""The record of a case: what was sent, answered and run, in order of time."""

from __future__ import annotations

import threading
import time


class Record:
    """Writes one line for each event; the time counts from the start of the case."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Returns the time since the start of the case, in seconds."""
        return time.monotonic() - self.started_at

    def add(self, who: str, what: str) -> float:
        """Writes an event and returns its time."""
        with self.lock:
            at = self.now()
            self.file.write(f"{at:8.3f} {who:<12} {what}\n")
            self.file.flush()
            return at
