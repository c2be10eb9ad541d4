"""Tracks the agents that may run this home's tasks and their expected load."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..policy.candidates import Candidate
from ..policy.ejection import PROBE_INTERVAL_S
from ..policy.placement import choose_executor


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..messages import PeerLoad
    from ..messages import PeerStatus
    from ..messages import TaskReports
    from .job import Dispatch


# Tasks that may be queued at a target beyond its slots.
QUEUE_ALLOWANCE = 1
# A peer that no entry has listed for this time gets no tasks.
UNLISTED_TIMEOUT_S = 10.0


@dataclass(slots=True, eq=False)
class Peer:
    """This home's record of an agent that may run its tasks.

    Times are in seconds of the clock.

    Attributes:
        status: Description of the agent in the last list from an entry.
        outstanding: Open dispatches of this home at the agent, in order of number.
        reported: Tasks of other homes at the agent, as last reported.
        waiting: Tasks of the agent's own jobs that are not dispatched yet, as last
            reported.
        waiting_jobs: Number of jobs that have such tasks.
        listed_at: When an entry last listed the agent.
        last_seen_at: When the last report of the agent arrived.
        sent_at: When the oldest open dispatch number was last sent to it.
        query_unanswered_since: When the first unanswered query was sent, or None.
        last_query_at: When the last query was sent.
        backoff_until: End of the time without dispatches after a refused task.
        unsettled: Whether dispatches have been closed since ``sent_at``.
        leaving: Whether the agent has announced that it accepts no new tasks.
    """

    status: PeerStatus
    outstanding: dict[int, Dispatch] = field(default_factory=dict)
    reported: int = 0
    waiting: int = 0
    waiting_jobs: int = 0
    listed_at: float = 0.0
    last_seen_at: float = 0.0
    sent_at: float = 0.0
    query_unanswered_since: float | None = None
    last_query_at: float = 0.0
    backoff_until: float = 0.0
    unsettled: bool = False
    leaving: bool = False

    @property
    def incarnation(self) -> str:
        """The agent's incarnation."""
        return self.status.address.incarnation

    def record_sent(self, now: float) -> None:
        """Records that a message with the oldest open number is sent to the peer."""
        self.sent_at = now
        self.unsettled = False


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """The capacity of a service over all peers in zones in service.

    Attributes:
        slots: Number of tasks that the targets run at once.
        open_tasks: Number of tasks that run or are queued at the agents.
        waiting_elsewhere: Number of tasks of other homes that are dispatched before
            the job, as last reported.
    """

    slots: int
    open_tasks: int
    waiting_elsewhere: int


