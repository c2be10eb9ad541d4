"""A job at home at an agent, and its tasks that are out at executing agents."""

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
    """A job at home here.

    Attributes:
        job_id: Its id.
        service: The service of its tasks.
        payloads: JSON payload of each task.
        idempotent: Whether a started task may be started again.
        expires_at: Its deadline, in seconds of the clock.
        results: Each task's result, None where there is none yet.
        waiting: Tasks that are to be dispatched, next first.
        attempts: How often each task ended badly.
        avoided: The agent at which each task last ended badly.
        outstanding: The dispatches that have not ended, by number.
        done: Tasks with a result.
        failed: Tasks whose target answered without a result.
        unknown: Tasks that may have run.
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
        """Returns the counts for an answer; what is still out counts as unknown."""
        out = {dispatch.index for dispatch in self.outstanding.values()}
        unknown = self.unknown + sum(self.results[index] is None for index in out)
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
    """One task that is out at an agent.

    Attributes:
        number: Its dispatch number.
        job: The job.
        index: The task's place in the job.
        peer: The executing agent.
        sent_at: When it was sent, in seconds of the clock.
        last_seen_at: When it was sent or last reported, in seconds of the clock.
    """

    number: int
    job: Job
    index: int
    peer: Peer
    sent_at: float
    last_seen_at: float
