"""What happens to the fleet before the load begins."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawkeel.scheduling.resources import Resources


if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.shared_room.state import ModelAgent
    from bench.shared_room.state import ModelEntry

LOST_ZONE = "c"
CALLED_ZONE = "e"


def change_nothing(_entries: list[ModelEntry], _agents: list[ModelAgent]) -> None:
    """Leaves the fleet as it is."""


def evacuate_zone(_entries: list[ModelEntry], agents: list[ModelAgent]) -> None:
    """Takes the targets of one zone away; its entries still have their callers."""
    for agent in agents:
        if agent.zone == LOST_ZONE:
            agent.capacity = agent.free = Resources()


def shift_callers(entries: list[ModelEntry], _agents: list[ModelAgent]) -> None:
    """Moves all callers to the entries of one zone."""
    count = sum(entry.zone == CALLED_ZONE for entry in entries)
    for entry in entries:
        entry.share = 1 / count if entry.zone == CALLED_ZONE else 0.0


SCENARIOS: dict[str, Callable[[list[ModelEntry], list[ModelAgent]], None]] = {
    "burst": change_nothing,
    "hot rack": change_nothing,
    "evacuated zone": evacuate_zone,
    "callers at one zone": shift_callers,
}
