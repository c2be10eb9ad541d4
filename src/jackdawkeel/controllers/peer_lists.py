"""Builds the bounded list of peers that an entry sends to each agent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..messages import AgentDescription
    from .agent_index import AgentIndex


MAX_PEERS = 32
MAX_OTHER_ZONE_PEERS = 12


@dataclass(frozen=True, slots=True)
class PeerSource:
    """The agents from which peers are sampled.

    Attributes:
        index: All agents by service and availability zone.
        is_eligible: Whether an agent may run tasks for others now.
        find_zone: Returns the availability zone of an eligible agent.
        rng: Source of randomness.
    """

    index: AgentIndex
    is_eligible: Callable[[str], bool]
    find_zone: Callable[[str], str]
    rng: random.Random


def refresh_peers(
    current: list[str], agent: AgentDescription, source: PeerSource
) -> list[str]:
    """Removes peers that are no longer eligible and fills the list up again.

    A full list of eligible peers is not changed, so that entries send only changes.
    Peers of other availability zones than the agent's are added up to a total of
    ``MAX_OTHER_ZONE_PEERS``, and beyond it only if the own zone has too few. So where
    there are enough agents, about two thirds are in the own zone.

    Args:
        current: Incarnations of the peers in the current list.
        agent: The agent that gets the list.
        source: The agents to choose from.

    Returns:
        Incarnations of the peers, those that stay first.
    """
    kept = [name for name in current if source.is_eligible(name)]
    if len(kept) >= MAX_PEERS:
        return kept
    own_zone = agent.availability_zone
    other_zone_kept = sum(source.find_zone(name) != own_zone for name in kept)
    from_own_zone = _select(_sample(agent, [own_zone], source), kept, agent, source)
    zones = {zone for name in agent.services for zone in source.index.list_zones(name)}
    other_zones = sorted(zones - {own_zone})
    from_other_zones = _select(_sample(agent, other_zones, source), kept, agent, source)
    own_zone_limit = (
        MAX_PEERS
        - len(kept)
        - min(len(from_other_zones), MAX_OTHER_ZONE_PEERS - other_zone_kept)
    )
    kept += from_own_zone[: max(0, own_zone_limit)]
    kept += from_other_zones[: MAX_PEERS - len(kept)]
    return kept


def _sample(
    agent: AgentDescription, zones: list[str], source: PeerSource
) -> Iterable[str]:
    count = max(1, MAX_PEERS // max(1, len(zones)))
    sampled = [
        name
        for service in agent.services
        for zone in zones
        for name in source.index.sample(service, zone, count, source.rng)
    ]
    source.rng.shuffle(sampled)
    return dict.fromkeys(sampled)


def _select(
    sampled: Iterable[str],
    kept: list[str],
    agent: AgentDescription,
    source: PeerSource,
) -> list[str]:
    excluded = {agent.address.incarnation, *kept}
    return [
        name for name in sampled if name not in excluded and source.is_eligible(name)
    ]
