"""The agents that an entry hears, and the choice of homes and peer lists."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..messages import AgentSighting
from ..messages import PeerStatus
from ..policy.candidates import Candidate
from ..policy.ejection import EjectionState
from ..policy.ejection import admit_probe
from ..policy.ejection import forget_agent
from ..policy.ejection import record_counters
from ..policy.ejection import update_ejected
from ..policy.placement import choose_home


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..messages import Heartbeat
    from ..messages import PeerAddress


LIVE_S = 3.0
DROP_S = 120.0
MAX_PEERS = 32
MAX_FAR_PEERS = 12
MAX_GONE = 10_000


@dataclass(slots=True, eq=False)
class AgentView:
    """An agent as this entry last heard it.

    Attributes:
        heartbeat: The last heartbeat.
        heard_at: When it came, in seconds of the clock.
        forwarded: Jobs that this entry has there without an answer.
    """

    heartbeat: Heartbeat
    heard_at: float
    forwarded: int = 0

    @property
    def address(self) -> PeerAddress:
        """The agent's process."""
        return self.heartbeat.agent.address


class RosterController:
    """Keeps what agents announce and chooses among them."""

    def __init__(
        self,
        availability_zone: str,
        clock: Clock,
        is_zone_in_service: Callable[[str], bool],
    ) -> None:
        self.availability_zone = availability_zone
        self.clock = clock
        self.is_zone_in_service = is_zone_in_service
        self.agents: dict[str, AgentView] = {}
        self.gone: dict[str, None] = {}
        self.ejection = EjectionState()
        self.ejected: set[str] = set()
        self.rng = random.Random(availability_zone)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Records a heartbeat; returns whether the agent is new."""
        address = heartbeat.agent.address
        load = heartbeat.load
        record_counters(self.ejection, address.incarnation, load.completed, load.failed)
        view = self.agents.get(address.incarnation)
        if view is not None:
            view.heartbeat = heartbeat
            view.heard_at = self.clock()
            return False
        self.gone.pop(address.incarnation, None)
        self._replace_predecessor(address)
        self.agents[address.incarnation] = AgentView(heartbeat, self.clock())
        return True

    def mark_gone(self, incarnation: str) -> None:
        """Notes for good that the process of an incarnation has ended."""
        self.agents.pop(incarnation, None)
        forget_agent(self.ejection, incarnation)
        self.gone[incarnation] = None
        if len(self.gone) > MAX_GONE:
            del self.gone[next(iter(self.gone))]

    def is_gone(self, incarnation: str) -> bool:
        """Returns whether the process of an incarnation is known to have ended."""
        return incarnation in self.gone

    def find(self, incarnation: str) -> AgentView | None:
        """Returns an agent by its incarnation, live or silent."""
        return self.agents.get(incarnation)

    def is_live(self, view: AgentView) -> bool:
        """Returns whether the agent was heard lately."""
        return self.clock() - view.heard_at <= LIVE_S

    def may_start(self, view: AgentView) -> bool:
        """Returns whether tasks may start at the agent."""
        if view.heartbeat.leaving or not self.is_live(view):
            return False
        return self.is_zone_in_service(view.heartbeat.agent.availability_zone)

    def has_target(self, service: str) -> bool:
        """Returns whether some target in service runs the service."""
        return any(
            service in view.heartbeat.agent.services and self.may_start(view)
            for view in self.agents.values()
        )

    def choose_home(self, service: str) -> AgentView | None:
        """Returns the home for a new id of a service, or None if there is none."""
        candidates = [
            self._describe(view)
            for view in self.agents.values()
            if service in view.heartbeat.agent.services and self.is_live(view)
        ]
        chosen = choose_home(candidates, self.availability_zone, self.rng)
        return None if chosen is None else self.agents[chosen]

    def list_peers(self, agent: AgentView) -> list[PeerStatus]:
        """Returns the agents that may run tasks for an agent, bounded in number.

        Most are of the agent's own availability zone, some of the others.
        """
        wanted = set(agent.heartbeat.agent.services)
        near: list[AgentView] = []
        far: list[AgentView] = []
        for view in self.agents.values():
            described = view.heartbeat.agent
            if view is agent or wanted.isdisjoint(described.services):
                continue
            if (
                not self.may_start(view)
                or described.address.incarnation in self.ejected
            ):
                continue
            zone = agent.heartbeat.agent.availability_zone
            (near if described.availability_zone == zone else far).append(view)
        far_count = max(MAX_FAR_PEERS, MAX_PEERS - len(near))
        far = self._sample(far, far_count)
        near = self._sample(near, MAX_PEERS - len(far))
        return [_make_peer_status(view) for view in [*near, *far]]

    def tick(self) -> None:
        """Updates ejections and drops agents that are long silent."""
        now = self.clock()
        services: dict[str, list[str]] = {}
        for incarnation, view in list(self.agents.items()):
            if now - view.heard_at > DROP_S:
                self.mark_gone(incarnation)
                continue
            for service in view.heartbeat.agent.services:
                if self.is_live(view):
                    services.setdefault(service, []).append(incarnation)
        self.ejected = update_ejected(self.ejection, services, now)

    def may_probe(self, incarnation: str) -> bool:
        """Returns whether an ejected agent gets a task now, to try it."""
        return admit_probe(self.ejection, incarnation, self.clock())

    def list_sightings(self) -> list[AgentSighting]:
        """Returns all agents as last heard."""
        now = self.clock()
        return [
            AgentSighting(
                agent=view.heartbeat.agent,
                load=view.heartbeat.load,
                revision=view.heartbeat.revision,
                leaving=view.heartbeat.leaving,
                heard_age_ms=int((now - view.heard_at) * 1000),
            )
            for view in self.agents.values()
        ]

    def _replace_predecessor(self, address: PeerAddress) -> None:
        for incarnation, view in list(self.agents.items()):
            if view.address.link == address.link:
                self.mark_gone(incarnation)

    def _sample(self, views: list[AgentView], count: int) -> list[AgentView]:
        if len(views) <= count:
            return views
        return self.rng.sample(views, count)

    def _describe(self, view: AgentView) -> Candidate:
        agent = view.heartbeat.agent
        load = view.heartbeat.load
        incarnation = agent.address.incarnation
        return Candidate(
            incarnation=incarnation,
            availability_zone=agent.availability_zone,
            slots=agent.slots,
            outstanding=view.forwarded,
            reported=max(0, load.running + load.queued + load.waiting - view.forwarded),
            ejected=incarnation in self.ejected,
            leaving=view.heartbeat.leaving,
            in_service=self.is_zone_in_service(agent.availability_zone),
        )


def _make_peer_status(view: AgentView) -> PeerStatus:
    agent = view.heartbeat.agent
    return PeerStatus(
        address=agent.address,
        services=agent.services,
        availability_zone=agent.availability_zone,
        slots=agent.slots,
        load=view.heartbeat.load,
    )
