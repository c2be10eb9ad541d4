"""Replies of an entry to the full reports of agents."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..messages.scheduling import OwnerBeat


if TYPE_CHECKING:
    from ..messages import PeerAddress
    from ..messages.scheduling import AgentReport
    from .agent_views import AgentView
    from .agent_views import AgentViews
    from .crash_records import CrashRecords
    from .operator_state import OperatorState
    from .run_replication import RunReplication


# Time after which an agent receives an unchanged list of entries again, because a beat
# may be lost; a quarter of the time after which it removes an unlisted entry.
ENTRY_LIST_INTERVAL_S = 5.0


@dataclass(slots=True)
class EntryList:
    """The other entries that an entry has found in the store.

    Attributes:
        entries: Their addresses.
        version: Number of changes so far.
        is_read: Whether the store has been read.
    """

    entries: list[PeerAddress] = field(default_factory=list)
    version: int = 0
    is_read: bool = False

    def replace(self, entries: list[PeerAddress]) -> None:
        """Sets the addresses and counts a change, if they differ."""
        self.is_read = True
        if entries != self.entries:
            self.entries = entries
            self.version += 1


def make_owner_beat(
    report: AgentReport,
    view: AgentView,
    views: AgentViews,
    entry_list: EntryList,
    operators: OperatorState,
    crashes: CrashRecords,
    replication: RunReplication,
) -> OwnerBeat:
    """Builds the reply to a full report and records which lists it contains.

    An agent receives a beat several times a second, so the list of entries, and that of
    the agents with replicas, are left out unless they have changed or
    ``ENTRY_LIST_INTERVAL_S`` has passed.
    """
    now = views.clock()
    entries: list[PeerAddress] = []
    is_due = now >= view.listed_at + ENTRY_LIST_INTERVAL_S
    if is_due or view.listed_version != entry_list.version:
        entries = entry_list.entries
        view.listed_version = entry_list.version
        view.listed_at = now
    replica_links = None
    if is_due or view.replicas_version != replication.version:
        replica_links = replication.replica_links
        view.replicas_version = replication.version
    return OwnerBeat(
        echo=report.sent_at,
        updates_through=view.updates_through,
        evacuated_zones=sorted(operators.evacuated_zones),
        evacuation_revision=operators.revision,
        entries=entries,
        median_slowness=views.median_slowness(),
        change_interval_s=views.change_interval_s(),
        crashes=crashes.collect(view.crashes, view.address.incarnation),
        replica_links=replica_links,
    )
