"""A job at its entry, from submission to answer."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from ..errors import DispatchError
    from ..policy.waiting import JobTiming
    from .resources import Resources
    from .specification import JobSpec
    from .specification import Queue
    from .specification import StepSpec

    # Names a task by its job, step and index, as its target is told.
    TaskNamer = Callable[[str, int, int], str]


class JobResult(StrEnum):
    """How a job ended for its caller."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskPhase(StrEnum):
    """How far a task is."""

    BLOCKED = "blocked"
    READY = "ready"
    ORDERED = "ordered"
    DONE = "done"


@dataclass(slots=True, eq=False)
class Task:
    """A task of a job.

    Attributes:
        name: Unique among all jobs.
        step: Index of its step.
        phase: How far it is.
        attempts: Orders given so far.
        failures: Runs that failed.
        moves: Runs that were lost.
        avoided: Agents where it failed or was lost.
    """

    name: str
    step: int
    phase: TaskPhase = TaskPhase.BLOCKED
    attempts: int = 0
    failures: int = 0
    moves: int = 0
    avoided: frozenset[str] = frozenset()


@dataclass(slots=True, eq=False)
class OpenOrder:
    """An order that may run.

    Attributes:
        number: Names the order.
        job: The job.
        task: The task.
        agent: Incarnation of the agent that has it.
        demand: What it claims.
        sent_at: When it was last sent, in seconds.
        is_unwanted: Whether it was told to stop.
    """

    number: int
    job: Job
    task: Task
    agent: str
    demand: Resources
    sent_at: float
    is_unwanted: bool = False


@dataclass(slots=True, eq=False)
class Job:
    """A job that has been accepted by this entry.

    Attributes:
        spec: What the caller submitted.
        queue: Its queue at that time.
        timing: What its order depends on.
        tasks: All tasks, by step.
        waiters: One future for each request that waits for the answer.
        open_orders: Orders that may run.
        has_begun: Whether any of its tasks may have run.
        error: Why it has no result, once it has ended.
        result: How it ended, or None.
    """

    spec: JobSpec
    queue: Queue
    timing: JobTiming
    tasks: list[list[Task]]
    waiters: list[asyncio.Future[None]] = field(default_factory=list)
    open_orders: dict[int, OpenOrder] = field(default_factory=dict)
    has_begun: bool = False
    error: DispatchError | None = None
    result: JobResult | None = None

    @property
    def has_ended(self) -> bool:
        """Whether its answer is known."""
        return self.error is not None or self.result is not None

    def ready_tasks(self, step: int) -> list[Task]:
        """Returns the tasks of a step that wait for a target."""
        return [task for task in self.tasks[step] if task.phase is TaskPhase.READY]

    def has_ready_tasks(self) -> bool:
        """Returns whether any task waits for a target."""
        return any(
            task.phase is TaskPhase.READY for tasks in self.tasks for task in tasks
        )

    def is_step_done(self, step: int) -> bool:
        """Returns whether all tasks of a step have ended well."""
        return all(task.phase is TaskPhase.DONE for task in self.tasks[step])

    def unblock_steps(self) -> None:
        """Makes the tasks ready whose earlier steps have all ended well."""
        for index, step in enumerate(self.spec.steps):
            tasks = self.tasks[index]
            if tasks[0].phase is not TaskPhase.BLOCKED:
                continue
            if all(self.is_step_done(earlier) for earlier in step.after):
                for task in tasks:
                    task.phase = TaskPhase.READY

    def waiting_work_s(self) -> float:
        """Returns the processor seconds that wait for a target, as expected."""
        return sum(
            len(self.ready_tasks(index)) * work_s(step)
            for index, step in enumerate(self.spec.steps)
        )


def work_s(step: StepSpec) -> float:
    """Returns the expected processor seconds of one task of a step."""
    return step.demand.cpu_millis / 1000 * step.estimate_ms / 1000


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
