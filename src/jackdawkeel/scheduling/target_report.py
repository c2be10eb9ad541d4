"""What a target says of itself."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .resources import Resources


@dataclass(frozen=True, slots=True)
class TargetReport:
    """One heartbeat of a target.

    Attributes:
        instance: Id of the target, which a restart may keep.
        born_ms: Start of the target, in milliseconds since 1970.
        sequence: Grows with each heartbeat of one incarnation.
        service: The service that it serves.
        availability_zone: Where it runs.
        labels: Its kind and its rack.
        capacity: All that it offers.
        is_draining: Whether it leaves soon.
        remaining_s: Least time until it leaves, in seconds, if it is known.
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
