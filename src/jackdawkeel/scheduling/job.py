"""The state of a job at its entry, from submission to answer."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

from ..policy.waiting import can_be_in_time
from ..policy.waiting import rank_job


if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from ..errors import DispatchError
    from ..messages import PeerAddress
    from ..policy.waiting import JobTiming
    from .resources import Resources
    from .specification import JobSpec
    from .specification import Queue

    # Builds the name under which a target knows a task from job id, step and index.
    TaskNamer = Callable[[str, int, int], str]


class JobResult(StrEnum):
    """Result of a job, as its caller sees it."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskPhase(StrEnum):
    """Phase of a task."""

    BLOCKED = "blocked"
    READY = "ready"
    ASSIGNED = "ordered"
    DONE = "done"


@dataclass(slots=True, eq=False)
class Task:
    """A task of a job.

    Attributes:
        name: Name that is unique among all jobs.
        step: Index of its step.
        phase: Its phase.
        attempts: Number of assignments so far.
        failures: Number of failed runs.
        lost_runs: Number of runs that agents reported as lost.
        avoided: Agents that reported a run of it as failed or lost.
    """

    name: str
    step: int
    phase: TaskPhase = TaskPhase.BLOCKED
    attempts: int = 0
    failures: int = 0
    lost_runs: int = 0
    avoided: frozenset[str] = frozenset()


@dataclass(slots=True, eq=False)
class OpenAssignment:
    """An assignment whose task may be running.

    Attributes:
        number: Identifies the assignment.
        job: Its job.
        task: Its task.
        agent: Incarnation of the agent that received it.
        demand: Resources that it claims.
        sent_at: When it was last sent, in seconds.
        expected_s: Expected run time of its task.
        is_cancelled: Whether a stop was sent for it.
    """

    number: int
    job: Job
    task: Task
    agent: str
    demand: Resources
    sent_at: float
    expected_s: float
    is_cancelled: bool = False


@dataclass(slots=True, eq=False)
class Job:
    """A job that this entry has accepted.

    Attributes:
        spec: The job as its caller submitted it.
        queue: Its queue at the time of submission.
        timing: Priority and times that decide its rank among waiting jobs; a job that
            another entry has released counts as arrived then.
        received_at: When its request was read, in clock seconds.
        tasks: All tasks, by step.
        waiters: One future for each request that waits for the answer.
        open_assignments: Its assignments whose tasks may be running, by number.
        has_run: Whether a run of any of its tasks may have ended.
        run_logs: Logarithms of observed by estimated run time of the tasks that have
            succeeded, by step and kind of target.
        is_late: Whether it was admitted, or has begun, as a late job, which gets only
            capacity that jobs in time leave.
        is_promised: Whether it was predicted to be in time when it was admitted.
        held: Ready tasks that the last pass of the scheduler left waiting although a
            target had capacity.
        error: Why it ended without a result, or None.
        result: Its result, or None.
        owners: Other entries that may run its tasks, by incarnation; none starts here
            before there are none.
        generation: Number of entries that have owned it one after the other.
        followers: Other entries whose callers wait for its result, by incarnation.
        followed_until: Until when they count as waiting, in clock seconds.
    """

    spec: JobSpec
    queue: Queue
    timing: JobTiming
    received_at: float
    tasks: list[list[Task]]
    waiters: list[asyncio.Future[None]] = field(default_factory=list)
    open_assignments: dict[int, OpenAssignment] = field(default_factory=dict)
    has_run: bool = False
    run_logs: dict[int, dict[str, list[float]]] = field(default_factory=dict)
    is_late: bool = False
    is_promised: bool = False
    held: int = 0
    error: DispatchError | None = None
    result: JobResult | None = None
    owners: dict[str, PeerAddress] = field(default_factory=dict)
    generation: int = 1
    followers: dict[str, PeerAddress] = field(default_factory=dict)
    followed_until: float = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether any of its tasks may have run.

        An assignment that an agent has returned unstarted can never run.
        """
        return self.has_run or bool(self.open_assignments)

    @property
    def has_ended(self) -> bool:
        """Whether the answer to its callers is known."""
        return self.error is not None or self.result is not None

    def rank(self, now: float) -> tuple[bool, int, float]:
        """Returns its sort key among waiting jobs; the smallest is served first."""
        return rank_job(
            self.timing, now, has_begun=self.has_begun, is_late=self.is_late
        )

    def can_be_in_time(self, now: float) -> bool:
        """Returns whether it is served with the jobs that can be in time."""
        return can_be_in_time(
            self.timing, now, has_begun=self.has_begun, is_late=self.is_late
        )

    def work_s(self) -> float:
        """Returns the expected processor seconds of all its tasks."""
        expected_s = self.timing.expected_s
        chain_s = longest_chain_s(self.spec)
        ratio = expected_s / chain_s if chain_s > 0 else 1.0
        return ratio * sum(
            step.count * step.demand.cpu_millis / 1000 * step.estimate_ms / 1000
            for step in self.spec.steps
        )

    def ready_tasks(self, step: int) -> list[Task]:
        """Returns the tasks of a step that are ready to be assigned."""
        return [task for task in self.tasks[step] if task.phase is TaskPhase.READY]

    def has_ready_tasks(self) -> bool:
        """Returns whether any task is ready to be assigned."""
        return any(
            task.phase is TaskPhase.READY for tasks in self.tasks for task in tasks
        )

    def lacks_capacity(self) -> bool:
        """Returns whether a ready task is not only held for a better target."""
        ready = sum(
            task.phase is TaskPhase.READY for tasks in self.tasks for task in tasks
        )
        return ready > self.held

    def is_step_done(self, step: int) -> bool:
        """Returns whether all tasks of a step have succeeded."""
        return all(task.phase is TaskPhase.DONE for task in self.tasks[step])

    def unblock_steps(self) -> None:
        """Makes tasks ready once all steps that they depend on have succeeded."""
        for index, step in enumerate(self.spec.steps):
            tasks = self.tasks[index]
            if tasks[0].phase is not TaskPhase.BLOCKED:
                continue
            if all(self.is_step_done(earlier) for earlier in step.after):
                for task in tasks:
                    task.phase = TaskPhase.READY

    def drop_tasks(self) -> None:
        """Releases the state of the tasks of a job that has ended."""
        self.tasks = [[] for _ in self.spec.steps]

    def waiting_cores(self) -> float:
        """Returns the processors that all ready tasks claim together."""
        return sum(
            len(self.ready_tasks(index)) * step.demand.cpu_millis / 1000
            for index, step in enumerate(self.spec.steps)
        )


def make_tasks(spec: JobSpec, format_task_name: TaskNamer) -> list[list[Task]]:
    """Returns the tasks of a job, by step."""
    return [
        [
            Task(format_task_name(spec.job_id, number, index), number)
            for index in range(step.count)
        ]
        for number, step in enumerate(spec.steps)
    ]


def longest_chain_s(spec: JobSpec) -> float:
    """Returns the expected run time of the longest chain of steps, in seconds."""
    ends: list[float] = []
    for step in spec.steps:
        begin = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begin + step.estimate_ms / 1000)
    return max(ends, default=0.0)
