"""Callers' keys that an entry has seen claimed, for outages of the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from ..clock import Clock


MAX_KEYS = 20_000
KEY_RETENTION_S = 24 * 60 * 60


@dataclass(frozen=True, slots=True)
class KnownKey:
    """The job id of a key, and when it was learned, in seconds of the clock."""

    job_id: str
    recorded_at: float


class KnownKeysController:
    """Keeps a bounded number of keys, the latest ones, for as long as the store."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.keys: dict[str, KnownKey] = {}

    def record_key(self, key: str, job_id: str) -> None:
        """Notes that a key stands for a job id."""
        self.keys.pop(key, None)
        self.keys[key] = KnownKey(job_id, self.clock())
        if len(self.keys) > MAX_KEYS:
            del self.keys[next(iter(self.keys))]

    def find(self, key: str) -> str | None:
        """Returns the job id of a key, or None if it is not known."""
        known = self.keys.get(key)
        if known is None or self.clock() - known.recorded_at > KEY_RETENTION_S:
            return None
        return known.job_id
