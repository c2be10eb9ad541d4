"""State of the modelled agents, entries, jobs and tasks."""

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
    """Ranks jobs by their arrival plus a time for each of their tasks."""
    return arrival.at_s + SIZE_WEIGHT_S * len(arrival.run_s)


@dataclass(frozen=True, slots=True)
class PolicyVariant:
    """The ways of deciding that a run is made with.

    Attributes:
        home: Choice of the home.
        executor: Choice of the target of a task.
        queue_allowance: Tasks that homes let wait at a target.
        reserved: Slots of each target that tasks of larger jobs leave free.
        reserve_below: Mean share of busy slots above which none are reserved.
        order: Rank of a job's tasks in queues, the lowest first.
        ejects: Whether failing agents are ejected.
        hedges: Whether stragglers of idempotent jobs get a second copy.
        refuses: Whether jobs are refused early by the expected wait.
        takes_back: Whether a zone that goes out hands back what has not started.
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
    """A job under way."""

    arrival: JobArrival
    home: Agent
    entry: Entry
    open_tasks: int
    failed: int = 0
    ended_s: float | None = None


@dataclass(slots=True)
class Task:
    """A task of a job."""

    job: Job
    index: int
    run_s: float
    copies: int = 0
    dispatched_s: float = 0.0
    ended: bool = False
    executor: Agent | None = None


@dataclass(slots=True)
class LoadView:
    """What a chooser last heard of an agent's load, its own tasks left out."""

    reported: int = 0


@dataclass(slots=True)
class Agent:
    """An agent, which is home and executor."""

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
        """Tasks that run or wait at the target."""
        return self.running + len(self.queue)


@dataclass(slots=True)
class Entry:
    """An entry."""

    zone: str
    outstanding: dict[str, int] = field(default_factory=dict)
    views: dict[str, LoadView] = field(default_factory=dict)
    ejection: EjectionState = field(default_factory=EjectionState)


@dataclass(slots=True)
class RunStatistics:
    """What a run gave.

    Attributes:
        jobs: Jobs that ended.
        refused: Jobs that were refused.
        messages: Messages between processes.
        started: Task starts.
        hedges: Second copies.
        most_queued: Largest queue at one target.
        queued_samples: Tasks waiting at targets, at each heartbeat.
        work: End and run time of each task that ended well, in seconds.
        ended_s: When the run ended.
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
    """What is learned of the one service, as every home would learn it."""

    busy_share: float = 0.0
    run_time: RunTime = field(default_factory=RunTime)
    budget: RetryBudget = field(default_factory=lambda: RetryBudget(HEDGE_RATIO))
