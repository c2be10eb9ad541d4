"""Replicas of entries' open runs that an agent keeps for entries that restart."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..messages.ownership import KnownEntry
from .entry_peers import MAX_ANNOUNCED_JOBS
from .leases import LINK_SILENCE_TIMEOUT_S
from .leases import latest_suspended_run_end


if TYPE_CHECKING:
    from ..clock import Clock
    from ..messages import PeerAddress
    from ..messages.ownership import JobRuns
    from ..messages.ownership import OpenRuns


# Entries that an agent keeps, the last heard ones.
MAX_KEPT_ENTRIES = 64


@dataclass(slots=True)
class KeptEntry:
    """An entry that has sent messages to the agent.

    Attributes:
        address: Address of its process.
        heard_at: When its last message arrived, in seconds of the agent's clock.
        replica_links: Link addresses of the agents with a replica of its open runs.
        jobs: The replica, by job id; None if this agent has none.
        interval_s: Time between two complete messages about its runs, in seconds.
        is_silent: Whether it has been found to be silent since then.
    """

    address: PeerAddress
    heard_at: float
    replica_links: list[str] = field(default_factory=list)
    jobs: dict[str, JobRuns] | None = None
    interval_s: float = 0.0
    is_silent: bool = False

    def describe(self, now: float) -> KnownEntry:
        """Returns its description for another entry."""
        return KnownEntry(
            self.address,
            now - self.heard_at,
            self.replica_links,
            None if self.jobs is None else list(self.jobs.values()),
            self.interval_s,
        )


class RunReplicas:
    """The entries that an agent has messages of, with replicas of their open runs.

    An entry is kept until none of its runs can go on, also on a VM that is suspended.

    Attributes:
        entries: The entries, by incarnation, the last heard one last.
    """

    def __init__(self, link: str, clock: Clock) -> None:
        """Creates the replicas of an agent that has received no message.

        Args:
            link: Link address of the agent.
            clock: Clock in seconds that includes suspensions.
        """
        self.link = link
        self.clock = clock
        self.entries: dict[str, KeptEntry] = {}

    def record_contact(self, address: PeerAddress) -> None:
        """Records that a message of an entry has arrived."""
        now = self.clock()
        kept = self.entries.pop(address.incarnation, None)
        if kept is None:
            kept = KeptEntry(address, now)
        kept.heard_at = now
        kept.is_silent = False
        self.entries[address.incarnation] = kept
        self._drop_expired(now)

    def record_links(self, address: PeerAddress, links: list[str] | None) -> None:
        """Records which agents have a replica of an entry, if it has changed."""
        kept = self.entries.get(address.incarnation)
        if kept is None or links is None:
            return
        kept.replica_links = links
        if self.link not in links:
            kept.jobs = None

    def record_runs(self, address: PeerAddress, message: OpenRuns) -> None:
        """Records open runs of an entry."""
        kept = self.entries.get(address.incarnation)
        if kept is None:
            return
        jobs = {job.job_id: job for job in message.jobs[:MAX_ANNOUNCED_JOBS]}
        kept.interval_s = max(0.0, message.interval_s)
        kept.replica_links = message.replica_links
        if message.is_complete:
            kept.jobs = jobs
        elif kept.jobs is not None and len(kept.jobs) < 2 * MAX_ANNOUNCED_JOBS:
            kept.jobs |= jobs

    def has_newly_silent(self) -> bool:
        """Returns whether an entry with open runs has fallen silent since last asked.

        Another one may not have received an announcement of its last jobs.
        """
        oldest = self.clock() - LINK_SILENCE_TIMEOUT_S
        newly_silent = [
            kept
            for kept in self.entries.values()
            if kept.jobs and not kept.is_silent and kept.heard_at < oldest
        ]
        for kept in newly_silent:
            kept.is_silent = True
        return bool(newly_silent)

    def list_others(self, address: PeerAddress) -> list[KnownEntry]:
        """Returns the kept entries except one, for that one."""
        now = self.clock()
        self._drop_expired(now)
        return [
            kept.describe(now)
            for incarnation, kept in self.entries.items()
            if incarnation != address.incarnation
        ]

    def _drop_expired(self, now: float) -> None:
        while self.entries:
            oldest = next(iter(self.entries.values()))
            is_kept = now <= latest_suspended_run_end(
                oldest.heard_at + oldest.interval_s
            )
            if is_kept and len(self.entries) <= MAX_KEPT_ENTRIES:
                return
            del self.entries[oldest.address.incarnation]
