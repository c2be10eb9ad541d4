"""Placement of the tasks of a step on targets by free capacity.

Designed for jobs of a few tasks, each of which takes about a tenth of a target, placed
by several entries whose view of the free capacity lags a little. Each entry prefers its
own availability zone, so that entries rarely compete for the same capacity, and within
it the target with the largest free share, so that the tasks of a job do not queue
behind each other.

Targets differ in speed, and tasks take longer outside the rack of their data. A wide
job with a tight objective is late if one of its tasks is, so targets on which a task
would end too late are used only if no other target has room. While fast targets are
nearly full, tasks that end in time on slower ones leave them free. A task that would
be late on all targets with room may wait for one that is full.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .rack_demand import make_reserve_check
from .target_rank import do_kinds_differ
from .target_rank import is_in_time
from .target_rank import make_rank
from .target_rank import should_save_fast_targets


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from ..scheduling.resources import Resources
    from ..scheduling.specification import StepSpec


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
        has_trial: Whether a task that may have crashed a target is on trial there.
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
    has_trial: bool = False


@dataclass(slots=True)
class Placement:
    """Targets chosen for the tasks of a step, in the order of the tasks.

    Attributes:
        targets: One target per task; shorter than the tasks if not all fit.
        held: Number of tasks for which there is room, but which wait for a target on
            which they end in time.
    """

    targets: list[TargetCapacity] = field(default_factory=list)
    held: int = 0

    @property
    def names(self) -> list[str]:
        """The agents of the chosen targets."""
        return [target.name for target in self.targets]


@dataclass(frozen=True, slots=True)
class RunTimeLimit:
    """How much longer than expected the tasks of a job may take.

    Attributes:
        max_slowdown: Longest run time with which the job meets its objective, divided
            by the expected run time.
        remote_slowdown: Run time outside the rack of a task's data, divided by that
            within it.
        may_wait: Whether tasks wait for a full target if they end in time only there.
        predict_release: Returns when a full target may have capacity at the earliest,
            in expected run times from now.
    """

    max_slowdown: float = math.inf
    remote_slowdown: float = 1.0
    may_wait: bool = True
    predict_release: Callable[[TargetCapacity], float] = lambda _target: 0.0


NO_LIMIT = RunTimeLimit()


def place_tasks(
    step: StepSpec,
    count: int,
    targets: Iterable[TargetCapacity],
    limit: RunTimeLimit = NO_LIMIT,
    reserves: Mapping[str, float] | None = None,
) -> Placement:
    """Chooses a target for each task until none fits any more.

    Args:
        step: The step that the tasks belong to.
        count: Number of tasks to place.
        targets: Targets to choose from; ``free`` and ``placed`` of the chosen ones
            are updated.
        limit: How long the tasks may take.
        reserves: Free processors that tasks without a preferred rack leave free in each
            rack, in thousandths of a core.
    """
    usable = [target for target in targets if _is_usable(step, target)]
    placement = Placement()
    fitting = [
        index for index, target in enumerate(usable) if _has_capacity(step, target)
    ]
    if not fitting:
        return placement
    kinds_differ = do_kinds_differ(usable)
    prefers_rack = bool(step.preferred_rack) and limit.remote_slowdown > 1
    is_uneven = kinds_differ or prefers_rack
    is_reserved = None
    if reserves and not step.preferred_rack and limit.remote_slowdown > 1:
        is_reserved = make_reserve_check(usable, reserves, step.demand.cpu_millis)
    saves_fast = kinds_differ and should_save_fast_targets(step, usable, limit)
    rank = make_rank(
        step, limit, is_reserved, is_uneven=is_uneven, saves_fast=saves_fast
    )
    ranked = [(rank(usable[index]), index) for index in fitting]
    heapq.heapify(ranked)
    may_wait = limit.may_wait and is_uneven
    while ranked and len(placement.targets) < count:
        key, index = ranked[0]
        best = usable[index]
        # Tasks that were just placed in the rack may have used what is not reserved.
        if is_reserved is not None and not key[3] and is_reserved(best):
            heapq.heapreplace(ranked, (rank(best), index))
            continue
        is_late = key[0]
        if is_late and may_wait:
            if any(_is_worth_waiting(step, target, limit) for target in usable):
                placement.held = count - len(placement.targets)
                break
            may_wait = False
        best.free = best.free.minus(step.demand)
        best.placed += 1
        placement.targets.append(best)
        if _has_capacity(step, best):
            heapq.heapreplace(ranked, (rank(best), index))
        else:
            heapq.heappop(ranked)
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


def _is_worth_waiting(
    step: StepSpec, target: TargetCapacity, limit: RunTimeLimit
) -> bool:
    """Returns whether a task should wait for a full target."""
    if step.max_per_target and target.placed >= step.max_per_target:
        return False
    return (
        not target.is_avoided
        and not target.free.can_fit(step.demand)
        and target.capacity.can_fit(step.demand)
        and is_in_time(step, target, limit, limit.predict_release(target))
    )
