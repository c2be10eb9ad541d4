"""A job at its home agent, and the dispatches of its tasks to executing agents.

A dispatch is one attempt to run a task at one agent.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..answer import TaskCounts


if TYPE_CHECKING:
    from collections import deque

    from .peers import Peer


@dataclass(slots=True, eq=False)
class Job:
    """A job whose home is this agent.

    Attributes:
        job_id: The job id.
        service: The service of its tasks.
        payloads: JSON payload of each task.
        idempotent: Whether a task that has started may be started again.
        expires_at: The deadline of the job, in seconds of the clock.
        results: The result of each task, None until it has one.
        waiting: Indexes of the tasks to dispatch, in order.
        attempts: Number of failed or unknown attempts of each task, by index.
        avoided: Incarnation of the agent at which the last such attempt ran, by index.
        outstanding: The dispatches that have not ended, by dispatch number.
        done: Number of tasks with a result.
        failed: Number of tasks whose target answered without a result.
        unknown: Number of tasks that may have run.
    """

    job_id: str
    service: str
    payloads: list[bytes]
    idempotent: bool
    expires_at: float
    results: list[bytes | None]
    waiting: deque[int]
    attempts: dict[int, int] = field(default_factory=dict)
    avoided: dict[int, str] = field(default_factory=dict)
    outstanding: dict[int, Dispatch] = field(default_factory=dict)
    done: int = 0
    failed: int = 0
    unknown: int = 0

    def count_tasks(self) -> TaskCounts:
        """Returns the counts for an answer; tasks still dispatched count as unknown."""
        dispatched = {dispatch.index for dispatch in self.outstanding.values()}
        unknown = self.unknown + sum(
            self.results[index] is None for index in dispatched
        )
        not_started = len(self.results) - self.done - self.failed - unknown
        return TaskCounts(self.done, self.failed, unknown, not_started)

    def count_open_dispatches(self, index: int) -> int:
        """Returns how many dispatches of a task have not ended."""
        return sum(item.index == index for item in self.outstanding.values())

    def has_started(self) -> bool:
        """Returns whether some task may have started."""
        return bool(self.done or self.outstanding or self.attempts)


@dataclass(slots=True, eq=False)
class Dispatch:
    """One open attempt to run a task at an agent.

    Attributes:
        number: The dispatch number, unique at the home.
        job: The job of the task.
        index: Index of the task in the job.
        peer: The executing agent.
        sent_at: When the dispatch was sent, in seconds of the clock.
        last_seen_at: When the dispatch was sent or last reported on, in seconds of
            the clock.
    """

    number: int
    job: Job
    index: int
    peer: Peer
    sent_at: float
    last_seen_at: float
