"""In which order waiting jobs are served, and which are refused at once.

Load it answers: for some seconds more work arrives than the targets can do. Jobs that
can still meet their latency objective go first, by the operators' priority and then by
their latest start; what would end long after its objective is refused before it starts.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random


# A job that has not started is refused when it would end after this many objectives:
# by then its caller is better served by coming back, and the room by a job in time.
MAX_END_OBJECTIVES = 1.5
# A process that must end takes a job that fits twice before its end, as a failed or
# stuck task is run once more.
RUNS_BEFORE_SHUTDOWN = 2
# Shortest and longest delay that a refused caller is told, in seconds.
MIN_RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 10.0


@dataclass(frozen=True, slots=True)
class JobTiming:
    """What the order of a job depends on; times are in seconds of the clock.

    Attributes:
        priority: Priority of its queue; 0 goes first.
        arrived_at: When it arrived.
        expected_s: Expected run time of its longest chain of tasks.
        objective_s: Its latency objective.
        deadline_at: When its caller stops waiting.
    """

    priority: int
    arrived_at: float
    expected_s: float
    objective_s: float
    deadline_at: float

    @property
    def latest_start(self) -> float:
        """When it must start to meet its objective."""
        return self.arrived_at + self.objective_s - self.expected_s

    @property
    def last_useful_start(self) -> float:
        """When it must start so that its answer is still of use."""
        useful_until = self.arrived_at + MAX_END_OBJECTIVES * self.objective_s
        return min(useful_until, self.deadline_at) - self.expected_s


def rank_job(
    timing: JobTiming, now: float, *, has_begun: bool
) -> tuple[bool, int, float]:
    """Returns a key that sorts the job to be served first to the front.

    A job that has begun is never put behind jobs in time: its answer needs its last
    task, and the work done for it would be lost.
    """
    is_late = now > timing.latest_start and not has_begun
    return (is_late, timing.priority, timing.latest_start)


def would_end_too_late(timing: JobTiming, now: float, expected_wait_s: float) -> bool:
    """Returns whether a job that must wait so long would end too late to be of use."""
    return now + expected_wait_s > timing.last_useful_start


def can_end_before(
    timing: JobTiming, now: float, expected_wait_s: float, end_at: float
) -> bool:
    """Returns whether a process that ends at a moment should still take a job.

    Load it answers: operators restart entries one after the other while others fail,
    and callers have no entry but those that shut down.
    """
    return now + expected_wait_s + RUNS_BEFORE_SHUTDOWN * timing.expected_s <= end_at


def choose_retry_delay_s(expected_wait_s: float, rng: random.Random) -> float:
    """Returns when a refused caller may come back, spread over the expected wait."""
    base = min(max(expected_wait_s, MIN_RETRY_DELAY_S), MAX_RETRY_DELAY_S)
    return min(base * rng.uniform(1.0, 2.0), MAX_RETRY_DELAY_S)
