"""Messages by which entries agree on which of them owns a job.

Agents keep replicas of what entries know about their runs, for entries that restart.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from .address import PeerAddress


class OwnedState(StrEnum):
    """State of a job at the entry that is asked about it."""

    OPEN = "open"
    """The entry owns it; the inquiring entry counts as a waiting caller."""
    JOINED = "joined"
    """The entry waits for another one that owns it, and is the next to own it."""
    ENDING = "ending"
    """It has ended without a result, and some of its runs may not have ended."""
    RELEASED = "released"
    """The entry runs nothing of it and never will, unless it is submitted again."""
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class OpenJob(msgspec.Struct, frozen=True, array_like=True):
    """A job whose callers wait at the sender, or whose runs may not have ended.

    Attributes:
        job_id: Id of the job.
        generation: Number of entries that have owned it one after the other; 0 if it
            has ended.
        is_owned: Whether the sender owns it: it has not ended, and does not wait for
            another entry.
    """

    job_id: str
    generation: int
    is_owned: bool


class JobRuns(msgspec.Struct, frozen=True, array_like=True):
    """A job with tasks that may be running.

    Attributes:
        job_id: Id of the job.
        generation: Number of entries that have owned it one after the other.
        agents: Link addresses of the agents that may run its tasks.
    """

    job_id: str
    generation: int
    agents: list[str]


class SilentEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry that the sender no longer hears, and whose runs may not have ended.

    Attributes:
        address: Address of its process.
        jobs: The jobs of its last announcement.
        interval_s: The time between two of its announcements, in seconds.
        silent_s: Time since its last message, in seconds.
        runs: Jobs of which the sender has received replicas from agents.
    """

    address: PeerAddress
    jobs: list[OpenJob]
    interval_s: float
    silent_s: float
    runs: list[JobRuns] = []


class OpenJobs(msgspec.Struct, frozen=True, array_like=True, tag=44):
    """Sent by an entry to all others at intervals.

    Attributes:
        jobs: The sender's jobs, the oldest first.
        interval_s: Time until the next announcement, in seconds.
        has_silent_agent: Whether runs of an entry that has failed may go on at an agent
            that reports to the sender.
        silent_entries: What the recipient may have missed; only for some time after it
            has started or has been silent itself.
    """

    jobs: list[OpenJob]
    interval_s: float
    has_silent_agent: bool = False
    silent_entries: list[SilentEntry] = []


class OwnerInquiry(msgspec.Struct, frozen=True, array_like=True, tag=45):
    """Sent by an entry whose callers wait for jobs that the recipient may run.

    Attributes:
        job_ids: Ids of the jobs.
        sent_at: The sender's clock, in seconds.
    """

    job_ids: list[str]
    sent_at: float


class JobState(msgspec.Struct, frozen=True, array_like=True):
    """The state of a job, a value of ``OwnedState``."""

    job_id: str
    state: str


class OwnerReply(msgspec.Struct, frozen=True, array_like=True, tag=46):
    """Reply to an ``OwnerInquiry``; also sent when such a job ends.

    Attributes:
        states: States of the jobs.
        echo: ``sent_at`` of the inquiry; 0 if there is none.
    """

    states: list[JobState]
    echo: float


class JobWithdrawal(msgspec.Struct, frozen=True, array_like=True, tag=47):
    """Sent by an entry that no longer waits for a job of the recipient.

    Attributes:
        job_id: Id of the job.
        is_cancelled: Whether a caller has cancelled the job.
    """

    job_id: str
    is_cancelled: bool


class OpenRuns(msgspec.Struct, frozen=True, array_like=True, tag=48):
    """Sent by an entry to the agents that keep a replica of its open runs.

    Attributes:
        jobs: Its jobs with tasks that may be running, the oldest first.
        is_complete: Whether these are all of them; otherwise they were assigned to
            agents since the last message.
        interval_s: Time until the next complete message, in seconds.
        replica_links: Link addresses of the agents that keep a replica.
    """

    jobs: list[JobRuns]
    is_complete: bool
    interval_s: float
    replica_links: list[str]


class ReportRequest(msgspec.Struct, frozen=True, array_like=True, tag=49):
    """Sent by an entry to an agent that it has to receive a report of.

    The agent may be about to report to it, or report to other entries only.
    """


class KnownEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry, as one of the agents that report to it knows it.

    Attributes:
        address: Address of its process.
        silent_s: Time since its last message, in seconds.
        replica_links: Link addresses of the agents with a replica of its open runs.
        jobs: The replica; None if the sender has none.
        interval_s: Time between two complete messages about its runs, in seconds.
    """

    address: PeerAddress
    silent_s: float
    replica_links: list[str]
    jobs: list[JobRuns] | None
    interval_s: float
