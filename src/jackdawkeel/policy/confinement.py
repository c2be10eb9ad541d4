"""Separates queues whose tasks crash targets from the other queues of a service.

Designed for a queue of which one job in ten crashes two targets before it is given up.
Targets restart within seconds, so that without separation nearly all targets of the
service are down at once, and all its queues stand still. Confined queues use a part of
the targets that all entries choose alike without agreement, the others the rest.
"""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


# Time without a crash by a task of a queue after which it is no longer confined.
CONFINEMENT_S = 10.0
# Smallest and largest part of a service's targets that confined queues use.
MIN_SHARE = 0.25
MAX_SHARE = 0.5
# A service with fewer targets is not divided.
MIN_TARGETS = 4


def find_confined_share(
    confined: frozenset[str], offered: Mapping[str, float]
) -> float:
    """Returns the part of a service's targets that its confined queues use.

    Args:
        confined: Queues with tasks that crash targets.
        offered: Recent work of each queue of the service, in processor seconds.

    Returns:
        The part, by their share of the work; 0 if there are no queues to separate.
    """
    total = sum(offered.values())
    own = sum(work for queue, work in offered.items() if queue in confined)
    if not 0.0 < own < total:
        return 0.0
    return min(MAX_SHARE, max(MIN_SHARE, own / total))


def choose_confined_targets(agents: Iterable[str], share: float) -> frozenset[str]:
    """Returns the agents whose targets confined queues use.

    Choices of entries that know different agents or shares differ as little as these.

    Args:
        agents: Link addresses of all agents of the service.
        share: Part of the targets to choose.
    """
    ranked = sorted(agents, key=_weigh)
    if len(ranked) < MIN_TARGETS:
        return frozenset()
    return frozenset(ranked[: math.ceil(share * len(ranked))])


def _weigh(agent: str) -> bytes:
    return hashlib.blake2b(agent.encode(), digest_size=8).digest()
