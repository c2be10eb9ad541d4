"""Agents by service and availability zone, to draw some without a walk over all."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random

    from ..messages import AgentDescription


SAMPLES_PER_WANTED = 4


@dataclass(slots=True)
class RandomSampleSet:
    """A set of incarnations from which one can be drawn in constant time."""

    members: list[str] = field(default_factory=list)
    positions: dict[str, int] = field(default_factory=dict)

    def add(self, member: str) -> None:
        """Adds a member."""
        if member not in self.positions:
            self.positions[member] = len(self.members)
            self.members.append(member)

    def remove(self, member: str) -> None:
        """Removes a member; the last one takes its place."""
        position = self.positions.pop(member, None)
        if position is None:
            return
        last = self.members.pop()
        if last != member:
            self.members[position] = last
            self.positions[last] = position

    def sample(self, count: int, rng: random.Random) -> list[str]:
        """Returns all members in random order, or about so many drawn ones."""
        if len(self.members) <= SAMPLES_PER_WANTED * count:
            return rng.sample(self.members, len(self.members))
        sampled = rng.choices(self.members, k=SAMPLES_PER_WANTED * count)
        return list(dict.fromkeys(sampled))


@dataclass(slots=True)
class AgentIndex:
    """The agents of each service, by availability zone."""

    services: dict[str, dict[str, RandomSampleSet]] = field(default_factory=dict)

    def add(self, agent: AgentDescription) -> None:
        """Adds an agent under each of its services."""
        for service in agent.services:
            zones = self.services.setdefault(service, {})
            members = zones.setdefault(agent.availability_zone, RandomSampleSet())
            members.add(agent.address.incarnation)

    def remove(self, agent: AgentDescription) -> None:
        """Removes an agent and what is empty without it."""
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
        """Returns some agents of a service in a zone, in random order."""
        members = self.services.get(service, {}).get(zone)
        return [] if members is None else members.sample(count, rng)
