"""Tracks the agents that report to an entry; chooses homes and peer lists."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..events import EventName
from ..messages import AgentObservation
from ..messages import PeerLoad
from ..messages import PeerStatus
from ..policy.candidates import Candidate
from ..policy.ejection import EjectionState
from ..policy.ejection import admit_probe
from ..policy.ejection import record_counters
from ..policy.ejection import remove_agent
from ..policy.ejection import update_ejected
from ..policy.placement import choose_home
from .agent_index import AgentIndex
from .peer_lists import PeerSource
from .peer_lists import refresh_peers


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import Heartbeat
    from ..messages import PeerAddress


# An agent without a heartbeat for this time is silent: it is chosen neither as a home
# nor as a peer.
SILENCE_TIMEOUT_S = 3.0
# A silent agent is removed after this time without a heartbeat.
REMOVAL_TIMEOUT_S = 120.0
# Up to ``SAMPLES_PER_WANTED`` times as many agents are sampled in each zone.
HOMES_WANTED_PER_ZONE = 1
MAX_REMOVED_AGENTS = 10_000


@dataclass(slots=True, eq=False)
class AgentView:
    """The entry's record of an agent.

    Attributes:
        heartbeat: The last heartbeat received.
        last_seen_at: When that heartbeat arrived, in seconds of the clock.
        forwarded: Number of unanswered jobs that this entry has sent to the agent.
        peers: Incarnations in the peer list that the agent gets.
        peer_list_version: Version of that list, incremented with each change.
        is_silence_logged: Whether the current silence has been logged.
    """

    heartbeat: Heartbeat
    last_seen_at: float
    forwarded: int = 0
    peers: list[str] = field(default_factory=list)
    peer_list_version: int = 1
    is_silence_logged: bool = False

    @property
    def address(self) -> PeerAddress:
        """Address of the agent's process."""
        return self.heartbeat.agent.address


