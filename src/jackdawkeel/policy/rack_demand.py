"""Capacity that racks keep free for the tasks whose data they hold.

Designed for short times in which many wide jobs prefer the same rack. Tasks that can
run anywhere would otherwise fill it, and the tasks with data there would run elsewhere,
where they take longer and end late. Without such a demand nothing is kept free.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from .packing import TargetCapacity


# Time constant of the observed demand; a third of the bursts of 3 to 7 s, so that the
# reserve follows them.
DEMAND_TIME_S = 2.0
# Processors kept free for each one that recent jobs of this entry used on average:
# other entries use the same rack and arrivals vary.
RESERVE_FACTOR = 3.0
# Smaller demands keep nothing free, in thousandths of a core.
MIN_DEMAND_MILLIS = 1000.0


def decay_work(work: float, elapsed_s: float) -> float:
    """Returns what counts of recent work after a time, in the unit of the work."""
    return work * math.exp(-max(0.0, elapsed_s) / DEMAND_TIME_S)


def reserve_millis(recent_work: float, waiting_millis: float) -> float:
    """Returns the processors that a rack keeps free, in thousandths of a core.

    Args:
        recent_work: Decayed sum of the run times of recent tasks, each multiplied by
            its processors, in thousandths of a core times seconds. Divided by the time
            constant it is the mean number of processors in use.
        waiting_millis: Processors claimed by tasks that wait, in thousandths of a core.
    """
    wanted = RESERVE_FACTOR * recent_work / DEMAND_TIME_S + waiting_millis
    return wanted if wanted >= MIN_DEMAND_MILLIS else 0.0


def make_reserve_check(
    targets: Iterable[TargetCapacity],
    reserves: Mapping[str, float],
    cpu_millis: int,
) -> Callable[[TargetCapacity], bool]:
    """Returns a function that tells whether a target's rack needs its free capacity.

    The demand of a rack is assumed to need its fastest targets. Free capacity of slower
    ones therefore does not count when a task would take that of a faster one.

    Args:
        targets: The targets, whose free capacity is read at each call.
        reserves: Processors to keep free by rack, in thousandths of a core.
        cpu_millis: Processors of the task to place, in thousandths of a core.
    """
    members: dict[str, list[TargetCapacity]] = {}
    for target in targets:
        for rack in target.labels & reserves.keys():
            members.setdefault(rack, []).append(target)

    def is_reserved(target: TargetCapacity) -> bool:
        for rack in target.labels & reserves.keys():
            free = sum(
                max(0, other.free.cpu_millis)
                for other in members[rack]
                if other.run_time_factor <= target.run_time_factor
            )
            if free - cpu_millis < reserves[rack]:
                return True
        return False

    return is_reserved
