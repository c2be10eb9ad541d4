"""Agrees with the other entries on which of them runs a job.

Designed for callers that come back through another entry while the first one goes on
with their job, because the end of their connection was lost or delayed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..events import EventName
from ..messages import PeerAddress
from ..messages.ownership import JobState
from ..messages.ownership import JobWithdrawal
from ..messages.ownership import OpenJob
from ..messages.ownership import OpenJobs
from ..messages.ownership import OwnedState
from ..messages.ownership import OwnerInquiry
from ..messages.ownership import OwnerReply
from ..messages.ownership import ReportRequest
from ..policy.ownership import must_yield
from .entry_peers import EntryPeers
from .job import JobResult


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import Message
    from .entry_peers import EntryPeer
    from .job import Job
    from .open_assignments import OpenAssignments


INQUIRY_INTERVAL_S = 0.1
# Time after its last inquiry for which an entry counts as a waiting caller.
FOLLOWER_EXPIRY_S = 0.7
# The sender of an older reply may own the job by now.
MAX_REPLY_AGE_S = 0.5
# A longer time between two calls of ``advance`` is a pause of this process, in which
# messages have waited.
MAX_TICK_S = 0.3

OwnershipMessage = OpenJobs | OwnerInquiry | OwnerReply | JobWithdrawal


@dataclass(frozen=True, slots=True)
class JobActions:
    """What the ownership of a job causes at the scheduler.

    Attributes:
        resume: Lets a job start that no other entry owns any more.
        stop: Stops all runs of a job and starts none.
        finish: Ends a job with a result.
        leave: Ends a job that nobody waits for.
        cancel: Cancels the job with an id.
    """

    resume: Callable[[Job], None]
    stop: Callable[[Job], None]
    finish: Callable[[Job, JobResult], None]
    leave: Callable[[Job], None]
    cancel: Callable[[str], object]


class JobOwnership:
    """The jobs of an entry that it shares with others.

    Attributes:
        peers: The other entries.
        joined: Jobs that other entries own and callers of this one wait for, by id.
        followed: Jobs of this entry that callers of others wait for, by id.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        incarnation: str,
        send: Callable[[PeerAddress, Message], None],
        redial: Callable[[str], bool],
        list_entries: Callable[[], Iterable[PeerAddress]],
        has_silent_agent: Callable[[], bool],
        is_agent_settled: Callable[[str], bool],
        measure_agent_silence_s: Callable[[str], float],
        jobs: Mapping[str, Job],
        ended_jobs: Mapping[str, Job],
        assignments: OpenAssignments,
        actions: JobActions,
    ) -> None:
        """Creates the ownership of an entry without shared jobs.

        Args:
            clock: Clock in seconds.
            log: Event log.
            incarnation: Incarnation of this entry.
            send: Sends a message to a process.
            redial: Replaces the connection to a link address; returns whether it did.
            list_entries: Returns the other entries that are registered in the store.
            has_silent_agent: Returns whether the VM of an agent may be suspended.
            is_agent_settled: Returns whether the agent at a link address has stopped
                the runs of earlier entries.
            measure_agent_silence_s: Returns for how long it has been silent, in
                seconds; infinite if it was never heard.
            jobs: The open jobs of this entry, by id.
            ended_jobs: Jobs that have ended, by id.
            assignments: Open assignments of this entry.
            actions: Called with the jobs that they apply to.
        """
        self.clock = clock
        self.log = log
        self.incarnation = incarnation
        self.send = send
        self.jobs = jobs
        self.ended_jobs = ended_jobs
        self.assignments = assignments
        self.actions = actions
        self.peers = EntryPeers(
            send=send,
            redial=redial,
            list_entries=list_entries,
            list_jobs=self._list_open,
            has_silent_agent=has_silent_agent,
            is_agent_settled=is_agent_settled,
            measure_agent_silence_s=measure_agent_silence_s,
        )
        self.joined: dict[str, Job] = {}
        self.followed: dict[str, Job] = {}
        self.advanced_at = clock()
        self.next_inquiry_at = 0.0

    def _list_open(self) -> list[OpenJob]:
        """Returns the jobs that are open, or whose runs may not have ended."""
        listed = [
            OpenJob(job_id, job.generation, is_owned=not job.owners)
            for job_id, job in self.jobs.items()
        ]
        ending = self.assignments.by_job_id.keys() - self.jobs.keys()
        return listed + [OpenJob(job_id, 0, is_owned=False) for job_id in ending]

    # Jobs of other entries.

    def find_holders(self, job_id: str) -> list[EntryPeer]:
        """Returns the other entries that a new job has to wait for."""
        return self.peers.find_holders(job_id)

    def join(self, job: Job, holders: Iterable[EntryPeer]) -> None:
        """Makes a job wait for its result at the entries that may run it."""
        job_id = job.spec.job_id
        for holder in holders:
            job.owners[holder.address.incarnation] = holder.address
            announced = holder.jobs.get(job_id)
            if announced is not None:
                job.generation = max(job.generation, announced.generation)
                # Its tasks may have run there.
                job.has_run = True
        self.joined[job_id] = job
        self.log.record(EventName.JOB_JOINED, job=job_id, owners=list(job.owners))
        for address in job.owners.values():
            self.send(address, OwnerInquiry([job_id], self.clock()))

    def _release(self, job: Job, incarnation: str, reason: str) -> None:
        job_id = job.spec.job_id
        job.owners.pop(incarnation, None)
        self.peers.forget_job(incarnation, job_id)
        self.log.record(
            EventName.JOB_RELEASED, job=job_id, owner=incarnation, reason=reason
        )
        if job.owners:
            return
        successors = self.peers.find_owners(job_id)
        if successors:
            self.join(job, successors)
            return
        del self.joined[job_id]
        # An earlier owner that returns leaves the job to this entry.
        job.generation += 1
        self.actions.resume(job)

    def _handle_reply(self, sender: PeerAddress, reply: OwnerReply) -> None:
        is_recent = self.clock() - reply.echo < MAX_REPLY_AGE_S
        for row in reply.states:
            job = self.joined.get(row.job_id)
            if job is not None and sender.incarnation in job.owners:
                self._apply_state(sender, job, row.state, is_recent=is_recent)

    def _apply_state(
        self, sender: PeerAddress, job: Job, state: str, *, is_recent: bool
    ) -> None:
        match state:
            case OwnedState.RELEASED if is_recent:
                self._release(job, sender.incarnation, "released")
            case OwnedState.COMPLETED | OwnedState.FAILED | OwnedState.CANCELLED:
                del job.owners[sender.incarnation]
                self.actions.finish(job, JobResult(state))

    def _inquire(self) -> None:
        inquiries: dict[str, list[str]] = {}
        addresses: dict[str, PeerAddress] = {}
        for job_id, job in self.joined.items():
            for incarnation, address in job.owners.items():
                addresses[incarnation] = address
                inquiries.setdefault(incarnation, []).append(job_id)
        for incarnation, job_ids in inquiries.items():
            inquiry = OwnerInquiry(job_ids, self.clock())
            self.send(addresses[incarnation], inquiry)
        links = {
            link
            for job_id in self.joined
            for link in self.peers.list_unsettled_agents(job_id)
        }
        for link in links:
            self.send(PeerAddress("", link), ReportRequest())

    # Messages of other entries.

    def deliver(self, sender: PeerAddress, message: OwnershipMessage) -> None:
        """Handles a message of another entry."""
        self.peers.record_contact(sender)
        match message:
            case OpenJobs():
                self._handle_announcement(sender, message)
            case OwnerInquiry():
                states = [
                    JobState(job_id, self._describe_to(sender, job_id))
                    for job_id in message.job_ids
                ]
                self.send(sender, OwnerReply(states, message.sent_at))
            case OwnerReply():
                self._handle_reply(sender, message)
            case JobWithdrawal():
                self._handle_withdrawal(sender, message)

    def _handle_announcement(self, sender: PeerAddress, message: OpenJobs) -> None:
        self.peers.record(sender, message)
        peer = self.peers.peers[sender.incarnation]
        for job_id, announced in peer.jobs.items():
            job = self.jobs.get(job_id)
            if job is None or job.owners or not announced.is_owned:
                continue
            own = (job.generation, self.incarnation)
            if must_yield(own, (announced.generation, sender.incarnation)):
                self.actions.stop(job)
                self.join(job, [peer])

    def _describe_to(self, sender: PeerAddress, job_id: str) -> OwnedState:
        job = self.jobs.get(job_id)
        if job is not None and self._goes_before(sender, job):
            job.followers[sender.incarnation] = sender
            job.followed_until = self.clock() + FOLLOWER_EXPIRY_S
            self.followed[job_id] = job
            return OwnedState.JOINED if job.owners else OwnedState.OPEN
        if self.assignments.has_job(job_id):
            return OwnedState.ENDING
        ended = self.ended_jobs.get(job_id)
        if job is None and ended is not None and ended.result is not None:
            return OwnedState(ended.result)
        return OwnedState.RELEASED

    def _goes_before(self, sender: PeerAddress, job: Job) -> bool:
        """Returns whether another entry waits for this one, and not vice versa."""
        is_mutual = sender.incarnation in job.owners
        return not is_mutual or self.incarnation > sender.incarnation

    def _handle_withdrawal(self, sender: PeerAddress, message: JobWithdrawal) -> None:
        if message.is_cancelled:
            self.actions.cancel(message.job_id)
            return
        job = self.followed.get(message.job_id)
        if job is not None and sender.incarnation in job.followers:
            del job.followers[sender.incarnation]
            self._end_if_abandoned(job)

    # Jobs of this entry.

    def handle_end(self, job: Job) -> None:
        """Informs the owners of a job, or the entries that wait for it, of its end."""
        job_id = job.spec.job_id
        self.joined.pop(job_id, None)
        self.followed.pop(job_id, None)
        is_cancelled = job.result is JobResult.CANCELLED
        for address in job.owners.values():
            self.send(address, JobWithdrawal(job_id, is_cancelled))
        if job.result is None:
            # Its runs may not have ended; the next inquiry is answered when they have.
            return
        for address in job.followers.values():
            state = OwnedState(job.result)
            self.send(address, OwnerReply([JobState(job_id, state)], 0.0))

    def _end_if_abandoned(self, job: Job) -> None:
        if not job.followers:
            self.followed.pop(job.spec.job_id, None)
            if not job.waiters and not job.has_ended:
                self.actions.leave(job)

    def advance(self, *, is_connected: bool) -> None:
        """Sends what is due and handles the silence of other entries.

        Args:
            is_connected: Whether this entry receives messages of agents.
        """
        now = self.clock()
        elapsed_s, self.advanced_at = now - self.advanced_at, now
        is_paused = elapsed_s > MAX_TICK_S
        self.peers.advance(elapsed_s, is_in_touch=is_connected and not is_paused)
        for job in list(self.joined.values()):
            for incarnation in list(job.owners):
                if not self.peers.may_run(incarnation, job.spec.job_id):
                    # It may have run the job, also if it has not announced it.
                    job.has_run = True
                    self._release(job, incarnation, "silent")
        if self.joined and now >= self.next_inquiry_at:
            self.next_inquiry_at = now + INQUIRY_INTERVAL_S
            self._inquire()
        for job in list(self.followed.values()):
            if now >= job.followed_until and not is_paused:
                job.followers.clear()
                self._end_if_abandoned(job)
