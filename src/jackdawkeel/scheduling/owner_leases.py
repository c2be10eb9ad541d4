"""The leases of the entries that own an agent's assignments."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import EventName
from .leases import OWNER_LEASE_S
from .owners import Owner
from .task_run import StopCause


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import PeerAddress
    from .task_run import TaskRun


# Owners that are silent for this time and have no open assignments are removed.
OWNER_EXPIRY_S = 30.0


class OwnerLeases:
    """Renews the leases of owners and ends the runs of those that expire.

    Attributes:
        owners: The known owners, by incarnation.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        end_run: Callable[[TaskRun, StopCause], None],
    ) -> None:
        """Creates leases without owners.

        Args:
            clock: Clock in seconds.
            log: Event log.
            end_run: Cancels an assignment and stops its run.
        """
        self.clock = clock
        self.log = log
        self.end_run = end_run
        self.owners: dict[str, Owner] = {}

    def renew(self, address: PeerAddress, echo: float) -> Owner:
        """Renews the lease of an owner, counted from the report that it echoes.

        Args:
            address: Address of the owner.
            echo: When that report was sent, in seconds of the agent's clock.
        """
        owner = self.find(address)
        owner.last_seen_at = self.clock()
        owner.lease_until = max(owner.lease_until, echo + OWNER_LEASE_S)
        if owner.is_expired and owner.lease_until > owner.last_seen_at:
            owner.is_expired = False
            self.log.record(EventName.OWNER_HEARD, entry=address.incarnation)
        return owner

    def find(self, address: PeerAddress) -> Owner:
        """Returns an owner; a new one replaces earlier processes at its link."""
        owner = self.owners.get(address.incarnation)
        if owner is not None:
            return owner
        self._expire_predecessors(address)
        owner = Owner(address, lease_until=0.0, last_seen_at=self.clock())
        self.owners[address.incarnation] = owner
        self.log.record(
            EventName.OWNER_HEARD, entry=address.incarnation, link=address.link
        )
        return owner

    def expire_due(self) -> None:
        """Expires owners whose leases have ended and removes those long silent."""
        now = self.clock()
        for owner in list(self.owners.values()):
            if now >= owner.lease_until and not owner.is_expired:
                self._expire(owner, StopCause.OWNER_EXPIRED)
            if now >= owner.last_seen_at + OWNER_EXPIRY_S and not owner.runs:
                del self.owners[owner.address.incarnation]

    def _expire_predecessors(self, address: PeerAddress) -> None:
        for owner in self.owners.values():
            if owner.address.link == address.link:
                owner.lease_until = min(owner.lease_until, self.clock())
                self._expire(owner, StopCause.OWNER_REPLACED)

    def _expire(self, owner: Owner, cause: StopCause) -> None:
        if not owner.is_expired:
            owner.is_expired = True
            self.log.record(
                EventName.OWNER_SILENT,
                entry=owner.address.incarnation,
                silent_s=round(self.clock() - owner.last_seen_at, 3),
                orders=len(owner.runs),
            )
        for run in list(owner.runs.values()):
            self.end_run(run, cause)
