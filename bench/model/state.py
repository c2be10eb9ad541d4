"""State of the model: agents, entries, jobs, tasks and statistics."""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from bench.workload import JobArrival
from jackdawkeel.policy.candidates import Candidate
from jackdawkeel.policy.ejection import EjectionState
from jackdawkeel.policy.placement import choose_executor
from jackdawkeel.policy.placement import choose_home
from jackdawkeel.policy.retry_budget import HEDGE_RATIO
from jackdawkeel.policy.retry_budget import RetryBudget
from jackdawkeel.policy.run_time import RunTime


HomeChoice = Callable[[Sequence[Candidate], str, random.Random], str | None]
ExecutorChoice = Callable[
    [Sequence[Candidate], str, str, int, random.Random, int], str | None
]


SIZE_WEIGHT_S = 0.1
QueueOrder = Callable[[JobArrival, int], float]


def default_order(arrival: JobArrival, _index: int) -> float:
    """Ranks tasks by the arrival of their job plus a delay for each of its tasks."""
    return arrival.at_s + SIZE_WEIGHT_S * len(arrival.run_s)


@dataclass(frozen=True, slots=True)
class PolicyVariant:
    """The policies of a run.

    Attributes:
        home: Chooses the home of a job.
        executor: Chooses the executor of a task.
        queue_allowance: Number of tasks that may queue at a target.
        reserved: Slots of each target that tasks of larger jobs leave free.
        reserve_below: Mean share of busy slots above which no slots are reserved.
        order: Rank of a task in queues; the lowest runs first.
        ejects: Whether failing agents are ejected.
        hedges: Whether slow tasks of idempotent jobs get a second copy.
        refuses: Whether jobs are refused early if the expected wait is too long.
        returns_unstarted: Whether targets of a zone that is taken out of service
            return unstarted tasks.
    """

    home: HomeChoice = choose_home
    executor: ExecutorChoice = choose_executor
    queue_allowance: int = 1
    reserved: int = 0
    reserve_below: float = 1.0
    order: QueueOrder = default_order
    ejects: bool = True
    hedges: bool = False
    refuses: bool = False
    returns_unstarted: bool = True


@dataclass(slots=True)
class Job:
    """A job and its progress.

    Attributes:
        arrival: Arrival time and tasks of the job.
        home: Agent that dispatches its tasks.
        entry: Entry that received it.
        open_tasks: Number of tasks that have not ended.
        failed: Number of failed tasks.
        ended_s: Time at which the entry receives the answer, in seconds; None while
            tasks are open.
    """

    arrival: JobArrival
    home: Agent
    entry: Entry
    open_tasks: int
    failed: int = 0
    ended_s: float | None = None


@dataclass(slots=True)
class Task:
    """A task of a job and its progress.

    Attributes:
        job: Job of the task.
        index: Index of the task in its job.
        run_s: Run time in seconds on a target of normal speed.
        copies: Number of dispatched copies, without those that were returned.
        dispatched_s: Time at which the first copy was dispatched, in seconds.
        ended: Whether a copy has ended.
        executor: Executor of the first copy.
    """

    job: Job
    index: int
    run_s: float
    copies: int = 0
    dispatched_s: float = 0.0
    ended: bool = False
    executor: Agent | None = None


@dataclass(slots=True)
class LoadView:
    """Load of an agent as last reported to a home or entry.

    Attributes:
        reported: Number of tasks at the agent, excluding those of the viewer itself.
    """

    reported: int = 0


@dataclass(slots=True)
class Agent:
    """An agent, which acts as home and as executor.

    Attributes:
        name: Name of the agent.
        zone: Availability zone.
        slots: Number of slots of its target.
        speed: Speed of its target relative to normal.
        fails: Whether its target fails every task.
        in_service: Whether its availability zone is in service.
        ejected: Whether it is ejected.
        running: Number of tasks that its target runs.
        queue: Tasks that wait at its target.
        pending: Tasks that it has not dispatched yet, as home.
        outstanding: Number of dispatched tasks that have not ended, by executor.
        views: Known load of the agents, itself included, by name.
        completed: Number of tasks that succeeded at its target.
        failed: Number of tasks that failed at its target.
    """

    name: str
    zone: str
    slots: int
    speed: float = 1.0
    fails: bool = False
    in_service: bool = True
    ejected: bool = False
    running: int = 0
    queue: list[Task] = field(default_factory=list)
    pending: list[Task] = field(default_factory=list)
    outstanding: dict[str, int] = field(default_factory=dict)
    views: dict[str, LoadView] = field(default_factory=dict)
    completed: int = 0
    failed: int = 0

    @property
    def load(self) -> int:
        """Number of tasks that run or wait at the target."""
        return self.running + len(self.queue)


@dataclass(slots=True)
class Entry:
    """An entry.

    Attributes:
        zone: Availability zone.
        outstanding: Number of jobs sent that have not ended, by home.
        views: Load of the agents as last reported, by name.
        ejection: State of the ejection policy.
    """

    zone: str
    outstanding: dict[str, int] = field(default_factory=dict)
    views: dict[str, LoadView] = field(default_factory=dict)
    ejection: EjectionState = field(default_factory=EjectionState)


@dataclass(slots=True)
class RunStatistics:
    """Statistics of a run.

    Attributes:
        jobs: Ended jobs.
        refused: Number of refused jobs.
        messages: Number of messages between processes.
        started: Number of task starts.
        hedges: Number of second copies.
        max_queued: Longest queue at a target.
        queued_samples: Queue length of an agent's target at each of its heartbeats.
        work: End time and run time of each successful task, in seconds.
        ended_s: End of the run in seconds.
    """

    jobs: list[Job] = field(default_factory=list)
    refused: int = 0
    messages: int = 0
    started: int = 0
    hedges: int = 0
    max_queued: int = 0
    queued_samples: list[int] = field(default_factory=list)
    work: list[tuple[float, float]] = field(default_factory=list)
    ended_s: float = 0.0


@dataclass(slots=True)
class LearnedEstimates:
    """Estimates for the one service of the model, shared by all homes.

    Attributes:
        busy_share: Moving average of the share of busy slots.
        run_time: Run-time statistics of tasks.
        budget: Budget of second copies.
    """

    busy_share: float = 0.0
    run_time: RunTime = field(default_factory=RunTime)
    budget: RetryBudget = field(default_factory=lambda: RetryBudget(HEDGE_RATIO))
