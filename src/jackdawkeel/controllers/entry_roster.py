"""The entries that an agent reports to."""

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
SILENT_AFTER_S = 2.5
DROP_AFTER_S = 30.0


@dataclass(slots=True, eq=False)
class KnownEntry:
    """An entry as an agent knows it.

    Attributes:
        address: The entry.
        added_at: When it became known, in seconds of the clock.
        last_seen_at: When it last replied, or ``added_at``.
        redialed_at: When the link to it was last replaced.
        peer_list: Number of the peer list that came from it, 0 for none.
        peers: That list.
    """

    address: PeerAddress
    added_at: float
    last_seen_at: float
    redialed_at: float = 0.0
    peer_list: int = 0
    peers: list[PeerStatus] = field(default_factory=list)


class EntryRosterController:
    """Chooses a bounded number of entries, those that reply first."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.entries: dict[str, KnownEntry] = {}

    def add(self, addresses: list[PeerAddress]) -> None:
        """Adds entries that the store or another entry names."""
        now = self.clock()
        for address in addresses:
            if address.incarnation not in self.entries:
                known = KnownEntry(address, now, now)
                self.entries[address.incarnation] = known

    def record_reply(
        self, address: PeerAddress, reply: HeartbeatReply
    ) -> list[PeerStatus]:
        """Notes that an entry has replied; returns the peers that it lists."""
        self.add([address])
        entry = self.entries[address.incarnation]
        entry.last_seen_at = self.clock()
        if reply.peers is not None:
            entry.peer_list = reply.peer_list
            entry.peers = reply.peers
        return entry.peers if entry.peer_list == reply.peer_list else []

    def remove(self, incarnation: str) -> None:
        """Forgets an entry whose process has ended."""
        self.entries.pop(incarnation, None)

    def replace(self, incarnation: str, successor: PeerAddress) -> None:
        """Takes it that another process listens at the address of an entry."""
        if self.entries.pop(incarnation, None) is not None:
            self.add([successor])

    def choose(self) -> list[KnownEntry]:
        """Returns the entries to report to, the most lately heard first."""
        now = self.clock()
        for entry in list(self.entries.values()):
            if now - entry.last_seen_at > DROP_AFTER_S:
                self.remove(entry.address.incarnation)
        heard = sorted(
            self.entries.values(),
            key=lambda entry: (self._is_silent(entry, now), entry.added_at),
        )
        return heard[:MAX_ENTRIES]

    def list_to_redial(self) -> list[KnownEntry]:
        """Returns chosen entries whose link is silent and was not just replaced."""
        now = self.clock()
        silent = [
            entry
            for entry in self.choose()
            if self._is_silent(entry, now) and now - entry.redialed_at > SILENT_AFTER_S
        ]
        for entry in silent:
            entry.redialed_at = now
        return silent

    def is_cut_off(self) -> bool:
        """Returns whether no known entry replies."""
        now = self.clock()
        return all(self._is_silent(entry, now) for entry in self.entries.values())

    def _is_silent(self, entry: KnownEntry, now: float) -> bool:
        return now - entry.last_seen_at > SILENT_AFTER_S
