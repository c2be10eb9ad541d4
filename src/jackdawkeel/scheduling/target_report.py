"""The heartbeat of a target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .resources import Resources


@dataclass(frozen=True, slots=True)
class TargetReport:
    """One heartbeat of a target.

    Attributes:
        instance: Id of the target, which may stay the same over a restart.
        born_ms: When the target started, in milliseconds since 1970.
        sequence: Number that grows with each heartbeat of one incarnation.
        service: Service of the target.
        availability_zone: Availability zone of the target.
        labels: Its kind and its rack.
        capacity: Total resources of the target.
        is_draining: Whether it will shut down soon.
        remaining_s: Minimum time until it shuts down, in seconds; None if unknown.
    """

    instance: str
    born_ms: int
    sequence: int
    service: str
    availability_zone: str
    labels: tuple[str, ...]
    capacity: Resources
    is_draining: bool
    remaining_s: float | None = None
