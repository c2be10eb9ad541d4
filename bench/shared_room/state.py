"""State of the model: jobs, assignments, entries and agents."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from jackdawkeel.policy.waiting import rank_job
from jackdawkeel.scheduling.open_assignments import ClaimedCapacity


if TYPE_CHECKING:
    from jackdawkeel.policy.sharing import QueueLoad
    from jackdawkeel.policy.waiting import JobTiming
    from jackdawkeel.scheduling.resources import Resources
    from jackdawkeel.scheduling.specification import StepSpec


@dataclass(slots=True, eq=False)
class ModelJob:
    """A job of one step.

    Attributes:
        entry: Entry that received the job.
        timing: Times and priority that determine its rank and when it is refused.
        step: Number and resource demand of its tasks.
        run_s: Run time of each task in seconds.
        ready: Indexes of the tasks without an assignment.
        open_tasks: Number of tasks that have not ended.
        has_begun: Whether any task was assigned to free capacity or has started; an
            assignment that waits at an agent does not count.
        ended_at: Time at which the entry received the last result, in seconds; 0 while
            the job is open, infinity if it was refused.
        refused_at: Time at which it was refused, in seconds; 0 if it was not.
        queue: Name of its queue.
        width: Its number of tasks, divided by the mean of its queue.
        is_late: Whether it was admitted, or has begun, as a late job.
    """

    entry: ModelEntry
    timing: JobTiming
    step: StepSpec
    run_s: list[float]
    ready: list[int]
    open_tasks: int
    has_begun: bool = False
    ended_at: float = 0.0
    refused_at: float = 0.0
    queue: str = ""
    width: float = 1.0
    is_late: bool = False

    def rank(self, now: float) -> tuple[bool, int, float]:
        """Returns its sort key among waiting jobs."""
        return rank_job(
            self.timing, now, has_begun=self.has_begun, is_late=self.is_late
        )

    def waiting_cores(self) -> float:
        """Returns the processors that its tasks without assignment claim."""
        return len(self.ready) * self.step.demand.cpu_millis / 1000

    def work_s(self) -> float:
        """Returns the expected core-seconds of these tasks."""
        return self.waiting_cores() * self.timing.expected_s


@dataclass(slots=True, eq=False)
class ModelAssignment:
    """An assignment of one task to an agent.

    Attributes:
        job: Job of the task.
        task: Index of the task.
        agent: Agent that receives the assignment.
        sent_at: Time of sending in seconds.
        start_by: Time until which it waits for capacity at the agent, in seconds.
        arrived_at: Time of arrival at the agent in seconds.
        is_waiting: Whether it waits at the agent.
    """

    job: ModelJob
    task: int
    agent: ModelAgent
    sent_at: float
    start_by: float
    arrived_at: float = 0.0
    is_waiting: bool = False


@dataclass(slots=True, eq=False)
class ModelView:
    """An agent as last reported to an entry.

    Attributes:
        agent: The agent.
        free: Free resources of its target by the last report.
        unconfirmed: Assignments sent that the last report cannot include yet.
        waiting_count: Number of open assignments that were sent to wait at the agent.
    """

    agent: ModelAgent
    free: Resources
    unconfirmed: list[ModelAssignment] = field(default_factory=list)
    waiting_count: int = 0


@dataclass(slots=True, eq=False)
class ModelEntry:
    """An entry.

    Attributes:
        name: Name of the entry.
        zone: Availability zone.
        share: Share of all callers that send their jobs to it.
        views: Agents as last reported, by name.
        waiting: Jobs with tasks that have no assignment.
        unstarted: Jobs that have not begun; those that have are removed at each tick.
        claimed: Capacity that its running tasks claim.
        used_s: Capacity that its queues used recently, in core-seconds.
        used_at: When that was last reduced, in seconds.
        loads: Recent work of its queues.
        loads_at: When that was last reduced, in seconds.
        short_since: Since when jobs have been waiting without a break, in seconds.
        last_pass_at: Time of the last assignment pass in seconds.
        is_pass_scheduled: Whether an assignment pass is scheduled.
    """

    name: str
    zone: str
    share: float
    views: dict[str, ModelView] = field(default_factory=dict)
    waiting: list[ModelJob] = field(default_factory=list)
    unstarted: list[ModelJob] = field(default_factory=list)
    claimed: ClaimedCapacity = field(default_factory=ClaimedCapacity)
    used_s: dict[str, float] = field(default_factory=dict)
    used_at: float = 0.0
    loads: dict[str, QueueLoad] = field(default_factory=dict)
    loads_at: float = 0.0
    short_since: float = math.inf
    last_pass_at: float = -1.0
    is_pass_scheduled: bool = False


@dataclass(slots=True, eq=False)
class ModelAgent:
    """An agent and its target.

    Attributes:
        name: Name of the agent.
        zone: Availability zone.
        capacity: All resources of the target.
        free: Free resources of the target.
        waiting: Assignments that wait for capacity.
        reported_free: Free resources by the last report, by entry.
        labels: Labels of the target; one is its rack.
        slowness: Run time of a task on the target, relative to the typical one.
        entries: Entries that the agent reports to.
        last_report_at: Time of the last report sent by a tick, in seconds, by entry.
        full_report_at: The same of the last report that a fixed interval required.
    """

    name: str
    zone: str
    capacity: Resources
    free: Resources
    labels: frozenset[str] = frozenset()
    slowness: float = 1.0
    entries: list[ModelEntry] = field(default_factory=list)
    waiting: list[ModelAssignment] = field(default_factory=list)
    reported_free: dict[str, Resources] = field(default_factory=dict)
    last_report_at: dict[str, float] = field(default_factory=dict)
    full_report_at: dict[str, float] = field(default_factory=dict)
