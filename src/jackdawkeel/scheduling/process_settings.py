"""Settings of a process that schedules or runs jobs, whatever wrote them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from ..setting_values import Address


@dataclass(frozen=True, slots=True)
class TimeBounds:
    """Times that the deployment promises or demands, in seconds.

    Attributes:
        shutdown_s: Time from SIGTERM to SIGKILL.
    """

    shutdown_s: float = 6.0


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """What a process is told about itself and its deployment.

    Attributes:
        node: Name of its VM.
        host: IP number of its VM.
        availability_zone: Where it runs.
        callers: Where callers are served; None on an agent.
        readiness: Where the balancer asks for readiness; None on an agent.
        heartbeats: Where targets send heartbeats; None if nobody does.
        link_port: Port of links between processes, the same on all VMs.
        seeds: Addresses of entries that may be stale.
        store: Address of the store.
        target: Address of the agent's target; None on an entry.
        bounds: Times of the deployment.
        advertised: Address that other processes dial; None for the link itself.
    """

    node: str
    host: str
    availability_zone: str
    callers: Address | None
    readiness: Address | None
    heartbeats: Address | None
    link_port: int
    seeds: tuple[Address, ...]
    store: Address
    target: Address | None
    bounds: TimeBounds
    advertised: Address | None = None

    @property
    def link(self) -> str:
        """Where the process listens for other processes."""
        return f"tcp://{self.host}:{self.link_port}"

    @property
    def dialled_link(self) -> str:
        """Where other processes reach it."""
        return self.link if self.advertised is None else self.advertised.link
