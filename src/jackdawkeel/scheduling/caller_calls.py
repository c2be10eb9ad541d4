"""Decoded requests of callers to an entry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .specification import JobSpec
    from .specification import Queue


@dataclass(frozen=True, slots=True)
class SubmitCall:
    """Submits a job and waits for its end.

    Attributes:
        queue: Queue of the job.
        spec: The job.
        deadline_s: How long the caller waits for the answer, in seconds.
    """

    queue: Queue
    spec: JobSpec
    deadline_s: float


@dataclass(frozen=True, slots=True)
class StateCall:
    """Queries the state of a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancels a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class PendingCall:
    """Queries the number of jobs of a queue that have not begun."""

    queue: Queue


CallerCall = SubmitCall | StateCall | CancelCall | PendingCall
