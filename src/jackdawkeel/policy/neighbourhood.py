"""Choice of the entries that an agent reports to.

Designed for deployments of hundreds of VMs, in which reports from each agent to each
entry would exceed the processors and links of the entries. Each agent reports to a
bounded number of entries, chosen by rendezvous hashing. The choices of all agents
together give each entry about the same number of agents, spread over all availability
zones and racks, without agreement between processes. When an entry joins or leaves,
only the agents that choose it change their reports.

If all callers use the entries of one availability zone, some agents have none of them
among their choices and stay idle while the others are overloaded. An idle agent
therefore reports to more entries.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


# A silent entry is probed until it replies, and replaced meanwhile. This multiple of
# the chosen entries bounds the probes of an agent that no entry replies to.
MAX_PROBED_MULTIPLE = 3
# An agent is idle while at least this share of its capacity is free. Below the second
# share it is busy; between them nothing changes.
IDLE_FREE_SHARE = 0.75
BUSY_FREE_SHARE = 0.5
# Idle time after which an agent reports to IDLE_MULTIPLE times as many entries.
IDLE_DELAY_S = 10.0
IDLE_MULTIPLE = 1.5


def weigh_entry(agent: str, entry: str) -> int:
    """Returns the rank of an entry for an agent; the highest ones are chosen.

    Args:
        agent: Link address of the agent.
        entry: Link address of the entry.
    """
    digest = hashlib.blake2b(f"{agent}|{entry}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def update_idle_since(
    idle_since: float | None, now: float, free_share: float
) -> float | None:
    """Returns since when an agent has been idle, or None if it is not.

    Args:
        idle_since: The previous value.
        now: Time in seconds.
        free_share: Share of its capacity that is free.
    """
    if free_share < BUSY_FREE_SHARE:
        return None
    if idle_since is None and free_share >= IDLE_FREE_SHARE:
        return now
    return idle_since


def count_entries(base: int, now: float, idle_since: float | None) -> int:
    """Returns the number of entries that an agent reports to.

    Args:
        base: The number for a busy agent.
        now: Time in seconds.
        idle_since: Since when the agent has been idle; None if it is not.
    """
    if idle_since is None or now < idle_since + IDLE_DELAY_S:
        return base
    return round(IDLE_MULTIPLE * base)


def choose_entries(
    ranked: Iterable[str], is_silent: Callable[[str], bool], count: int
) -> frozenset[str]:
    """Returns the entries to report to, including silent ones that are probed.

    Args:
        ranked: Link addresses of the known entries, from the highest weight.
        is_silent: Returns whether an entry has not replied for some time; another
            entry then replaces it until it replies.
        count: Number of entries that should reply.
    """
    chosen: list[str] = []
    replying = 0
    for entry in ranked:
        if replying == count or len(chosen) == MAX_PROBED_MULTIPLE * count:
            break
        chosen.append(entry)
        replying += not is_silent(entry)
    return frozenset(chosen)
