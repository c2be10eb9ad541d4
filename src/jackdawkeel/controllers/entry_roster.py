"""Tracks the entries that an agent knows and chooses those it reports to."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from ..clock import Clock
    from ..messages import HeartbeatReply
    from ..messages import PeerAddress
    from ..messages import PeerStatus


MAX_ENTRIES = 3
SILENCE_TIMEOUT_S = 2.5
REMOVAL_TIMEOUT_S = 30.0


@dataclass(slots=True, eq=False)
class KnownEntry:
    """The agent's record of an entry.

    Attributes:
        address: The entry.
        added_at: When it became known, in seconds of the clock.
        last_seen_at: When it last replied, or ``added_at`` if it never did.
        redialled_at: When the link to it was last replaced.
        peer_list_version: Version of the last peer list received from it, 0 for none.
        peers: The agents in that list.
    """

    address: PeerAddress
    added_at: float
    last_seen_at: float
    redialled_at: float = 0.0
    peer_list_version: int = 0
    peers: list[PeerStatus] = field(default_factory=list)


class EntryRosterController:
    """Chooses up to ``MAX_ENTRIES`` entries, those that reply before silent ones."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.entries: dict[str, KnownEntry] = {}

    def add(self, addresses: list[PeerAddress]) -> None:
        """Adds entries named by the store or by another entry."""
        now = self.clock()
        for address in addresses:
            if address.incarnation not in self.entries:
                entry = KnownEntry(address, now, now)
                self.entries[address.incarnation] = entry

    def record_reply(
        self, address: PeerAddress, reply: HeartbeatReply
    ) -> list[PeerStatus]:
        """Records an entry's reply.

        Returns:
            The peers in the list that the reply refers to; none if the agent does
            not have that list.
        """
        self.add([address])
        entry = self.entries[address.incarnation]
        entry.last_seen_at = self.clock()
        if reply.peers is not None:
            entry.peer_list_version = reply.peer_list_version
            entry.peers = reply.peers
        return entry.peers if entry.peer_list_version == reply.peer_list_version else []

    def remove(self, incarnation: str) -> None:
        """Removes an entry whose process has ended."""
        self.entries.pop(incarnation, None)

    def replace(self, incarnation: str, successor: PeerAddress) -> None:
        """Replaces an entry by the process that now listens at its address."""
        if self.entries.pop(incarnation, None) is not None:
            self.add([successor])

    def choose(self) -> list[KnownEntry]:
        """Returns the entries to report to.

        Removes those that are silent for ``REMOVAL_TIMEOUT_S``. Entries that reply
        come before silent ones, the longest known first.
        """
        now = self.clock()
        for entry in list(self.entries.values()):
            if now - entry.last_seen_at > REMOVAL_TIMEOUT_S:
                self.remove(entry.address.incarnation)
        ordered = sorted(
            self.entries.values(),
            key=lambda entry: (self._is_silent(entry, now), entry.added_at),
        )
        return ordered[:MAX_ENTRIES]

    def list_to_redial(self) -> list[KnownEntry]:
        """Returns the silent chosen entries whose link was not replaced recently.

        Marks their links as replaced now; the caller replaces them.
        """
        now = self.clock()
        silent = [
            entry
            for entry in self.choose()
            if self._is_silent(entry, now)
            and now - entry.redialled_at > SILENCE_TIMEOUT_S
        ]
        for entry in silent:
            entry.redialled_at = now
        return silent

    def is_isolated(self) -> bool:
        """Returns whether every known entry is silent, or none is known."""
        now = self.clock()
        return all(self._is_silent(entry, now) for entry in self.entries.values())

    def _is_silent(self, entry: KnownEntry, now: float) -> bool:
        return now - entry.last_seen_at > SILENCE_TIMEOUT_S
