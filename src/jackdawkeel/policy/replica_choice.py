"""Choice of the agents that keep a replica of an entry's open runs.

Designed for entries that all end at once while one VM is suspended and one availability
zone may be lost: the replicas are in different zones where there are several. Their
number does not grow with the fleet, so neither do the messages of an entry. Agents are
ranked for each entry by rendezvous hashing, so that the replicas of all entries spread
over all agents, and change only when one of the chosen agents leaves.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping


REPLICAS = 3
# Time between two complete messages to an agent with a replica. Assignments in between
# are sent at once; a lost message is made up for by the next complete one.
REPLICATION_INTERVAL_S = 0.25


def choose_replica_links(entry: str, zones: Mapping[str, str]) -> list[str]:
    """Returns the link addresses of the agents that should keep a replica.

    Args:
        entry: Link address of the entry.
        zones: Availability zones of the agents that report to it, by link address.
    """
    ranked = sorted(zones, key=lambda link: _weigh(entry, link), reverse=True)
    chosen: list[str] = []
    used: Counter[str] = Counter()
    while ranked and len(chosen) < REPLICAS:
        best = min(ranked, key=lambda link: used[zones[link]])
        ranked.remove(best)
        chosen.append(best)
        used[zones[best]] += 1
    return chosen


def count_needed_replicas(replicas: int) -> int:
    """Returns how many of an entry's replicas a new process should have read.

    A single one may be of an agent that the entry could not reach at the end.
    """
    return replicas // 2 + 1 if replicas else 0


def _weigh(entry: str, agent: str) -> bytes:
    return hashlib.blake2b(f"{entry}|{agent}".encode(), digest_size=8).digest()
