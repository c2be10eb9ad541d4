"""An assignment at an agent, from its arrival to its end."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

from .target_runtime import Run


if TYPE_CHECKING:
    from ..messages.scheduling import TaskAssignment
    from .owners import Owner


class RunPhase(StrEnum):
    """Phase of an assignment."""

    WAITING = "waiting"
    """It waits for free capacity; the target has no run of it."""
    STARTING = "starting"
    """The start was sent; the reply is pending."""
    RUNNING = "running"
    STOPPING = "stopping"
    """A stop is sent repeatedly until the target confirms it."""
    STOPPED = "stopped"
    """The target confirmed the stop; a later listing without the run shows its end."""
    ENDED = "ended"


class StopCause(StrEnum):
    """Why an agent stops a run, or cancels an assignment that waits."""

    OWNER_EXPIRED = "owner_expired"
    """The lease of its entry has ended."""
    OWNER_REPLACED = "owner_replaced"
    """A new process has started at the link address of its entry."""
    STOP_REQUESTED = "stop_requested"
    """Its entry has requested the end."""
    RESUBMITTED = "resubmitted"
    """A later assignment of the same task has arrived."""
    MOVED = "moved"
    """It stalled or was too slow, so that its task is to start elsewhere."""
    TARGET_LEAVING = "target_leaving"
    """Its target ends at short notice, before the run could end."""
    START_UNANSWERED = "start_unanswered"
    """The target may have started it, but has not confirmed that."""
    UNKNOWN_RUN = "unknown_run"
    """The target lists it, but this process has not started it or has given it up."""
    SHUTTING_DOWN = "shutting_down"
    """The agent's time to shut down is over."""


@dataclass(slots=True, eq=False)
class TaskRun:
    """One assignment of a task.

    Attributes:
        owner: The entry that sent the assignment.
        assignment: The assignment.
        job_id: Id of its job.
        queue: Queue of the job, for the log.
        priority: Priority of the queue; 0 is the highest.
        payload: Payload of the task.
        arrived_at: When the assignment arrived, in seconds.
        phase: Its phase.
        attempt: The attempt number under which it was last started.
        refused_starts: Number of starts that the target refused without running
            anything.
        start_sent_at: When its start was last sent; 0 before and after a refused start.
        started_at: When the target confirmed the start; 0 before.
        stopped_at: When the target confirmed the stop; 0 before.
        listed_at: When the last listing that shows it as running was requested; 0
            before.
        percent: Part of the work that is done, in percent, as last listed.
        last_progress_at: When the percentage last changed, in seconds.
        is_moved: Whether it is ended because it stalled or was too slow, so that it can
            start elsewhere.
        is_cancelled: Whether its owner or the agent has requested its end.
        stop_causes: Why it was stopped, in order; each cause is contained once.
        first_stop_at: When it was first stopped; 0 before.
        trial_s: How long it is on trial after its start because its task may have
            crashed a target, in seconds; 0 if the task is no suspect.
    """

    owner: Owner
    assignment: TaskAssignment
    job_id: str
    queue: str
    priority: int
    payload: str
    arrived_at: float
    phase: RunPhase = RunPhase.WAITING
    attempt: int = 0
    refused_starts: int = 0
    start_sent_at: float = 0.0
    started_at: float = 0.0
    stopped_at: float = 0.0
    listed_at: float = 0.0
    percent: float = 0.0
    last_progress_at: float = 0.0
    is_moved: bool = False
    is_cancelled: bool = False
    stop_causes: list[StopCause] = field(default_factory=list)
    first_stop_at: float = 0.0
    trial_s: float = 0.0

    @property
    def run(self) -> Run:
        """The run, as the target identifies it."""
        return Run(self.assignment.task, self.attempt)

    @property
    def start_by(self) -> float:
        """Latest time of its start, in seconds of the clock."""
        return self.arrived_at + self.assignment.start_within_ms / 1000

    @property
    def claims_capacity(self) -> bool:
        """Whether the target may hold capacity for it."""
        return self.phase not in (RunPhase.WAITING, RunPhase.ENDED)

    def is_on_trial(self, at: float) -> bool:
        """Returns whether a crash of the target at a time would be blamed on it."""
        return self.claims_capacity and at < self.start_sent_at + self.trial_s

    def add_stop_cause(self, cause: StopCause, now: float) -> bool:
        """Records why it is stopped and returns whether the cause is new."""
        if cause in self.stop_causes:
            return False
        if not self.stop_causes:
            self.first_stop_at = now
        self.stop_causes.append(cause)
        return True
