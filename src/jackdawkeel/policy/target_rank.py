"""Ranks of targets by predicted run time, distance and free capacity.

Designed for targets whose kinds differ in speed by up to a factor of 2.4, while the
fast ones are nearly full for some seconds: tasks that end in time on a slower kind then
leave the fast targets to those that need them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from ..scheduling.specification import StepSpec
    from .packing import RunTimeLimit
    from .packing import TargetCapacity

    # Sort key of a target; the smallest one is the best.
    Rank = tuple[bool, bool, bool, bool, bool, float, bool, float]


# Targets whose tasks take this many times as long as expected rank last.
SLOW_RATIO = 2.0
# Ratio by which the run times of equal tasks on equal targets vary.
RUN_TIME_SPREAD = 1.2
# Kinds of targets whose run times differ by less than this ratio count as equal,
# because factors learnt from a few runs vary.
KIND_RATIO = 1.1
# Fast targets with at least this free share have room for bursts of wide jobs.
AMPLE_FREE_SHARE = 0.25
# Below that, fast targets are scarce if their free share is less than this multiple of
# that of all targets; the shares of small groups of targets differ by chance.
SCARCE_SHARE_RATIO = 0.75
# Decimals that distinguish predicted run times, as multiples of the expected run time;
# measured slowness is not more accurate.
RATIO_DECIMALS = 1


def predict_slowdown(
    step: StepSpec, target: TargetCapacity, remote_slowdown: float
) -> float:
    """Returns the predicted run time on a target, divided by the expected run time.

    Args:
        step: The step of the task.
        target: The target.
        remote_slowdown: Run time outside the rack of a task's data, divided by that
            within it.
    """
    rack = step.preferred_rack
    distance = remote_slowdown if rack and rack not in target.labels else 1.0
    return target.run_time_factor * target.slowness * distance


def is_near_data(step: StepSpec, target: TargetCapacity) -> bool:
    """Returns whether a target is in the rack that the step prefers."""
    return bool(step.preferred_rack) and step.preferred_rack in target.labels


def is_in_time(
    step: StepSpec, target: TargetCapacity, limit: RunTimeLimit, delay: float = 0.0
) -> bool:
    """Returns whether a task that starts on a target is likely to end in time.

    Args:
        step: The step of the task.
        target: The target.
        limit: How long the task may take.
        delay: When it starts, in expected run times from now.
    """
    slowdown = predict_slowdown(step, target, limit.remote_slowdown)
    return delay + slowdown * RUN_TIME_SPREAD <= limit.max_slowdown


def do_kinds_differ(targets: Iterable[TargetCapacity]) -> bool:
    """Returns whether the kinds of the targets have different run times."""
    factors = [target.run_time_factor for target in targets]
    return max(factors) > KIND_RATIO * min(factors)


def are_fast_targets_scarce(fast_free_share: float, free_share: float) -> bool:
    """Returns whether tasks that don't need the fast targets should leave them free.

    Args:
        fast_free_share: Free share of the processors of the fast targets.
        free_share: Free share of the processors of all targets of the service.
    """
    return fast_free_share < min(AMPLE_FREE_SHARE, SCARCE_SHARE_RATIO * free_share)


def should_save_fast_targets(
    step: StepSpec, targets: Sequence[TargetCapacity], limit: RunTimeLimit
) -> bool:
    """Returns whether a task should run on the slowest kind on which it is in time.

    The fast targets for a task are those of faster kinds than that.
    """
    slowest = max(
        (
            target.run_time_factor
            for target in targets
            if is_in_time(step, target, limit)
        ),
        default=0.0,
    )
    fast = [
        target for target in targets if target.run_time_factor * KIND_RATIO < slowest
    ]
    return bool(fast) and are_fast_targets_scarce(
        _free_share(fast), _free_share(targets)
    )


def _free_share(targets: Iterable[TargetCapacity]) -> float:
    free = capacity = 0
    for target in targets:
        free += max(0, target.free.cpu_millis)
        capacity += target.capacity.cpu_millis
    return free / max(1, capacity)


def make_rank(
    step: StepSpec,
    limit: RunTimeLimit,
    is_reserved: Callable[[TargetCapacity], bool] | None,
    *,
    is_uneven: bool,
    saves_fast: bool,
) -> Callable[[TargetCapacity], Rank]:
    """Returns a function that ranks a target; the smallest rank is the best.

    Args:
        step: The step of the tasks.
        limit: How long the tasks may take.
        is_reserved: Whether the free capacity of a target is needed by other tasks;
            None if no capacity is reserved.
        is_uneven: Whether kinds or distance make the run times differ.
        saves_fast: Whether tasks that end in time on a slow kind should run there.
    """
    rack = step.preferred_rack
    remote_slowdown = limit.remote_slowdown
    max_slowdown = limit.max_slowdown

    def rank(target: TargetCapacity) -> Rank:
        is_far = not rack or rack not in target.labels
        slowness = target.slowness
        slowdown = target.run_time_factor * slowness
        if rack and is_far:
            slowdown *= remote_slowdown
        is_late = slowdown * RUN_TIME_SPREAD > max_slowdown
        speed = 0.0
        if is_uneven and is_late:
            # The target on which the task ends first, whether it is near or far.
            is_far = False
            speed = round(slowdown, RATIO_DECIMALS)
        elif saves_fast:
            speed = -round(target.run_time_factor, RATIO_DECIMALS)
        return (
            is_late,
            target.is_avoided,
            slowness >= SLOW_RATIO,
            is_reserved is not None and is_reserved(target),
            is_far,
            speed,
            not target.is_local,
            -target.free.cpu_millis / max(1, target.capacity.cpu_millis),
        )

    return rank
