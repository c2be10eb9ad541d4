"""Placement of the tasks of a step on targets by free capacity.

Designed for jobs of a few tasks, each of which takes about a tenth of a target, placed
by several entries whose view of the free capacity lags a little. Each entry prefers its
own availability zone, so that entries rarely compete for the same capacity, and within
it the target with the largest free share, so that the tasks of a job do not queue
behind each other.

Targets differ in speed, and tasks take longer outside the rack of their data. A wide
job with a tight objective is late if one of its tasks is, so targets on which a task
would end too late are used only if no other target has room.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..scheduling.resources import Resources
    from ..scheduling.specification import StepSpec


# Targets whose tasks take this many times as long as expected rank last.
SLOW_RATIO = 2.0
# Ratio by which the run times of equal tasks on equal targets vary.
RUN_TIME_SPREAD = 1.2


@dataclass(slots=True)
class TargetCapacity:
    """The capacity of a target; each placed task reduces what is free.

    Attributes:
        name: Incarnation of the target's agent.
        labels: Labels of the target; one is its rack.
        free: Resources that are not in use.
        capacity: Total resources.
        is_local: Whether it is in the availability zone of the choosing entry.
        slowness: Ratio of observed to expected run time of its tasks; above 1 if the
            target is disturbed.
        run_time_factor: Run time of a task on targets of this kind, divided by that
            on the average target of the service.
        is_avoided: Whether a task of the group failed or was lost there.
        placed: Number of tasks of the step assigned to it.
    """

    name: str
    labels: frozenset[str]
    free: Resources
    capacity: Resources
    is_local: bool
    slowness: float = 1.0
    run_time_factor: float = 1.0
    is_avoided: bool = False
    placed: int = 0


@dataclass(slots=True)
class Placement:
    """Targets chosen for the tasks of a step, in the order of the tasks.

    Attributes:
        names: One agent per task; shorter than the tasks if not all fit.
    """

    names: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RunTimeLimit:
    """How much longer than expected the tasks of a job may take.

    Attributes:
        max_slowdown: Longest run time with which the job meets its objective, divided
            by the expected run time.
        remote_slowdown: Run time outside the rack of a task's data, divided by that
            within it.
    """

    max_slowdown: float = math.inf
    remote_slowdown: float = 1.0


NO_LIMIT = RunTimeLimit()


def place_tasks(
    step: StepSpec,
    count: int,
    targets: Iterable[TargetCapacity],
    limit: RunTimeLimit = NO_LIMIT,
) -> Placement:
    """Chooses a target for each task until none fits any more.

    Args:
        step: The step that the tasks belong to.
        count: Number of tasks to place.
        targets: Targets to choose from; ``free`` and ``placed`` of the chosen ones
            are updated.
        limit: How long the tasks may take.
    """
    usable = [target for target in targets if _is_usable(step, target)]
    in_time = {
        target.name: _predict_slowdown(step, target, limit) <= limit.max_slowdown
        for target in usable
    }
    placement = Placement()
    for _ in range(count):
        fitting = [target for target in usable if _has_capacity(step, target)]
        if not fitting:
            break
        best = max(
            fitting,
            key=lambda target: (in_time[target.name], *_rank(step, target)),
        )
        best.free = best.free.minus(step.demand)
        best.placed += 1
        placement.names.append(best.name)
    return placement


def count_fitting_tasks(step: StepSpec, targets: Iterable[TargetCapacity]) -> int:
    """Returns how many tasks of a step have room now, on all targets together."""
    return sum(
        target.free.count_fitting(step.demand)
        for target in targets
        if _is_usable(step, target)
    )


def can_ever_run(step: StepSpec, targets: Iterable[TargetCapacity]) -> bool:
    """Returns whether any target could run a task of the step when idle."""
    return any(
        target.capacity.can_fit(step.demand) and _is_usable(step, target)
        for target in targets
    )


def _is_usable(step: StepSpec, target: TargetCapacity) -> bool:
    return not step.required_label or step.required_label in target.labels


def _has_capacity(step: StepSpec, target: TargetCapacity) -> bool:
    if step.max_per_target and target.placed >= step.max_per_target:
        return False
    return target.free.can_fit(step.demand)


def _predict_slowdown(
    step: StepSpec, target: TargetCapacity, limit: RunTimeLimit
) -> float:
    is_remote = bool(step.preferred_rack) and not _is_near_data(step, target)
    remote = limit.remote_slowdown if is_remote else 1.0
    return target.slowness * remote * RUN_TIME_SPREAD


def _is_near_data(step: StepSpec, target: TargetCapacity) -> bool:
    return bool(step.preferred_rack) and step.preferred_rack in target.labels


def _rank(
    step: StepSpec, target: TargetCapacity
) -> tuple[bool, bool, bool, bool, float]:
    share = target.free.cpu_millis / max(1, target.capacity.cpu_millis)
    return (
        not target.is_avoided,
        target.slowness < SLOW_RATIO,
        _is_near_data(step, target),
        target.is_local,
        share,
    )
