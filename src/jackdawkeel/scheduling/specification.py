"""What callers submit and operators configure, in the project's own terms."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .resources import Resources


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step of a job: equal tasks that become ready together.

    Attributes:
        count: Number of tasks.
        demand: What each task claims while it runs.
        estimate_ms: The caller's rough run time of a task, in milliseconds; 0 if none.
        after: Indexes of earlier steps that must have ended well.
        required_label: Label that the target must carry; empty if any.
        preferred_rack: Rack that holds the data; empty if none.
        same_rack: Whether tasks run slower on more than one rack.
        max_per_target: Most tasks of the step on one target; 0 if unlimited.
    """

    count: int
    demand: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    required_label: str = ""
    preferred_rack: str = ""
    same_rack: bool = False
    max_per_target: int = 0


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A best-effort job under an id that its caller chose."""

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs, as operators configured it.

    Attributes:
        name: The queue.
        host: Host name that requests carry.
        prefix: Start of the path of its requests.
        service: Service whose targets run its tasks.
        priority: 0 goes first.
        max_attempts: Failures after which a task is given up.
        stretch_factor: Part of the latency objective that grows with the work.
        objective_ms: Fixed part of the latency objective, in milliseconds.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch_factor: float = 1.0
    objective_ms: int = 0


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on requests that operators set; 0 means the project's own bound.

    Attributes:
        max_body_bytes: Longest body of a request.
    """

    max_body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class QueueConfiguration:
    """All queues in one version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    limits: Limits = field(default_factory=Limits)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path at a host."""
        matches = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)
