"""Which targets get no tasks for a while although they take them.

Load it answers: a target that fails or delays what it runs with good health. It looks
idle, so it draws the work of the whole service. Failures of the work itself hit all
targets alike, so a target is compared with the others, and a bounded share is left out.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median_high
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence


# Fewer bad ends than this may be chance.
MIN_FAILURES = 3
# Share of bad ends, and multiple of the median share, from which a target is left out.
FAILURE_SHARE = 0.2
FAILURE_MULTIPLE = 3.0
# Multiple of the median slowness from which a target is left out.
SLOW_MULTIPLE = 3.0
# At most one target in so many is left out, so that the others can carry the work.
MAX_EXCLUDED_DIVISOR = 3


@dataclass(frozen=True, slots=True)
class TargetQuality:
    """How a target has served recent tasks.

    Attributes:
        name: The agent beside it.
        ended: Runs that ended.
        failed: Those of them that ended badly.
        slowness: Observed over expected run time.
    """

    name: str
    ended: int
    failed: int
    slowness: float


def find_suspects(qualities: Sequence[TargetQuality]) -> frozenset[str]:
    """Returns the targets that are left out, the worst of them if there are many."""
    if not qualities:
        return frozenset()
    usual_share = median_high([_failure_share(item) for item in qualities])
    usual_slowness = median_high([item.slowness for item in qualities])
    scores = {
        item.name: max(
            _score_failures(item, usual_share), _score_slowness(item, usual_slowness)
        )
        for item in qualities
    }
    worst = sorted(
        (name for name, score in scores.items() if score > 0),
        key=lambda name: (-scores[name], name),
    )
    return frozenset(worst[: len(qualities) // MAX_EXCLUDED_DIVISOR])


def _failure_share(quality: TargetQuality) -> float:
    return quality.failed / quality.ended if quality.ended else 0.0


def _score_failures(quality: TargetQuality, usual_share: float) -> float:
    share = _failure_share(quality)
    limit = max(FAILURE_SHARE, FAILURE_MULTIPLE * usual_share)
    if quality.failed < MIN_FAILURES or share < limit:
        return 0.0
    return 1 + share


def _score_slowness(quality: TargetQuality, usual_slowness: float) -> float:
    ratio = quality.slowness / usual_slowness if usual_slowness else 1.0
    return 1 - 1 / ratio if ratio >= SLOW_MULTIPLE else 0.0
