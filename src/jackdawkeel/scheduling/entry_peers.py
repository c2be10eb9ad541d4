"""The other entries, and the jobs that they have announced."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..messages.ownership import JobRuns
from ..messages.ownership import OpenJob
from ..messages.ownership import OpenJobs
from ..messages.ownership import SilentEntry
from ..policy.announcement import MIN_INTERVAL_S
from ..policy.announcement import choose_announcement_interval_s
from .leases import LINK_SILENCE_TIMEOUT_S
from .leases import latest_run_end
from .leases import latest_suspended_run_end


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..messages import Message
    from ..messages import PeerAddress
    from ..messages.ownership import KnownEntry


# Time of a pause, or of a cut after it has been noticed, from which the jobs of other
# entries count as unknown.
UNKNOWN_OUTAGE_S = 0.3
# Bounds the interval that another entry may state.
MAX_INTERVAL_S = 10.0
# Time for which an entry that has started, or has been silent, is told of others that
# fall silent; later it has received their own announcements.
CATCH_UP_S = 2.0
# Silence after which an entry receives no more announcements unless it is listed.
PEER_EXPIRY_S = 30.0
# Jobs that are announced, the oldest first; more are not protected.
MAX_ANNOUNCED_JOBS = 2000


@dataclass(slots=True, eq=False)
class EntryPeer:
    """Another entry.

    Attributes:
        address: Address of its process.
        jobs: Its open jobs, by id.
        silent_s: Time since its last message, without the times in which this entry
            was paused or cut off.
        heard_s: Time since it was heard for the first time, or again after a silence.
        interval_s: Time between two of its announcements.
        is_known: Whether its jobs are known; not after this entry was paused or cut
            off until the next announcement.
        has_silent_agent: Whether one of the agents that report to it is silent, by its
            last announcement.
        is_heard: Whether it has announced its jobs itself.
        run_links: Link addresses of the agents that may run tasks of its jobs, by job
            id, as replicas have it; only if it was never heard.
    """

    address: PeerAddress
    jobs: dict[str, OpenJob] = field(default_factory=dict)
    silent_s: float = 0.0
    heard_s: float = 0.0
    interval_s: float = 0.0
    is_known: bool = True
    has_silent_agent: bool = False
    is_heard: bool = True
    run_links: dict[str, list[str]] = field(default_factory=dict)

    @property
    def may_run_jobs(self) -> bool:
        """Whether runs of its jobs may not have ended on VMs that are not suspended.

        It may have reached its agents until its next announcement was due.
        """
        return self.silent_s <= latest_run_end(self.interval_s)

    @property
    def may_have_suspended_runs(self) -> bool:
        """Whether runs of its jobs may go on when a suspended VM is resumed."""
        return self.silent_s <= latest_suspended_run_end(self.interval_s)

    @property
    def is_overdue(self) -> bool:
        """Whether an announcement of it is overdue."""
        return self.silent_s > self.interval_s

    @property
    def is_link_silent(self) -> bool:
        """Whether one is overdue by so much that its connection may be lost."""
        return self.silent_s > self.interval_s + LINK_SILENCE_TIMEOUT_S


class EntryPeers:
    """The other entries that an entry exchanges announcements with.

    Attributes:
        interval_s: Time between two announcements of this entry, in seconds.
        out_of_touch_s: For how long this entry has been paused or cut off, in seconds.
        peers: The entries that have sent an announcement, or were named as silent by
            one of them, by incarnation.
        links: Incarnation of the last process that announced from a link address.
        has_announced_silence: Whether its last announcement named a silent agent.
        announced_to: Incarnations of the entries that its last announcement went to.
    """

    def __init__(
        self,
        *,
        send: Callable[[PeerAddress, Message], None],
        redial: Callable[[str], bool],
        list_entries: Callable[[], Iterable[PeerAddress]],
        list_jobs: Callable[[], list[OpenJob]],
        has_silent_agent: Callable[[], bool],
        is_agent_settled: Callable[[str], bool],
        measure_agent_silence_s: Callable[[str], float],
    ) -> None:
        """Creates the peers of an entry that has not received an announcement.

        Args:
            send: Sends a message to a process.
            redial: Replaces the connection to a link address; returns whether it did.
            list_entries: Returns the other entries that are registered in the store.
            list_jobs: Returns the open jobs of this entry, the oldest first.
            has_silent_agent: Returns whether an agent may have runs of a silent entry
                that go on when its VM is resumed.
            is_agent_settled: Returns whether the agent at a link address has stopped
                the runs of earlier entries.
            measure_agent_silence_s: Returns for how long it has been silent, in
                seconds; infinite if it was never heard.
        """
        self.send = send
        self.redial = redial
        self.list_entries = list_entries
        self.list_jobs = list_jobs
        self.has_silent_agent = has_silent_agent
        self.is_agent_settled = is_agent_settled
        self.measure_agent_silence_s = measure_agent_silence_s
        self.peers: dict[str, EntryPeer] = {}
        self.links: dict[str, str] = {}
        self.out_of_touch_s = 0.0
        self.interval_s = MIN_INTERVAL_S
        self.until_announcement_s = 0.0
        self.has_announced_silence = False
        self.announced_to: frozenset[str] = frozenset()

    def record_contact(self, sender: PeerAddress) -> None:
        """Records that a message of an entry has arrived."""
        peer = self.peers.get(sender.incarnation)
        if peer is None:
            return
        if peer.is_link_silent:
            peer.heard_s = 0.0
            self._send_missed(sender)
        peer.silent_s = 0.0

    def record_successor(self, sender: PeerAddress) -> None:
        """Records that a process has replaced the entry at its link address."""
        if any(entry.link == sender.link for entry in self.list_recipients()):
            self.links[sender.link] = sender.incarnation

    def record(self, sender: PeerAddress, message: OpenJobs) -> None:
        """Records the announcement of an entry."""
        self.links[sender.link] = sender.incarnation
        peer = self.peers.get(sender.incarnation)
        if peer is None:
            peer = self.peers[sender.incarnation] = EntryPeer(sender)
            self._send_missed(sender)
        peer.interval_s = _bound_interval(message.interval_s)
        peer.jobs = _index_jobs(message.jobs)
        peer.run_links.clear()
        peer.is_known = peer.is_heard = True
        peer.has_silent_agent = message.has_silent_agent
        for entry in message.silent_entries:
            self._record_silent(entry)

    def _send_missed(self, address: PeerAddress) -> None:
        """Informs an entry that has started a moment ago, or has been cut off."""
        self.send(address, self._make_announcement(self._list_silent()))

    def _list_silent(self) -> list[SilentEntry]:
        """Returns the entries that are not heard and whose runs may not have ended."""
        return [
            SilentEntry(
                peer.address,
                list(peer.jobs.values()),
                peer.interval_s,
                peer.silent_s,
                _list_runs(peer),
            )
            for peer in self.peers.values()
            if peer.jobs
            and peer.may_have_suspended_runs
            and (peer.is_overdue or self._is_replaced(peer.address))
        ]

    def _record_silent(self, entry: SilentEntry) -> None:
        """Records what another entry has heard of one that is silent now."""
        silent_s = max(0.0, entry.silent_s)
        peer = self._find_reported(entry.address, silent_s, entry.interval_s)
        is_up_to_date = peer.is_heard and peer.is_known and peer.silent_s <= silent_s
        if is_up_to_date:
            return
        peer.jobs |= _index_jobs(entry.jobs)
        peer.silent_s = min(peer.silent_s, silent_s)
        for runs in entry.runs[:MAX_ANNOUNCED_JOBS]:
            _add_run_links(peer, runs)

    def record_replica(self, entry: KnownEntry) -> None:
        """Records the replica of an entry's open runs that an agent has kept."""
        if entry.jobs is None:
            return
        jobs = entry.jobs[:MAX_ANNOUNCED_JOBS]
        peer = self._find_reported(entry.address, entry.silent_s, entry.interval_s)
        is_current = peer.is_heard and peer.is_known and not peer.is_overdue
        if is_current and not self._is_replaced(peer.address):
            return
        for job in jobs:
            announced = OpenJob(job.job_id, job.generation, is_owned=False)
            peer.jobs.setdefault(job.job_id, announced)
            _add_run_links(peer, job)
        peer.silent_s = min(peer.silent_s, max(0.0, entry.silent_s))

    def _find_reported(
        self, address: PeerAddress, silent_s: float, interval_s: float
    ) -> EntryPeer:
        """Returns an entry that another process has reported; it may be unknown."""
        peer = self.peers.get(address.incarnation)
        if peer is None:
            peer = self.peers[address.incarnation] = EntryPeer(
                address,
                silent_s=max(0.0, silent_s),
                interval_s=_bound_interval(interval_s),
                is_heard=False,
            )
        return peer

    def has_all_announcements(
        self, has_ended: Callable[[str], bool] = lambda _link: False
    ) -> bool:
        """Returns whether every registered entry has announced its jobs or ended.

        Args:
            has_ended: Returns whether no process runs at a link address.
        """
        return all(
            self.has_announced(entry)
            or self._is_replaced(entry)
            or has_ended(entry.link)
            for entry in self.list_entries()
        )

    def has_announced(self, entry: PeerAddress) -> bool:
        """Returns whether an entry has announced its jobs itself."""
        peer = self.peers.get(entry.incarnation)
        return peer is not None and peer.is_heard

    def find_holders(self, job_id: str) -> list[EntryPeer]:
        """Returns the entries that may run a job, or wait for one that runs it."""
        return [
            peer
            for peer in self.peers.values()
            if self._may_run_announced(peer, job_id)
            or (peer.may_run_jobs and self._is_unknown(peer))
        ]

    def find_owners(self, job_id: str) -> list[EntryPeer]:
        """Returns the entries that have announced that they own a job."""
        return [
            peer
            for peer in self.peers.values()
            if self._may_run_announced(peer, job_id) and peer.jobs[job_id].is_owned
        ]

    def forget_job(self, incarnation: str, job_id: str) -> None:
        """Removes a job that an entry has released since its last announcement."""
        peer = self.peers.get(incarnation)
        if peer is not None:
            peer.jobs.pop(job_id, None)

    def may_run(self, incarnation: str, job_id: str) -> bool:
        """Returns whether runs of a job may not have ended that an entry may own."""
        peer = self.peers.get(incarnation)
        if peer is None:
            return False
        return peer.may_run_jobs or self._may_run_announced(peer, job_id)

    def _may_run_announced(self, peer: EntryPeer, job_id: str) -> bool:
        """Returns whether a job that a peer has announced may have runs."""
        if job_id not in peer.jobs:
            return False
        if peer.may_run_jobs:
            return True
        is_in_time = peer.may_have_suspended_runs
        if is_in_time and self._is_any_agent_silent():
            return True
        return bool(self._list_unsettled(peer, job_id))

    def _list_unsettled(self, peer: EntryPeer, job_id: str) -> list[str]:
        """Returns the agents that may run tasks of a job when they are resumed.

        One that was heard after its owner had ended may have been suspended again
        before it had stopped them.
        """
        return [
            link
            for link in peer.run_links.get(job_id, [])
            if not self.is_agent_settled(link)
            and min(peer.silent_s, self.measure_agent_silence_s(link))
            <= latest_suspended_run_end(peer.interval_s)
        ]

    def list_unsettled_agents(self, job_id: str) -> list[str]:
        """Returns the link addresses of agents that may still run a job's tasks.

        The entries that sent the tasks have ended, according to replicas.
        """
        return [
            link
            for peer in self.peers.values()
            for link in self._list_unsettled(peer, job_id)
        ]

    def _is_any_agent_silent(self) -> bool:
        """Returns whether an agent that reports to any entry may be suspended."""
        return self.has_silent_agent() or any(
            peer.has_silent_agent and peer.may_have_suspended_runs
            for peer in self.peers.values()
        )

    def list_recipients(self) -> list[PeerAddress]:
        """Returns the entries that receive announcements."""
        known = [peer.address for peer in self.peers.values() if peer.is_heard]
        recipients = dict.fromkeys([*self.list_entries(), *known])
        return [entry for entry in recipients if not self._is_replaced(entry)]

    def advance(self, elapsed_s: float, *, is_in_touch: bool) -> None:
        """Sends announcements that are due and measures the silence of the others.

        Args:
            elapsed_s: Time since the last call, in seconds.
            is_in_touch: Whether this entry could receive messages during that time.
        """
        if is_in_touch:
            self.out_of_touch_s = 0.0
            for peer in list(self.peers.values()):
                peer.silent_s += elapsed_s
                peer.heard_s += elapsed_s
                self._replace_silent_link(peer)
                if peer.silent_s > PEER_EXPIRY_S:
                    self._remove(peer)
        else:
            self.out_of_touch_s += elapsed_s
            self._discard_knowledge()
        self.until_announcement_s -= elapsed_s
        # Others may be about to take over a job whose runs are suspended.
        is_urgent = not self.has_announced_silence and self.has_silent_agent()
        if self.until_announcement_s <= 0 or is_urgent or self._has_new_entry():
            self._announce()

    def _has_new_entry(self) -> bool:
        """Returns whether an entry that it has not heard was listed a moment ago."""
        return any(
            entry.incarnation not in self.announced_to
            and entry.incarnation not in self.peers
            for entry in self.list_recipients()
        )

    def _announce(self) -> None:
        recipients = self.list_recipients()
        self.interval_s = choose_announcement_interval_s(len(recipients))
        self.until_announcement_s = self.interval_s
        self.announced_to = frozenset(entry.incarnation for entry in recipients)
        announcement = self._make_announcement()
        self.has_announced_silence = announcement.has_silent_agent
        silent = self._list_silent()
        catch_up = self._make_announcement(silent) if silent else announcement
        for address in recipients:
            peer = self.peers.get(address.incarnation)
            is_behind = peer is not None and peer.heard_s < CATCH_UP_S
            self.send(address, catch_up if is_behind else announcement)

    def _discard_knowledge(self) -> None:
        """Treats others as unknown that may have accepted jobs in an own outage.

        A caller that came to them in a short outage comes back after their next
        announcement. In a long one, even an entry that was silent before may have
        returned.
        """
        if self.out_of_touch_s < UNKNOWN_OUTAGE_S:
            return
        is_long = self.out_of_touch_s >= latest_run_end(0.0)
        for peer in self.peers.values():
            if (peer.may_run_jobs or is_long) and not self._is_gone(peer):
                peer.is_known = False
                peer.silent_s = 0.0

    def _is_unknown(self, peer: EntryPeer) -> bool:
        return not peer.is_known and not self._is_replaced(peer.address)

    def _replace_silent_link(self, peer: EntryPeer) -> None:
        if not peer.is_link_silent or self._is_gone(peer):
            return
        if self.redial(peer.address.link):
            # The next message asks the other side to replace its connection, too.
            self.send(peer.address, self._make_announcement())

    def _make_announcement(
        self, silent_entries: Iterable[SilentEntry] = ()
    ) -> OpenJobs:
        return OpenJobs(
            self.list_jobs()[:MAX_ANNOUNCED_JOBS],
            self.interval_s,
            self.has_silent_agent(),
            list(silent_entries),
        )

    def _is_replaced(self, address: PeerAddress) -> bool:
        """Returns whether the process has ended, because another one uses its link.

        Its runs may not have ended yet.
        """
        incarnation = self.links.get(address.link, address.incarnation)
        return incarnation != address.incarnation

    def _is_gone(self, peer: EntryPeer) -> bool:
        """Returns whether nothing is expected of a peer any more."""
        return self._is_replaced(peer.address) or not peer.is_heard

    def _remove(self, peer: EntryPeer) -> None:
        del self.peers[peer.address.incarnation]
        if not self._is_replaced(peer.address):
            self.links.pop(peer.address.link, None)


def _add_run_links(peer: EntryPeer, runs: JobRuns) -> None:
    """Adds agents that may run a job, unless the entry was heard itself.

    It was heard then together with the agents that report to this entry.
    """
    if not peer.is_heard:
        links = peer.run_links.get(runs.job_id, [])
        peer.run_links[runs.job_id] = list(dict.fromkeys([*links, *runs.agents]))


def _list_runs(peer: EntryPeer) -> list[JobRuns]:
    return [
        JobRuns(job_id, peer.jobs[job_id].generation, links)
        for job_id, links in peer.run_links.items()
        if job_id in peer.jobs
    ]


def _bound_interval(interval_s: float) -> float:
    return min(max(0.0, interval_s), MAX_INTERVAL_S)


def _index_jobs(jobs: list[OpenJob]) -> dict[str, OpenJob]:
    return {job.job_id: job for job in jobs[:MAX_ANNOUNCED_JOBS]}
