"""Sends replicas of an entry's open runs to agents, for entries that restart."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.ownership import JobRuns
from ..messages.ownership import OpenRuns
from ..policy.replica_choice import REPLICAS
from ..policy.replica_choice import REPLICATION_INTERVAL_S
from ..policy.replica_choice import choose_replica_links
from .entry_peers import MAX_ANNOUNCED_JOBS


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..clock import Clock
    from ..messages import Message
    from ..messages import PeerAddress
    from .agent_views import AgentViews
    from .open_assignments import OpenAssignments


class RunReplication:
    """The replicas of an entry's open runs.

    If all entries end at once, agents and targets go on. Without replicas, only each
    agent would know what it runs, and one on a suspended VM can't report it.

    Attributes:
        replica_links: Link addresses of the agents with a replica.
        version: Number of changes of ``replica_links`` so far.
    """

    def __init__(
        self,
        *,
        link: str,
        clock: Clock,
        views: AgentViews,
        assignments: OpenAssignments,
        send: Callable[[PeerAddress, Message], None],
    ) -> None:
        """Creates the replication of an entry without replicas.

        Args:
            link: Link address of the entry.
            clock: Clock in seconds.
            views: The agents that report to the entry.
            assignments: Its open assignments.
            send: Sends a message to a process.
        """
        self.link = link
        self.clock = clock
        self.views = views
        self.assignments = assignments
        self.send = send
        self.replica_links: list[str] = []
        self.version = 0
        self.next_complete_at = 0.0

    def advance(self) -> None:
        """Sends all open runs if that is due, otherwise those that were added."""
        now = self.clock()
        is_due = now >= self.next_complete_at
        has_changed = False
        if is_due or len(self.replica_links) < REPLICAS:
            has_changed = self._choose_agents()
        if not is_due and not has_changed:
            self.send_added()
            return
        self.next_complete_at = now + REPLICATION_INTERVAL_S
        self.assignments.added_job_ids.clear()
        self._send(list(self.assignments.by_job_id), is_complete=True)

    def _choose_agents(self) -> bool:
        """Chooses the agents with a replica; returns whether they have changed."""
        chosen = choose_replica_links(self.link, self.views.list_usable_zones())
        if chosen == self.replica_links:
            return False
        self.replica_links = chosen
        self.version += 1
        return True

    def send_added(self) -> None:
        """Sends the jobs whose tasks have been assigned since the last message."""
        if not self.assignments.added_job_ids:
            return
        added = list(self.assignments.added_job_ids)
        self.assignments.added_job_ids.clear()
        self._send(added, is_complete=False)

    def _send(self, job_ids: Iterable[str], *, is_complete: bool) -> None:
        if not self.replica_links:
            return
        jobs = [self._describe(job_id) for job_id in job_ids]
        message = OpenRuns(
            jobs[:MAX_ANNOUNCED_JOBS],
            is_complete,
            REPLICATION_INTERVAL_S,
            self.replica_links,
        )
        for link in self.replica_links:
            address = self.views.find_address(link)
            if address is not None:
                self.send(address, message)

    def _describe(self, job_id: str) -> JobRuns:
        open_assignments = self.assignments.by_job_id.get(job_id, {}).values()
        links = (self.views.find_link(item.agent) for item in open_assignments)
        generation = max((item.job.generation for item in open_assignments), default=0)
        return JobRuns(job_id, generation, sorted({link for link in links if link}))
