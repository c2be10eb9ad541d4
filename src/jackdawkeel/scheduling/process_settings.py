"""Settings of an entry or agent process, independent of their source."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..connections.limits import MachineLimits
from ..connections.limits import read_machine_limits


if TYPE_CHECKING:
    from ..setting_values import Address


@dataclass(frozen=True, slots=True)
class TimeBounds:
    """Time limits of the deployment.

    Attributes:
        shutdown_s: Time from SIGTERM to SIGKILL, in seconds.
        remote_slowdown: Run time of a task outside the rack of its data, divided by
            that within it.
    """

    shutdown_s: float = 6.0
    remote_slowdown: float = 1.5


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings of one process and its deployment.

    Attributes:
        node: Name of its VM.
        host: IP address of its VM.
        availability_zone: Availability zone of its VM.
        callers: Address to listen on for callers; None on an agent.
        readiness: Address to listen on for the balancer's readiness checks; None on an
            agent.
        heartbeats: Address to listen on for heartbeats of targets; None if no target
            sends any.
        link_port: Port of links between processes, the same on all VMs.
        seeds: Addresses of entries; they may be outdated.
        store: Address of the store.
        target: Address of the agent's target; None on an entry.
        bounds: Time limits of the deployment.
        advertised: Address that other processes connect to; None for the link itself.
        machine: Memory and descriptors that the process may use.
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
    machine: MachineLimits = field(default_factory=read_machine_limits)

    @property
    def link(self) -> str:
        """URL at which the process listens for other processes."""
        return f"tcp://{self.host}:{self.link_port}"

    @property
    def dialled_link(self) -> str:
        """URL at which other processes connect to it."""
        return self.link if self.advertised is None else self.advertised.link
