"""Indexes agents by service and availability zone, to sample a few of many."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random

    from ..messages import AgentDescription


# Samples for each wanted agent; some are duplicates or not eligible.
SAMPLES_PER_WANTED = 4


@dataclass(slots=True)
class RandomSampleSet:
    """A set of incarnations that can be sampled without visiting every member.

    Attributes:
        members: The members, in no particular order.
        positions: Index of each member in ``members``.
    """

    members: list[str] = field(default_factory=list)
    positions: dict[str, int] = field(default_factory=dict)

    def add(self, member: str) -> None:
        """Adds a member."""
        if member not in self.positions:
            self.positions[member] = len(self.members)
            self.members.append(member)

    def remove(self, member: str) -> None:
        """Removes a member in constant time by moving the last one to its position."""
        position = self.positions.pop(member, None)
        if position is None:
            return
        last = self.members.pop()
        if last != member:
            self.members[position] = last
            self.positions[last] = position

    def sample(self, count: int, rng: random.Random) -> list[str]:
        """Returns distinct members in random order.

        Args:
            count: Number of members wanted. Up to ``SAMPLES_PER_WANTED`` times as
                many are returned, as the caller may reject some.
            rng: Source of randomness.
        """
        if len(self.members) <= SAMPLES_PER_WANTED * count:
            return rng.sample(self.members, len(self.members))
        sampled = rng.choices(self.members, k=SAMPLES_PER_WANTED * count)
        return list(dict.fromkeys(sampled))


@dataclass(slots=True)
class AgentIndex:
    """The agents of each service, by availability zone.

    Attributes:
        services: Incarnations by service and availability zone; no set is empty.
    """

    services: dict[str, dict[str, RandomSampleSet]] = field(default_factory=dict)

    def add(self, agent: AgentDescription) -> None:
        """Adds an agent under each of its services."""
        for service in agent.services:
            zones = self.services.setdefault(service, {})
            members = zones.setdefault(agent.availability_zone, RandomSampleSet())
            members.add(agent.address.incarnation)

    def remove(self, agent: AgentDescription) -> None:
        """Removes an agent, and zones and services that have no other agent."""
        for service in agent.services:
            zones = self.services.get(service, {})
            members = zones.get(agent.availability_zone)
            if members is None:
                continue
            members.remove(agent.address.incarnation)
            if not members.members:
                del zones[agent.availability_zone]
            if not zones:
                self.services.pop(service, None)

    def list_zones(self, service: str) -> list[str]:
        """Returns the availability zones in which a service has agents."""
        return list(self.services.get(service, {}))

    def sample(
        self, service: str, zone: str, count: int, rng: random.Random
    ) -> list[str]:
        """Returns a random sample of the agents of a service in a zone."""
        members = self.services.get(service, {}).get(zone)
        return [] if members is None else members.sample(count, rng)
