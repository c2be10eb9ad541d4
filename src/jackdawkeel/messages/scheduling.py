"""Messages between entries that schedule jobs and agents that run their tasks."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from ..scheduling.resources import Resources
from .address import PeerAddress


class TaskStatus(StrEnum):
    """What an agent says of one order."""

    STARTED = "started"
    DONE = "done"
    FAILED = "failed"
    LOST = "lost"
    """It ran, and was ended by something else than its own failure."""
    NOT_STARTED = "not_started"
    """It has not run under this order and never will."""
    REJECTED = "rejected"
    """The target refuses it for good; it has not run."""


class TaskAssignment(msgspec.Struct, frozen=True, array_like=True):
    """One attempt to run a task on the agent's target.

    Attributes:
        number: Names the order; an entry never uses a number twice.
        task: Name of the task, unique among all jobs.
        attempt: Number of this attempt, from 1.
        demand: What the task claims.
        start_within_ms: How long the order may wait for room, in milliseconds.
        expected_ms: Expected run time in milliseconds; 0 if unknown.
        may_move: Whether the agent may hand it back for lack of progress.
    """

    number: int
    task: str
    attempt: int
    demand: Resources
    start_within_ms: int
    expected_ms: int
    may_move: bool


class JobAssignments(msgspec.Struct, frozen=True, array_like=True):
    """Orders for tasks of one job.

    Attributes:
        job_id: The job, as its caller named it.
        queue: Queue of the job, for the log.
        priority: Priority of the queue; 0 goes first.
        payload: What every task of the job is given.
        assignments: One order a task.
    """

    job_id: str
    queue: str
    priority: int
    payload: str
    assignments: list[TaskAssignment]


class StartTasks(msgspec.Struct, frozen=True, array_like=True, tag=40):
    """From an entry to an agent.

    Attributes:
        echo: ``sent_at`` of the agent's last report that the entry has; proves to
            the agent that the order is recent.
        jobs: The orders, by job.
    """

    echo: float
    jobs: list[JobAssignments]


class StopTasks(msgspec.Struct, frozen=True, array_like=True, tag=41):
    """From an entry to an agent: these orders must not run any longer."""

    numbers: list[int]


class OwnerBeat(msgspec.Struct, frozen=True, array_like=True, tag=42):
    """From an entry to an agent, in answer to each full report.

    Attributes:
        echo: ``sent_at`` of that report; it renews the entry's lease at the agent.
        updates_through: The last update that the entry has taken.
        evacuated_zones: Availability zones that operators have taken out.
        evacuation_revision: Store revision of that list; 0 if it is not known.
        entries: Other entries that the sender knows.
        median_slowness: Median of the slowness that agents report.
        change_interval_s: Least time between two reports of changed room, in seconds.
    """

    echo: float
    updates_through: int
    evacuated_zones: list[str]
    evacuation_revision: int
    entries: list[PeerAddress]
    median_slowness: float
    change_interval_s: float = 0.0


class TaskUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A change of one order.

    Attributes:
        sequence: Number of the update, per entry, from 1.
        number: The order.
        status: A value of ``TaskStatus``.
        attempt: The attempt under which the target ran it.
        run_ms: Time since its start in milliseconds; 0 if it did not run.
    """

    sequence: int
    number: int
    status: str
    attempt: int
    run_ms: float


class TargetView(msgspec.Struct, frozen=True, array_like=True):
    """What an agent says of its target.

    Attributes:
        node: Name of the agent's VM.
        service: Service that the target serves; empty if none is known yet.
        availability_zone: Where it runs.
        labels: Its labels; one of them is its rack.
        capacity: All that it offers.
        accepting: Whether it takes new tasks.
    """

    node: str
    service: str
    availability_zone: str
    labels: list[str]
    capacity: Resources
    accepting: bool


class AgentReport(msgspec.Struct, frozen=True, array_like=True, tag=43):
    """From an agent to an entry.

    Attributes:
        sent_at: The agent's clock, in seconds.
        target: Its target.
        free: What no order claims; negative if orders wait.
        assignments_through: The highest order number it has had from this entry.
        updates: Changes of this entry's orders that the entry has not confirmed.
        is_full: Whether ``open_assignments`` is given and a beat is expected.
        open_assignments: This entry's orders that have not ended.
        slowness: Observed over expected run time of the target; 1 if as expected.
        recent_ended: Runs on the target that ended in the last seconds.
        recent_failed: Those of them that it failed or did not get on with.
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
