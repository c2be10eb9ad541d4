"""Messages between entries that schedule jobs and agents that run their tasks.

An assignment is one attempt to run a task on the target of an agent. The entry that
sent it is its owner.
"""

from __future__ import annotations

from enum import IntEnum
from enum import StrEnum

import msgspec

from ..scheduling.resources import Resources
from .address import PeerAddress
from .ownership import KnownEntry


class TaskStatus(StrEnum):
    """How an assignment has ended, as its agent reports it."""

    DONE = "done"
    FAILED = "failed"
    LOST = "lost"
    """It was running and ended for another reason than a failure of its own."""
    NOT_STARTED = "not_started"
    """It has not run under this assignment and never will."""
    REJECTED = "rejected"
    """The target rejects it permanently, or the agent refuses its task because it
    crashes targets; it has not run."""


class CrashState(IntEnum):
    """How certain a crash of a target is; a higher value replaces a lower one."""

    SUSPECTED = 0
    """The target does not reply."""
    CONFIRMED = 1
    """It refuses connections, or another incarnation replies."""
    WITHDRAWN = 2
    """The incarnation has replied again."""


class CrashedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that may have been at work on a target when it crashed.

    Attributes:
        task: Name of its task.
        queue: Queue of its job.
        age_ms: Time since its start, in milliseconds.
        is_suspect: Whether it may have caused the crash.
        is_confirmed: Whether the target had confirmed its start.
    """

    task: str
    queue: str
    age_ms: int
    is_suspect: bool
    is_confirmed: bool


class TargetCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a target, and the tasks that may have been at work on it.

    Attributes:
        agent: Incarnation of the target's agent.
        number: Number of the crash at this agent; the same incarnation of a target may
            seem to have crashed several times.
        state: A value of ``CrashState``.
        age_ms: Time since the crash, in milliseconds.
        runs: The runs that may have been at work on it.
    """

    agent: str
    number: int
    state: int
    age_ms: int
    runs: list[CrashedRun]


class CrashExchange(msgspec.Struct, frozen=True, array_like=True):
    """Crashes that the recipient has not acknowledged.

    Attributes:
        crashes: The crashes.
        through: Number of the sender's records through which they are complete.
        received_through: Number of the recipient's records through which the sender has
            received them.
    """

    crashes: list[TargetCrash]
    through: int
    received_through: int


class TaskAssignment(msgspec.Struct, frozen=True, array_like=True):
    """One attempt to run a task on the agent's target.

    Attributes:
        number: Identifies the assignment; an entry never reuses a number.
        task: Name of the task, unique among all jobs.
        attempt: Number of this attempt, from 1.
        demand: Resources that the task claims.
        start_within_ms: How long the assignment may wait for free capacity, in
            milliseconds.
        expected_ms: Expected run time in milliseconds; 0 if unknown.
        may_move: Whether the agent may end the run for lack of progress and return the
            task to the entry.
        trial_ms: How long its run is on trial because it may have crashed a target, in
            milliseconds; 0 if it is no suspect.
    """

    number: int
    task: str
    attempt: int
    demand: Resources
    start_within_ms: int
    expected_ms: int
    may_move: bool
    trial_ms: int = 0


class JobAssignments(msgspec.Struct, frozen=True, array_like=True):
    """Assignments for tasks of one job.

    Attributes:
        job_id: Id of the job, chosen by its caller.
        queue: Queue of the job, for the log.
        priority: Priority of the queue; 0 is the highest.
        payload: Payload that every task of the job receives.
        assignments: One assignment for each task.
    """

    job_id: str
    queue: str
    priority: int
    payload: str
    assignments: list[TaskAssignment]


class StartTasks(msgspec.Struct, frozen=True, array_like=True, tag=40):
    """Sent by an entry to assign tasks to an agent.

    Attributes:
        echo: ``sent_at`` of the agent's last report that the entry received; shows the
            agent that the assignments are recent.
        jobs: The assignments, by job.
    """

    echo: float
    jobs: list[JobAssignments]


class StopTasks(msgspec.Struct, frozen=True, array_like=True, tag=41):
    """Sent by an entry to an agent to end assignments."""

    numbers: list[int]


class OwnerBeat(msgspec.Struct, frozen=True, array_like=True, tag=42):
    """Sent by an entry to an agent in reply to each full report.

    Attributes:
        echo: ``sent_at`` of that report; renews the entry's lease at the agent.
        updates_through: Sequence number of the last update that the entry processed.
        evacuated_zones: Availability zones that operators have evacuated.
        evacuation_revision: Store revision of that list; 0 if unknown.
        entries: Other entries known to the sender; empty if the list was sent before.
        median_slowness: Median of the slowness that agents report.
        change_interval_s: Minimum time between two reports of changed free capacity, in
            seconds.
        crashes: Crashes that the agent has not acknowledged.
        replica_links: Link addresses of the agents with a replica of the sender's open
            runs; None if they were sent before.
    """

    echo: float
    updates_through: int
    evacuated_zones: list[str]
    evacuation_revision: int
    entries: list[PeerAddress]
    median_slowness: float
    change_interval_s: float = 0.0
    crashes: CrashExchange | None = None
    replica_links: list[str] | None = None


class TaskUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The end of one assignment.

    Attributes:
        sequence: Number of the update, counted from 1 for each entry.
        number: Number of the assignment.
        status: A value of ``TaskStatus``.
        attempt: Attempt number under which the target ran the task.
        run_ms: Time since the start of the run in milliseconds; 0 if it did not run or
            its run time is unknown.
    """

    sequence: int
    number: int
    status: str
    attempt: int
    run_ms: float


class TargetView(msgspec.Struct, frozen=True, array_like=True):
    """State of an agent's target, as the agent reports it.

    Attributes:
        node: Name of the agent's VM.
        service: Service of the target; empty if not known yet.
        availability_zone: Availability zone of the target.
        labels: Labels of the target; one of them is its rack.
        capacity: Total resources of the target.
        accepting: Whether it accepts new tasks.
    """

    node: str
    service: str
    availability_zone: str
    labels: list[str]
    capacity: Resources
    accepting: bool


class AgentReport(msgspec.Struct, frozen=True, array_like=True, tag=43):
    """Sent by an agent to an entry.

    Attributes:
        sent_at: The agent's clock, in seconds.
        target: State of its target.
        free: Resources that no assignment claims; negative if assignments wait.
        assignments_through: Highest assignment number received from this entry.
        updates: Status changes of this entry's assignments that the entry has not
            acknowledged.
        is_full: Whether ``open_assignments`` is set and an ``OwnerBeat`` is expected in
            reply.
        open_assignments: Numbers of this entry's assignments that have not ended.
        slowness: Observed divided by expected run time on the target; 1 if as expected.
        recent_ended: Number of runs on the target that ended in the last seconds.
        recent_failed: Number of those runs that failed or made no progress.
        is_last: Whether the agent sends no further reports, because it reports to other
            entries and has no open assignments of this one.
        crashes: Crashes that the entry has not acknowledged.
        has_trial: Whether a run that may have crashed a target is on trial.
        entries: The other entries that the agent has messages of; only in full reports,
            until the recipient, which has started or was cut off, replies to one.
    """

    sent_at: float
    target: TargetView
    free: Resources
    assignments_through: int
    updates: list[TaskUpdate]
    is_full: bool
    open_assignments: list[int]
    slowness: float
    recent_ended: int
    recent_failed: int
    is_last: bool = False
    crashes: CrashExchange | None = None
    has_trial: bool = False
    entries: list[KnownEntry] = []
