"""The agents that may run tasks of this home, and the load it expects of them."""

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


QUEUE_ALLOWANCE = 1
UNLISTED_TIMEOUT_S = 10.0


@dataclass(slots=True, eq=False)
class Peer:
    """An agent as this home sees it.

    Attributes:
        status: The agent as an entry last described it.
        outstanding: This home's open dispatches there, in order of number.
        reported: Tasks there that are not this home's, as last reported.
        waiting: Tasks that wait at home there, as last reported.
        waiting_jobs: Jobs that have such tasks.
        listed_at: When an entry last listed it, in seconds of the clock.
        last_seen_at: When it last sent anything here.
        sent_at: When a message with settled numbers was last sent to it.
        query_unanswered_since: Since when a query has had no answer, or None.
        last_query_at: When the last query was sent.
        backoff_until: Until when it gets nothing, as it refused a task.
        unsettled: Whether dispatches have ended since ``sent_at``.
        leaving: Whether it has said that it takes no new tasks.
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
        """Notes that a message with the oldest open number goes to the peer."""
        self.sent_at = now
        self.unsettled = False


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """The capacity of a service over all peers in service.

    Attributes:
        slots: Tasks that their targets run at once.
        held: Tasks that run or wait at them.
        waiting_elsewhere: Tasks at other homes that go before, as last reported.
    """

    slots: int
    held: int
    waiting_elsewhere: int


class PeerController:
    """Keeps the peers and chooses among them."""

    def __init__(
        self,
        own: PeerStatus,
        clock: Clock,
        is_zone_in_service: Callable[[str], bool],
        count_held_for_others: Callable[[], int],
    ) -> None:
        """Describes the controller.

        Args:
            own: This agent.
            clock: Clock in seconds.
            is_zone_in_service: Returns whether tasks may start in a zone.
            count_held_for_others: Returns the tasks of other homes that run or wait
                at the own target now.
        """
        self.clock = clock
        self.count_held_for_others = count_held_for_others
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
        """Returns all peers, this agent included."""
        return list(self.peers.values())

    def remove(self, peer: Peer) -> None:
        """Forgets a peer whose process has ended."""
        if peer is not self.own:
            self.peers.pop(peer.incarnation, None)

    def apply_list(self, statuses: list[PeerStatus], loads: list[PeerLoad]) -> None:
        """Takes the peers that an entry lists; drops those long unlisted."""
        now = self.clock()
        for status, load in zip(statuses, loads, strict=False):
            if status.address == self.own.status.address:
                continue
            peer = self.peers.setdefault(status.address.incarnation, Peer(status))
            peer.status = status
            peer.listed_at = now
            peer.waiting = load.waiting
            peer.waiting_jobs = load.waiting_jobs
            peer.reported = max(0, load.held - len(peer.outstanding))
        for peer in self.list_all():
            unlisted = now - peer.listed_at > UNLISTED_TIMEOUT_S
            if unlisted and not peer.outstanding and not peer.unsettled:
                self.remove(peer)

    def record_reports(self, peer: Peer, message: TaskReports) -> None:
        """Takes the load that reports carry."""
        peer.last_seen_at = self.clock()
        peer.query_unanswered_since = None
        ended = sum(report.state != "running" for report in message.reports)
        own = max(0, len(peer.outstanding) - ended)
        peer.reported = max(0, message.running + message.queued - own)

    def back_off(self, peer: Peer, seconds: float) -> None:
        """Sends a peer nothing for a while."""
        peer.backoff_until = self.clock() + seconds

    def has_any(self, service: str) -> bool:
        """Returns whether any peer in service runs the service, full or not."""
        return any(
            service in peer.status.services
            and not peer.leaving
            and self.is_zone_in_service(peer.status.availability_zone)
            for peer in self.peers.values()
        )

    def measure_capacity(self, service: str, tasks: int) -> ServiceCapacity:
        """Returns the slots of a service and what holds them, in service only.

        Args:
            service: Name of the service.
            tasks: Tasks of the job whose wait is to be told. Jobs take turns, so no
                more tasks of any other job go before it.
        """
        slots = held = waiting_elsewhere = 0
        for peer in self.peers.values():
            status = peer.status
            if service not in status.services:
                continue
            if not self.is_zone_in_service(status.availability_zone):
                continue
            slots += status.slots
            held += self._count_held(peer)
            if peer is not self.own:
                waiting_elsewhere += min(peer.waiting, peer.waiting_jobs * tasks)
        return ServiceCapacity(slots, held, waiting_elsewhere)

    @property
    def own_slots(self) -> int:
        """Slots of the own target."""
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
            avoided: Incarnation that is chosen only if there is no other, or None.
            reserved: Slots of each target that the task leaves free.
            queue_allowance: Tasks that may wait at a target beyond its slots.

        Returns:
            The peer, or None if all are full.
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
        # Describing a peer costs most of the choice, and under load most are full.
        candidates = [
            self._describe(peer, now)
            for peer in eligible
            if self._count_held(peer) < peer.status.slots + queue_allowance
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

    def _count_held(self, peer: Peer) -> int:
        return len(peer.outstanding) + self._count_reported(peer)

    def _count_reported(self, peer: Peer) -> int:
        return self.count_held_for_others() if peer is self.own else peer.reported

    def _may_receive_tasks(self, peer: Peer, service: str, now: float) -> bool:
        if service not in peer.status.services or now < peer.backoff_until:
            return False
        if peer.query_unanswered_since is not None or peer.leaving:
            return False
        return peer is self.own or now - peer.listed_at <= UNLISTED_TIMEOUT_S