class RosterController:
    """Records heartbeats of agents and chooses homes, peers and probes among them.

    Attributes:
        agents: The known agents by incarnation.
        incarnations: Incarnation of the agent at each link address.
        index: The known agents by service and availability zone.
        removed: Removed incarnations, and whether their process is known to have
            ended. Bounded by ``MAX_REMOVED_AGENTS``, oldest first.
        ejection: Task outcomes and probes of each agent.
        ejected: Incarnations whose targets are ejected, as they fail nearly all
            tasks.
        peer_source: The agents from which peers are sampled.
    """

    def __init__(
        self,
        availability_zone: str,
        clock: Clock,
        log: EventLog,
        is_zone_in_service: Callable[[str], bool],
    ) -> None:
        self.availability_zone = availability_zone
        self.clock = clock
        self.log = log
        self.is_zone_in_service = is_zone_in_service
        self.agents: dict[str, AgentView] = {}
        self.incarnations: dict[str, str] = {}
        self.index = AgentIndex()
        self.removed: dict[str, bool] = {}
        self.ejection = EjectionState()
        self.ejected: set[str] = set()
        self.rng = random.Random(availability_zone)
        self.peer_source = PeerSource(
            self.index, self._may_be_peer, self._find_zone, self.rng
        )

    def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Records a heartbeat; returns whether the agent is new or had been silent."""
        address = heartbeat.agent.address
        load = heartbeat.load
        record_counters(self.ejection, address.incarnation, load.completed, load.failed)
        view = self.agents.get(address.incarnation)
        if view is not None:
            if heartbeat.leaving and not view.heartbeat.leaving:
                self.log.record(EventName.AGENT_LEAVING, agent=address.incarnation)
            view.heartbeat = heartbeat
            view.last_seen_at = self.clock()
            was_silent, view.is_silence_logged = view.is_silence_logged, False
            return was_silent
        self.removed.pop(address.incarnation, None)
        self._replace_predecessor(address)
        self.agents[address.incarnation] = AgentView(heartbeat, self.clock())
        self.index.add(heartbeat.agent)
        return True

    def remove_agent(self, incarnation: str, *, is_certain: bool = True) -> None:
        """Removes an incarnation that has ended or has been silent too long.

        Args:
            incarnation: Incarnation of the agent.
            is_certain: Whether the process is known to have ended.
        """
        view = self.agents.pop(incarnation, None)
        if view is not None:
            self.index.remove(view.heartbeat.agent)
            self.incarnations.pop(view.address.link, None)
        remove_agent(self.ejection, incarnation)
        self.removed[incarnation] = is_certain
        if len(self.removed) > MAX_REMOVED_AGENTS:
            del self.removed[next(iter(self.removed))]

    def is_removed(self, incarnation: str) -> bool:
        """Returns whether an incarnation was removed from the roster."""
        return incarnation in self.removed

    def has_ended(self, incarnation: str) -> bool:
        """Returns whether the process of an incarnation is known to have ended."""
        return self.removed.get(incarnation, False)

    def find(self, incarnation: str) -> AgentView | None:
        """Returns an agent by its incarnation, live or silent."""
        return self.agents.get(incarnation)

    def is_live(self, view: AgentView) -> bool:
        """Returns whether the agent sent a heartbeat within the silence timeout."""
        return self.clock() - view.last_seen_at <= SILENCE_TIMEOUT_S

    def may_start(self, view: AgentView) -> bool:
        """Returns whether tasks may start at the agent."""
        if view.heartbeat.leaving or not self.is_live(view):
            return False
        return self.is_zone_in_service(view.heartbeat.agent.availability_zone)

    def has_target(self, service: str) -> bool:
        """Returns whether any target in service runs the service."""
        return any(
            service in view.heartbeat.agent.services and self.may_start(view)
            for view in self.agents.values()
        )

    def find_probe(self, service: str, *, is_idempotent: bool) -> AgentView | None:
        """Returns an ejected agent that should get the job as a probe, or None.

        The probe is recorded, so the caller must send the job to that agent.
        """
        now = self.clock()
        for incarnation in self.ejected:
            view = self.agents.get(incarnation)
            if view is None or not self.may_start(view):
                continue
            if service not in view.heartbeat.agent.services:
                continue
            if admit_probe(
                self.ejection, incarnation, now, is_idempotent=is_idempotent
            ):
                return view
        return None

    def choose_home(self, service: str) -> AgentView | None:
        """Returns the home for a new id of a service, or None if there is none."""
        sampled = [
            name
            for zone in self.index.list_zones(service)
            for name in self.index.sample(
                service, zone, HOMES_WANTED_PER_ZONE, self.rng
            )
        ]
        views = [self.agents[name] for name in sampled]
        candidates = [self._describe(view) for view in views if self.is_live(view)]
        chosen = choose_home(candidates, self.availability_zone, self.rng)
        return None if chosen is None else self.agents[chosen]

    def refresh_peers(self, view: AgentView) -> None:
        """Updates the peer list of an agent."""
        peers = refresh_peers(view.peers, view.heartbeat.agent, self.peer_source)
        if peers != view.peers:
            view.peers = peers
            view.peer_list_version += 1

    def describe_peers(self, view: AgentView) -> list[PeerStatus]:
        """Returns the descriptions of the agents in the peer list of an agent."""
        return [_make_peer_status(self.agents[name]) for name in view.peers]

    def list_peer_loads(self, view: AgentView) -> list[PeerLoad]:
        """Returns the load of each agent in the peer list of an agent."""
        loads = [self.agents[name].heartbeat.load for name in view.peers]
        return [
            PeerLoad(load.running + load.queued, load.waiting, load.waiting_jobs)
            for load in loads
        ]

    def _may_be_peer(self, incarnation: str) -> bool:
        view = self.agents.get(incarnation)
        if view is None or incarnation in self.ejected:
            return False
        return self.may_start(view)

    def _find_zone(self, incarnation: str) -> str:
        return self.agents[incarnation].heartbeat.agent.availability_zone

    def tick(self) -> None:
        """Logs silent agents, removes those silent too long and updates ejections."""
        now = self.clock()
        services: dict[str, list[str]] = {}
        for incarnation, view in list(self.agents.items()):
            if not self.is_live(view) and not view.is_silence_logged:
                view.is_silence_logged = True
                self.log.record(EventName.AGENT_SILENT, agent=incarnation)
            if now - view.last_seen_at > REMOVAL_TIMEOUT_S:
                self.remove_agent(incarnation, is_certain=False)
                continue
            for service in view.heartbeat.agent.services:
                if self.is_live(view):
                    services.setdefault(service, []).append(incarnation)
        self._apply_ejections(update_ejected(self.ejection, services, now))

    def _apply_ejections(self, ejected: set[str]) -> None:
        for incarnation in ejected - self.ejected:
            self.log.record(EventName.TARGET_EJECTED, agent=incarnation)
        for incarnation in self.ejected - ejected:
            self.log.record(EventName.TARGET_READMITTED, agent=incarnation)
        self.ejected = ejected

    def list_observations(self) -> list[AgentObservation]:
        """Returns the last observation of every known agent."""
        now = self.clock()
        return [
            AgentObservation(
                agent=view.heartbeat.agent,
                load=view.heartbeat.load,
                revision=view.heartbeat.revision,
                leaving=view.heartbeat.leaving,
                last_seen_age_ms=int((now - view.last_seen_at) * 1000),
            )
            for view in self.agents.values()
        ]

    def _replace_predecessor(self, address: PeerAddress) -> None:
        predecessor = self.incarnations.get(address.link)
        if predecessor is not None and predecessor != address.incarnation:
            self.remove_agent(predecessor)
        self.incarnations[address.link] = address.incarnation

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
    )