class PeerController:
    """Tracks the peers of a home and chooses the executing agent of each task.

    A peer is an agent that may run tasks of this home; the home is one itself.

    Attributes:
        own: This agent.
        own_ejected: Whether the own target is ejected.
        own_leaving: Whether this agent is leaving.
        own_probe_at: When the own target may next get a probe, in seconds of the
            clock.
        peers: All peers by incarnation, including this agent.
    """

    def __init__(
        self,
        own: PeerStatus,
        clock: Clock,
        is_zone_in_service: Callable[[str], bool],
        count_open_tasks_for_others: Callable[[], int],
    ) -> None:
        """Creates a controller that knows only this agent.

        Args:
            own: This agent.
            clock: Clock in seconds.
            is_zone_in_service: Returns whether tasks may start in a zone.
            count_open_tasks_for_others: Returns the number of tasks of other homes that
                run or are queued at this agent.
        """
        self.clock = clock
        self.count_open_tasks_for_others = count_open_tasks_for_others
        self.is_zone_in_service = is_zone_in_service
        self.own = Peer(own)
        self.own_ejected = False
        self.own_leaving = False
        self.own_probe_at = 0.0
        self.rng = random.Random(own.address.incarnation)
        self.peers: dict[str, Peer] = {self.own.incarnation: self.own}

    def find(self, incarnation: str) -> Peer | None:
        """Returns a peer by its incarnation."""
        return self.peers.get(incarnation)

    def list_all(self) -> list[Peer]:
        """Returns all peers, including this agent."""
        return list(self.peers.values())

    def remove(self, peer: Peer) -> None:
        """Removes a peer unless it is this agent."""
        if peer is not self.own:
            self.peers.pop(peer.incarnation, None)

    def apply_list(self, statuses: list[PeerStatus], loads: list[PeerLoad]) -> None:
        """Applies a list of peers from an entry.

        Peers that no entry has listed for ``UNLISTED_TIMEOUT_S`` are removed once
        they have no open or unsettled dispatch.
        """
        now = self.clock()
        for status, load in zip(statuses, loads, strict=False):
            if status.address == self.own.status.address:
                continue
            peer = self.peers.setdefault(status.address.incarnation, Peer(status))
            peer.status = status
            peer.listed_at = now
            peer.waiting = load.waiting
            peer.waiting_jobs = load.waiting_jobs
            peer.reported = max(0, load.open_tasks - len(peer.outstanding))
        for peer in self.list_all():
            unlisted = now - peer.listed_at > UNLISTED_TIMEOUT_S
            if unlisted and not peer.outstanding and not peer.unsettled:
                self.remove(peer)

    def record_reports(self, peer: Peer, message: TaskReports) -> None:
        """Records the load in the reports of a peer, which also answer a query."""
        peer.last_seen_at = self.clock()
        peer.query_unanswered_since = None
        ended = sum(report.state != "running" for report in message.reports)
        own = max(0, len(peer.outstanding) - ended)
        peer.reported = max(0, message.running + message.queued - own)

    def back_off(self, peer: Peer, seconds: float) -> None:
        """Dispatches nothing to a peer for this time."""
        peer.backoff_until = self.clock() + seconds

    def has_any(self, service: str) -> bool:
        """Returns whether any peer in service runs the service, even if it is full."""
        return any(
            service in peer.status.services
            and not peer.leaving
            and self.is_zone_in_service(peer.status.availability_zone)
            for peer in self.peers.values()
        )

    def measure_capacity(self, service: str, tasks: int) -> ServiceCapacity:
        """Returns the capacity of a service in availability zones in service.

        Args:
            service: Name of the service.
            tasks: Number of tasks of the job whose wait is estimated. Jobs are
                dispatched round robin, so at most this number of tasks of each other
                job precede it.
        """
        slots = open_tasks = waiting_elsewhere = 0
        for peer in self.peers.values():
            status = peer.status
            if service not in status.services:
                continue
            if not self.is_zone_in_service(status.availability_zone):
                continue
            slots += status.slots
            open_tasks += self._count_open_tasks(peer)
            if peer is not self.own:
                waiting_elsewhere += min(peer.waiting, peer.waiting_jobs * tasks)
        return ServiceCapacity(slots, open_tasks, waiting_elsewhere)

    @property
    def own_slots(self) -> int:
        """Number of slots of the own target."""
        return self.own.status.slots

    def choose(
        self,
        service: str,
        avoided: str | None = None,
        *,
        reserved: int = 0,
        queue_allowance: int = QUEUE_ALLOWANCE,
    ) -> Peer | None:
        """Chooses the peer for the next task of a service.

        Args:
            service: Name of the service.
            avoided: Incarnation that is chosen only if no other is eligible, or None.
            reserved: Number of slots of each target that the task must leave free.
            queue_allowance: Number of tasks that may be queued at a target beyond its
                slots.

        Returns:
            The peer, or None if no eligible peer has capacity.
        """
        now = self.clock()
        eligible = [
            peer
            for peer in self.peers.values()
            if self._may_receive_tasks(peer, service, now)
        ]
        if avoided is not None:
            others = [peer for peer in eligible if peer.incarnation != avoided]
            eligible = others or eligible
        # Building the candidates takes most of the time, and under load most peers
        # are full.
        candidates = [
            self._describe(peer, now)
            for peer in eligible
            if self._count_open_tasks(peer) < peer.status.slots + queue_allowance
        ]
        own = self.own.status
        chosen = choose_executor(
            candidates,
            own.address.incarnation,
            own.availability_zone,
            queue_allowance,
            self.rng,
            reserved,
        )
        if chosen is None:
            return None
        if self.own_ejected and chosen == own.address.incarnation:
            self.own_probe_at = now + PROBE_INTERVAL_S
        return self.peers[chosen]

    def _describe(self, peer: Peer, now: float) -> Candidate:
        status = peer.status
        return Candidate(
            incarnation=status.address.incarnation,
            availability_zone=status.availability_zone,
            slots=status.slots,
            outstanding=len(peer.outstanding),
            reported=self._count_reported(peer),
            ejected=peer is self.own and self.own_ejected and now < self.own_probe_at,
            leaving=peer is self.own and self.own_leaving,
            in_service=self.is_zone_in_service(status.availability_zone),
        )

    def _count_open_tasks(self, peer: Peer) -> int:
        return len(peer.outstanding) + self._count_reported(peer)

    def _count_reported(self, peer: Peer) -> int:
        return self.count_open_tasks_for_others() if peer is self.own else peer.reported

    def _may_receive_tasks(self, peer: Peer, service: str, now: float) -> bool:
        if service not in peer.status.services or now < peer.backoff_until:
            return False
        if peer.query_unanswered_since is not None or peer.leaving:
            return False
        return peer is self.own or now - peer.listed_at <= UNLISTED_TIMEOUT_S
