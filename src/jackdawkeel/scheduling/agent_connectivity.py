"""The connection of an entry to its agents as a whole."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..policy.late_requests import find_delivery_end
from ..policy.late_requests import find_earliest_start
from .leases import LINK_SILENCE_TIMEOUT_S
from .leases import OWNER_LEASE_S


# A shorter outage ends no run, and is over before a caller resubmits a job.
MIN_OUTAGE_S = OWNER_LEASE_S


@dataclass(slots=True)
class AgentConnectivity:
    """Detects outages: times in which no agent reported.

    Attributes:
        last_report_at: When the last report arrived, in clock seconds; None before the
            first.
        restored_at: When the last outage ended; minus infinity before the first.
        delivery_end: Until when data may arrive late after an outage.
    """

    last_report_at: float | None = None
    restored_at: float = -math.inf
    delivery_end: float = -math.inf

    def record_report(self, now: float) -> float | None:
        """Records a report; returns the length in seconds of an outage it ends."""
        previous, self.last_report_at = self.last_report_at, now
        if previous is None or now - previous < MIN_OUTAGE_S:
            return None
        outage_s = now - previous
        self.restored_at = now
        self.delivery_end = max(self.delivery_end, find_delivery_end(now, outage_s))
        return outage_s

    def is_connected(self, now: float) -> bool:
        """Returns whether agents report."""
        previous = self.last_report_at
        return previous is not None and now - previous < LINK_SILENCE_TIMEOUT_S

    def earliest_start(self, arrived_at: float) -> float:
        """Returns when the tasks of a job that arrived at a time may start."""
        return find_earliest_start(arrived_at, self.restored_at, self.delivery_end)
