"""An order on an agent, from its arrival to its end."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from .target_runtime import Run


if TYPE_CHECKING:
    from ..messages.scheduling import TaskOrder
    from .owners import Owner


class RunPhase(StrEnum):
    """How far an order is."""

    WAITING = "waiting"
    """It waits for room; the target knows nothing of it."""
    STARTING = "starting"
    """The start has been sent and not answered."""
    RUNNING = "running"
    STOPPING = "stopping"
    """A stop is being sent until the target has taken it."""
    STOPPED = "stopped"
    """The target took the stop, and its next listing tells that it is gone."""
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class TaskRun:
    """One order for a task.

    Attributes:
        owner: The entry that gave the order.
        order: The order.
        job_id: The job.
        queue: Its queue, for the log.
        priority: Priority of the queue; 0 goes first.
        payload: What the task is given.
        arrived_at: When the order came, in seconds.
        phase: How far it is.
        attempt: The attempt under which it was last started.
        tries: Starts that the target refused without running anything.
        started_at: When the target confirmed the start; 0 before.
        stopped_at: When the target took the stop; 0 before.
        percent: Part of the work that is done, as last listed.
        advanced_at: When that last changed, in seconds.
        is_moved: Whether it is handed back for lack of progress.
        is_unwanted: Whether its owner or the agent wants it to end.
    """

    owner: Owner
    order: TaskOrder
    job_id: str
    queue: str
    priority: int
    payload: str
    arrived_at: float
    phase: RunPhase = RunPhase.WAITING
    attempt: int = 0
    tries: int = 0
    started_at: float = 0.0
    stopped_at: float = 0.0
    percent: float = 0.0
    advanced_at: float = 0.0
    is_moved: bool = False
    is_unwanted: bool = False

    @property
    def run(self) -> Run:
        """The run as the target knows it."""
        return Run(self.order.task, self.attempt)

    @property
    def start_by(self) -> float:
        """When it must have been started, in seconds of the clock."""
        return self.arrived_at + self.order.start_within_ms / 1000

    @property
    def claims_capacity(self) -> bool:
        """Whether the target may hold room for it."""
        return self.phase not in (RunPhase.WAITING, RunPhase.ENDED)
