"""Which targets get the tasks of a step.

Designed for jobs of a few tasks, each of which takes about a tenth of a target, placed
by several entries whose view of the free capacity lags a little. Each entry prefers its
own availability zone, so that entries rarely compete for the same capacity, and within
it the target with the largest free share, so that the tasks of a job do not queue
behind each other.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..scheduling.resources import Resources
    from ..scheduling.specification import StepSpec


# Targets that take this many times as long as expected are used last.
SLOW_RATIO = 2.0


@dataclass(slots=True)
class TargetCapacity:
    """A target and its free capacity, from which each placed task is subtracted.

    Attributes:
        name: The agent beside the target.
        labels: Labels of the target; one is its rack.
        free: What is free.
        capacity: All that it offers.
        is_local: Whether it is in the chooser's availability zone.
        slowness: Observed over expected run time of its tasks.
        is_avoided: Whether a task of this group went wrong there.
        placed: Tasks of the step that it has or gets.
    """

    name: str
    labels: frozenset[str]
    free: Resources
    capacity: Resources
    is_local: bool
    slowness: float = 1.0
    is_avoided: bool = False
    placed: int = 0


@dataclass(slots=True)
class Placement:
    """The targets chosen for the tasks of a step, in order.

    Attributes:
        names: One agent a task, for as many tasks as fit.
    """

    names: list[str] = field(default_factory=list)


def place_tasks(
    step: StepSpec, count: int, targets: Iterable[TargetCapacity]
) -> Placement:
    """Chooses a target for each of some tasks, as long as any fits.

    Args:
        step: The step that the tasks belong to.
        count: Tasks to place.
        targets: The targets; the free capacity of the chosen ones is reduced.
    """
    usable = [target for target in targets if _is_usable(step, target)]
    placement = Placement()
    for _ in range(count):
        fitting = [target for target in usable if _has_capacity(step, target)]
        if not fitting:
            break
        best = max(fitting, key=lambda target: _rank(step, target))
        best.free = best.free.minus(step.demand)
        best.placed += 1
        placement.names.append(best.name)
    return placement


def can_ever_run(step: StepSpec, targets: Iterable[TargetCapacity]) -> bool:
    """Returns whether any target could run a task of the step when it is empty."""
    return any(
        target.capacity.holds(step.demand) and _is_usable(step, target)
        for target in targets
    )


def _is_usable(step: StepSpec, target: TargetCapacity) -> bool:
    return not step.required_label or step.required_label in target.labels


def _has_capacity(step: StepSpec, target: TargetCapacity) -> bool:
    if step.max_per_target and target.placed >= step.max_per_target:
        return False
    return target.free.holds(step.demand)


def _rank(
    step: StepSpec, target: TargetCapacity
) -> tuple[bool, bool, bool, bool, float]:
    share = target.free.cpu_millis / max(1, target.capacity.cpu_millis)
    return (
        not target.is_avoided,
        target.slowness < SLOW_RATIO,
        bool(step.preferred_rack) and step.preferred_rack in target.labels,
        target.is_local,
        share,
    )
