"""The entries that were there before an entry started, as agents report them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..messages import PeerAddress
from ..messages.ownership import ReportRequest
from ..policy.replica_choice import REPLICAS
from ..policy.replica_choice import count_needed_replicas
from .leases import latest_suspended_run_end


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..clock import Clock
    from ..messages import Message
    from ..messages.ownership import KnownEntry
    from .agent_views import AgentViews
    from .entry_peers import EntryPeers


# An entry that agents have heard within this time may be running.
RUNNING_SILENCE_S = 1.0
# Time after the first report in which others arrive.
FIRST_REPORTS_S = 0.3
REQUEST_INTERVAL_S = 0.1


@dataclass(slots=True, eq=False)
class EarlierEntry:
    """An entry that agents have named.

    Attributes:
        address: Address of its process.
        heard_at: When an agent last heard it, in seconds of the clock.
        replica_links: Link addresses of the agents with a replica of its open runs.
        read_links: Those of them whose replicas have been received.
    """

    address: PeerAddress
    heard_at: float
    replica_links: list[str] = field(default_factory=list)
    read_links: set[str] = field(default_factory=set)

    @property
    def is_read(self) -> bool:
        """Whether enough replicas have been received."""
        read = self.read_links.intersection(self.replica_links)
        return len(read) >= count_needed_replicas(len(self.replica_links))


class EarlierEntries:
    """What an entry learns from agents when it starts, or returns after a cut.

    Attributes:
        entries: The entries that agents have named, by incarnation, until their runs
            can't go on any more.
        first_report_at: When the first agent has reported, in seconds of the clock.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        peers: EntryPeers,
        views: AgentViews,
        send: Callable[[PeerAddress, Message], None],
    ) -> None:
        """Creates the knowledge of an entry that has not received a report.

        Args:
            clock: Clock in seconds.
            peers: Receive the replicas of open runs.
            views: The agents that have reported.
            send: Sends a message to a process.
        """
        self.clock = clock
        self.peers = peers
        self.views = views
        self.send = send
        self.entries: dict[str, EarlierEntry] = {}
        self.first_report_at: float | None = None
        self.next_request_at = 0.0

    def record(self, link: str, entries: Iterable[KnownEntry]) -> None:
        """Records what the agent at a link address keeps of other entries."""
        now = self.clock()
        if self.first_report_at is None:
            self.first_report_at = now
        self.entries = {
            incarnation: entry
            for incarnation, entry in self.entries.items()
            if now <= latest_suspended_run_end(entry.heard_at)
        }
        for known in entries:
            self.peers.record_replica(known)
            heard_at = now - max(0.0, known.silent_s)
            incarnation = known.address.incarnation
            entry = self.entries.get(incarnation)
            if entry is None:
                entry = EarlierEntry(known.address, heard_at)
                self.entries[incarnation] = entry
            if known.replica_links and heard_at >= entry.heard_at:
                entry.replica_links = known.replica_links
            entry.heard_at = max(entry.heard_at, heard_at)
            if known.jobs is not None:
                entry.read_links.add(link)

    def list_running(self) -> list[PeerAddress]:
        """Returns the entries that agents have heard a moment ago."""
        oldest = self.clock() - RUNNING_SILENCE_S
        return [
            entry.address for entry in self.entries.values() if entry.heard_at >= oldest
        ]

    def is_complete(self) -> bool:
        """Returns whether the open runs of all earlier entries are known."""
        if self.first_report_at is None:
            return False
        # Each agent may have just started, too, and a few could not keep replicas of
        # this entry's own runs.
        has_few_agents = len(self.views.list_usable_zones()) < REPLICAS
        if has_few_agents and self.clock() < self.first_report_at + FIRST_REPORTS_S:
            return False
        return not self._list_unread() and not self._has_unnamed()

    def _has_unnamed(self) -> bool:
        """Returns whether an entry has ended that no other process has named yet.

        If agents name none that has ended, they have all started since then, and their
        targets run nothing of it.
        """
        listed = [
            entry
            for entry in self.peers.list_entries()
            if not self.peers.has_announced(entry)
        ]
        has_unnamed = any(
            entry.incarnation not in self.entries
            and entry.incarnation not in self.peers.peers
            for entry in listed
        )
        return has_unnamed and any(
            not self.peers.has_announced(entry.address)
            for entry in self.entries.values()
        )

    def _list_unread(self) -> list[EarlierEntry]:
        return [
            entry
            for entry in self.entries.values()
            if not entry.is_read and not self.peers.has_announced(entry.address)
        ]

    def request_replicas(self) -> None:
        """Asks agents for replicas that have not been received."""
        now = self.clock()
        if now < self.next_request_at:
            return
        self.next_request_at = now + REQUEST_INTERVAL_S
        links = {
            link
            for entry in self._list_unread()
            for link in entry.replica_links
            if link not in entry.read_links
        }
        for link in links:
            self.send(PeerAddress("", link), ReportRequest())
