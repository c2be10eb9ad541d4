"""Expected run times by kind of target and by distance to the data.

Designed for fleets whose kinds of targets differ persistently in speed, for tasks that
run several times as long outside the rack of their data, for callers' estimates that
are wrong by 40%, and for a few percent of tasks that take 7 times as long. A run that
is long for one of these reasons says nothing about the health of its target.

The kind of a target is its first label, its rack the second one. All values are learnt
as natural logarithms, in which a factor and its inverse weigh the same.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence


# A target with fewer labels has no rack, so its first label need not be a kind.
MIN_LABELS = 2
# Ratios of single runs, and learnt values, are clamped to this range.
MIN_RATIO = 0.05
MAX_RATIO = 20.0
# Range of the factors of kinds. Real kinds are up to 2.4 times apart; a larger factor
# would hide a fault that affects a whole kind.
MIN_FACTOR = 0.2
MAX_FACTOR = 5.0
# Largest deviation of one run that counts, as a factor of 2, so that 3% of tasks that
# take 7 times as long hardly shift a value.
MAX_DEVIATION = math.log(2.0)
# Runs that the prior counts for. Until MIN_WEIGHT is reached, the value is the average
# of all runs, so that about 30 runs suffice.
PRIOR_RUNS = 1
# Least weight of a new run. The ratio of a queue must follow callers whose estimates
# change, but the tasks of a job share its wrong estimate. Factors of kinds are
# persistent and should vary little.
MIN_QUEUE_WEIGHT = 0.03
MIN_KIND_WEIGHT = 0.01


@dataclass(slots=True)
class LearntRatio:
    """A ratio learnt from runs.

    Attributes:
        log: Natural logarithm of the ratio.
        runs: Number of runs that it was learnt from.
    """

    log: float = 0.0
    runs: int = 0


def find_kind(labels: Sequence[str]) -> str:
    """Returns the kind of a target, or an empty string if it has none."""
    return labels[0] if len(labels) >= MIN_LABELS else ""


def find_distance_factor(
    preferred_rack: str, labels: Collection[str], remote_slowdown: float
) -> float:
    """Returns the factor by which a task runs longer because its data are elsewhere.

    Args:
        preferred_rack: Rack of the task's data; empty if none.
        labels: Labels of the target; one is its rack.
        remote_slowdown: Run time of a task outside the rack of its data, divided by
            that within it.
    """
    is_remote = bool(preferred_rack) and preferred_rack not in labels
    return remote_slowdown if is_remote else 1.0


def clamp_ratio(ratio: float) -> float:
    """Returns the ratio, limited to the range that a healthy target may cause."""
    return min(max(ratio, MIN_RATIO), MAX_RATIO)


def limit_deviation(observed_log: float, expected_log: float) -> float:
    """Returns how far a run deviates from its expected logarithm, with a bound."""
    deviation = observed_log - expected_log
    return min(max(deviation, -MAX_DEVIATION), MAX_DEVIATION)


def learn(ratio: LearntRatio, deviation: float, min_weight: float) -> None:
    """Moves a learnt ratio towards a run.

    Args:
        ratio: The ratio.
        deviation: Result of ``limit_deviation``.
        min_weight: Least weight of a run.
    """
    ratio.runs += 1
    ratio.log += deviation * max(min_weight, 1 / (ratio.runs + PRIOR_RUNS))


def find_mean_log(
    kinds: Mapping[str, LearntRatio], targets: Mapping[str, int]
) -> float:
    """Returns the logarithm of the mean factor over the targets of known kinds.

    Args:
        kinds: Learnt kinds; others have the mean factor and don't count.
        targets: Number of targets by kind.
    """
    known = [
        (math.exp(kinds[kind].log), targets[kind]) for kind in kinds if kind in targets
    ]
    total = sum(count for _, count in known)
    if not total:
        return 0.0
    return math.log(sum(factor * count for factor, count in known) / total)


def clamp_factor(log: float) -> float:
    """Returns the factor of a kind within its bounds, from its logarithm."""
    return min(max(math.exp(log), MIN_FACTOR), MAX_FACTOR)
