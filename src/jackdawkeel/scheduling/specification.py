"""Jobs as callers submit them, and queues as operators configure them."""

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
        demand: Resources that each task claims while it runs.
        estimate_ms: The caller's rough estimate of a task's run time, in milliseconds;
            0 if none.
        after: Indexes of earlier steps that must have succeeded.
        required_label: Label that the target must have; empty if any.
        preferred_rack: Rack that holds the data; empty if none.
        same_rack: Whether tasks run slower if spread over several racks.
        max_per_target: Maximum number of tasks of the step on one target; 0 if
            unlimited.
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
    """A best-effort job with an id that its caller chose."""

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs, as operators configured it.

    Attributes:
        name: Name of the queue.
        host: Host name of its requests.
        prefix: Path prefix of its requests.
        service: Service whose targets run its tasks.
        priority: Priority; 0 is the highest.
        max_attempts: Number of failures after which a task fails for good.
        stretch_factor: Part of the latency objective that scales with the expected run
            time.
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
    """Limits on requests that operators set; 0 means the built-in limit.

    Attributes:
        max_body_bytes: Maximum length of a request body.
    """

    max_body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class QueueConfiguration:
    """All queues of one version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    limits: Limits = field(default_factory=Limits)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a host with the longest matching path prefix."""
        matches = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)
