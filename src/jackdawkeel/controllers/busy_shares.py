"""Measures the moving average of the share of busy slots of each service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..policy.reserve import update_busy_share


if TYPE_CHECKING:
    from collections.abc import Mapping

    from .peers import PeerController
    from .service_stats import ServiceStats


MEASUREMENT_INTERVAL_S = 1.0


class BusyShares:
    """Updates the average share of busy slots of each service.

    The slots are those of all peers of the service in zones in service.

    Attributes:
        peers: The agents whose slots are counted.
        updated_at: When the averages were last updated, in seconds of the clock.
    """

    def __init__(self, peers: PeerController, now: float) -> None:
        self.peers = peers
        self.updated_at = now

    def update(self, services: Mapping[str, ServiceStats], now: float) -> None:
        """Updates the averages if ``MEASUREMENT_INTERVAL_S`` has passed."""
        elapsed_s = now - self.updated_at
        if elapsed_s < MEASUREMENT_INTERVAL_S:
            return
        self.updated_at = now
        for service, stats in services.items():
            capacity = self.peers.measure_capacity(service, tasks=1)
            running = min(capacity.open_tasks, capacity.slots)
            stats.busy_share = update_busy_share(
                stats.busy_share, running, capacity.slots, elapsed_s
            )
