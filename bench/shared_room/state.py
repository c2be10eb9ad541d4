"""What the model knows: jobs, orders, entries and agents."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from jackdawkeel.policy.waiting import JobTiming
    from jackdawkeel.scheduling.resources import Resources
    from jackdawkeel.scheduling.specification import StepSpec


@dataclass(slots=True, eq=False)
class ModelJob:
    """A job of one step.

    Attributes:
        entry: Its entry.
        timing: What its order depends on.
        step: Its tasks.
        run_s: Run time of each task, in seconds.
        ready: Indexes of tasks that have no order.
        open_tasks: Tasks that have not ended.
        has_begun: Whether any task had an assignment.
        ended_at: When its last task ended; infinity if it was refused.
    """

    entry: ModelEntry
    timing: JobTiming
    step: StepSpec
    run_s: list[float]
    ready: list[int]
    open_tasks: int
    has_begun: bool = False
    ended_at: float = 0.0


@dataclass(slots=True, eq=False)
class ModelAssignment:
    """An assignment for one task; it waits at its agent until ``start_by``."""

    job: ModelJob
    task: int
    agent: ModelAgent
    sent_at: float
    start_by: float
    arrived_at: float = 0.0
    is_waiting: bool = False


@dataclass(slots=True, eq=False)
class ModelView:
    """An agent as an entry sees it."""

    agent: ModelAgent
    free: Resources
    unseen: list[ModelAssignment] = field(default_factory=list)
    parked: int = 0


@dataclass(slots=True, eq=False)
class ModelEntry:
    """An entry; its share is the part of all callers that reach it."""

    name: str
    zone: str
    share: float
    views: dict[str, ModelView] = field(default_factory=dict)
    waiting: list[ModelJob] = field(default_factory=list)
    not_begun: list[ModelJob] = field(default_factory=list)
    looked_at: float = -1.0
    is_look_planned: bool = False


@dataclass(slots=True, eq=False)
class ModelAgent:
    """An agent and the room of its target."""

    name: str
    zone: str
    capacity: Resources
    free: Resources
    waiting: list[ModelAssignment] = field(default_factory=list)
    told_free: dict[str, Resources] = field(default_factory=dict)
    full_at: dict[str, float] = field(default_factory=dict)
