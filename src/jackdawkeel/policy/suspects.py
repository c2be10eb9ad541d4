"""Temporary exclusion of suspect targets, which accept tasks but fail or delay them.

Guards against a target that fails or delays its tasks while its health reports are
good. It looks idle, so it attracts the work of the whole service. Failures caused by
the work itself affect all targets alike. Therefore each target is compared with the
others, and at most a bounded share of them is excluded.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median_high
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence


# Fewer failures than this may be chance.
MIN_FAILURES = 3
# A target is excluded if its failure share reaches both this value and this multiple of
# the median share.
FAILURE_SHARE = 0.2
FAILURE_MULTIPLE = 3.0
# Multiple of the median slowness from which a target is excluded.
SLOW_MULTIPLE = 3.0
# The median of fewer targets may be that of a slow one.
MIN_GROUP_SIZE = 3
# At most one in this many targets is excluded, so that the others can carry the load.
MAX_EXCLUDED_DIVISOR = 3


@dataclass(frozen=True, slots=True)
class TargetStats:
    """Failures and slowness of a target's recent tasks.

    Attributes:
        name: Incarnation of the target's agent.
        ended: Runs that ended.
        failed: Runs of these that failed or stalled.
        slowness: Ratio of observed to expected run time.
        group: Kind of target whose run times are not learnt yet. Slowness of such
            targets is compared only within their kind; empty if among all targets.
    """

    name: str
    ended: int
    failed: int
    slowness: float
    group: str = ""


def find_suspects(targets: Sequence[TargetStats]) -> frozenset[str]:
    """Returns the targets to exclude: the worst ones, up to the allowed share."""
    if not targets:
        return frozenset()
    groups: dict[str, list[float]] = {}
    for target in targets:
        groups.setdefault(target.group, []).append(target.slowness)
    overall = median_high([target.slowness for target in targets])
    medians = {
        group: median_high(values) if len(values) >= MIN_GROUP_SIZE else overall
        for group, values in groups.items()
    }
    scores = {
        target.name: _score_slowness(target.slowness, medians[target.group])
        for target in targets
    }
    failing = [target for target in targets if target.failed >= MIN_FAILURES]
    if failing:
        median_share = median_high([_failure_share(target) for target in targets])
        for target in failing:
            score = _score_failures(target, median_share)
            scores[target.name] = max(scores[target.name], score)
    worst = sorted(
        (name for name, score in scores.items() if score > 0),
        key=lambda name: (-scores[name], name),
    )
    return frozenset(worst[: len(targets) // MAX_EXCLUDED_DIVISOR])


def _failure_share(stats: TargetStats) -> float:
    return stats.failed / stats.ended if stats.ended else 0.0


def _score_failures(stats: TargetStats, median_share: float) -> float:
    share = _failure_share(stats)
    limit = max(FAILURE_SHARE, FAILURE_MULTIPLE * median_share)
    return 1 + share if share >= limit else 0.0


def _score_slowness(slowness: float, median_slowness: float) -> float:
    ratio = slowness / median_slowness if median_slowness else 1.0
    return 1 - 1 / ratio if ratio >= SLOW_MULTIPLE else 0.0
