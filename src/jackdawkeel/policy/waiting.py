"""Order in which waiting jobs are served, and refusal of those that would end too late.

Designed for bursts of some seconds in which more work arrives than the targets can run.
Jobs that can still meet their latency objective go first, by the operators' priority
and then by their latest start. Late jobs follow while their answers are still useful to
their callers; those that would end later are refused before they start.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random


# A late answer is worth something to its caller until this multiple of the objective.
MAX_END_OBJECTIVES = 3.0
# Part of the objective by which a job must be predicted to end before its limit,
# because run times vary.
LIMIT_MARGIN_OBJECTIVES = 0.1
# A process that shuts down admits a job only if there is time for this many runs of it,
# because a failed or stalled task is run once more.
RUNS_BEFORE_SHUTDOWN = 2
# Share of the time until its latest start that a new job may be predicted to wait.
MAX_WAIT_SHARE = 1.0
# The same once jobs have been waiting without a break for OVERLOAD_S.
OVERLOADED_WAIT_SHARE = 0.5
OVERLOAD_S = 0.1
# Bounds of the retry delay sent to a refused caller.
MIN_RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 10.0


@dataclass(frozen=True, slots=True)
class JobTiming:
    """Times and priority that decide the order of a job; times are in clock seconds.

    Attributes:
        priority: Priority of its queue; 0 goes first.
        arrived_at: Time of arrival.
        expected_s: Expected run time of its longest chain of dependent tasks.
        objective_s: Latency objective, counted from the arrival.
        deadline_at: Time at which its caller stops waiting.
    """

    priority: int
    arrived_at: float
    expected_s: float
    objective_s: float
    deadline_at: float

    @property
    def latest_start(self) -> float:
        """Latest time to start and still meet the objective."""
        return self.arrived_at + self.objective_s - self.expected_s

    def max_slowdown(self, now: float) -> float:
        """Returns the longest run time in time, divided by the expected one."""
        if self.expected_s <= 0:
            return math.inf
        return (self.arrived_at + self.objective_s - now) / self.expected_s

    @property
    def last_useful_start(self) -> float:
        """Latest time to start and still return a useful answer.

        The margin applies to late answers only: a job with free capacity is not
        refused because its caller's budget is short.
        """
        margin_s = LIMIT_MARGIN_OBJECTIVES * self.objective_s
        in_time_until = min(self.arrived_at + self.objective_s, self.deadline_at)
        return max(in_time_until, self.limit_at - margin_s) - self.expected_s

    @property
    def limit_at(self) -> float:
        """Latest time at which an answer is useful to the caller."""
        useful_until = self.arrived_at + MAX_END_OBJECTIVES * self.objective_s
        return min(useful_until, self.deadline_at)


def can_be_in_time(
    timing: JobTiming, now: float, *, has_begun: bool, is_late: bool
) -> bool:
    """Returns whether a job is served with those that can meet their objective.

    A job that has begun in time does not become late: its answer needs all its
    tasks, and the work already done for it would be lost. One that has begun late is
    finished like these once it is about to lose its use.

    Args:
        timing: Times and priority of the job.
        now: Time in clock seconds.
        has_begun: Whether any of its tasks may have run.
        is_late: Whether it was admitted, or has begun, as a late job.
    """
    if has_begun:
        return not is_late or now >= timing.last_useful_start
    return not is_late and now <= timing.latest_start


def rank_job(
    timing: JobTiming, now: float, *, has_begun: bool, is_late: bool = False
) -> tuple[bool, int, float]:
    """Returns a sort key; the job with the smallest key is served first.

    Late jobs follow those in time. Among them, those that have begun go first, then
    those with the earliest end of their useful time.

    Args:
        timing: Times and priority of the job.
        now: Time in clock seconds.
        has_begun: Whether any of its tasks may have run.
        is_late: Whether it was admitted, or has begun, as a late job.
    """
    if can_be_in_time(timing, now, has_begun=has_begun, is_late=is_late):
        return (False, timing.priority, timing.latest_start)
    return (True, not has_begun, timing.last_useful_start)


def would_end_too_late(timing: JobTiming, now: float, expected_wait_s: float) -> bool:
    """Returns whether a job with this expected wait would end too late to be useful."""
    return now + expected_wait_s > timing.last_useful_start


def predict_wait_s(
    *, needed_cores: float, free_cores: float, freed_cores_per_s: float
) -> float:
    """Returns how long a job waits for room for all its tasks, in seconds.

    Args:
        needed_cores: Processors that the tasks of the job, and those that are served
            before them, claim together.
        free_cores: Processors that are free for them now.
        freed_cores_per_s: Processors that become free for them per second, at least one
            target's. Capacity returns to the entry whose task ends, so these are
            the processors that the entry uses.
    """
    return max(0.0, needed_cores - free_cores) / freed_cores_per_s


def would_wait_too_long(
    timing: JobTiming, now: float, wait_s: float, shortage_s: float
) -> bool:
    """Returns whether a new job is refused because of its predicted wait.

    For bursts that exceed the targets. If jobs were admitted as long as they might just
    meet their objective, all of them would start at the last moment and many would end
    late, because run times vary. With a short queue the admitted jobs end in time, and
    the callers of the others learn at once when to return. A wide job that waits for a
    moment on a calm day leaves a longer wait to the others.

    Args:
        timing: Times and priority of the job.
        now: Time in clock seconds.
        wait_s: Predicted wait, in seconds.
        shortage_s: How long jobs have been waiting without a break, in seconds.
    """
    is_overloaded = shortage_s >= OVERLOAD_S
    share = OVERLOADED_WAIT_SHARE if is_overloaded else MAX_WAIT_SHARE
    spare_s = max(0.0, timing.latest_start - now)
    return wait_s > share * spare_s or would_end_too_late(timing, now, wait_s)


def can_end_before(
    timing: JobTiming, now: float, expected_wait_s: float, end_at: float
) -> bool:
    """Returns whether a process that ends at ``end_at`` should still admit a job.

    Entries admit jobs while they shut down because, in a rolling restart during which
    other entries fail, callers may reach only entries that are shutting down.
    """
    return now + expected_wait_s + RUNS_BEFORE_SHUTDOWN * timing.expected_s <= end_at


def choose_retry_delay_s(release_s: float, rng: random.Random) -> float:
    """Returns the delay after which a refused caller may retry, in seconds.

    Delays are spread at random from the predicted release to twice as long, within
    ``MIN_RETRY_DELAY_S`` and ``MAX_RETRY_DELAY_S``.

    Args:
        release_s: Predicted time until all waiting jobs have capacity, in seconds.
        rng: Source of the random spread.
    """
    base = min(max(release_s, MIN_RETRY_DELAY_S), MAX_RETRY_DELAY_S)
    return min(base * rng.uniform(1.0, 2.0), MAX_RETRY_DELAY_S)
