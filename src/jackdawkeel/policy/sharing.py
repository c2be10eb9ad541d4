"""Admission of jobs and use of capacity while there is too little of it.

Designed for bursts of some seconds in which more work arrives than the targets can run,
and whose callers do not retry. Queues of lower priority, whose jobs may wait longer,
would then take the capacity from those of higher priority, because running tasks are
not interrupted. Each queue is therefore limited to the part of its work that queues of
higher priority get admitted. Late jobs get the capacity that jobs in time leave.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from .waiting import OVERLOAD_S
from .waiting import would_end_too_late
from .waiting import would_wait_too_long


if TYPE_CHECKING:
    from collections.abc import Iterable

    from .waiting import JobTiming


# Time constant with which offered and admitted work are forgotten, in seconds; shorter
# than a burst.
MEMORY_S = 2.0
# A queue limits others only if it offers at least this part of all work, so that a
# single refused wide job does not.
MIN_OFFERED_SHARE = 0.05
# Difference of admitted shares from which a queue is limited, so that the worst queue
# is at most this much below the others.
SHARE_TOLERANCE = 0.1
# Part of the freed capacity that late jobs are predicted to get if all work is
# admitted; it falls with this power of the admitted share, because the capacity that
# jobs in time leave in a mild shortage is gone in a deep one.
LATE_RATE_SHARE = 0.5
LATE_RATE_EXPONENT = 4
# Least part, so that a wait is predicted however little work is admitted.
MIN_LATE_RATE_SHARE = 0.01
# Part of the capacity that late jobs leave free for jobs in time that arrive next.
LATE_RESERVE_SHARE = 0.05
# A late job may use this reserve shortly before it would be refused, so that none is
# refused while a target has free capacity; two runs of the entry's tick.
LATE_URGENT_S = 0.1


class Admission(StrEnum):
    """How a new job is admitted, or why it is refused."""

    IN_TIME = "in_time"
    LATE = "late"
    OVER_SHARE = "over_share"
    PREDICTED_WAIT = "predicted_wait"


@dataclass(slots=True)
class QueueLoad:
    """Recent work of a queue, in core-seconds.

    Attributes:
        priority: Its priority; 0 is the highest.
        offered_s: Expected work of the jobs that arrived.
        admitted_s: Part of it that was admitted to be in time.
    """

    priority: int
    offered_s: float = 0.0
    admitted_s: float = 0.0

    @property
    def admitted_share(self) -> float:
        """Share of the offered work that was admitted; 1 if none was offered."""
        return self.admitted_s / self.offered_s if self.offered_s > 0 else 1.0

    def forget(self, age_s: float) -> None:
        """Reduces both amounts by the time that has passed, in seconds."""
        kept = math.exp(-age_s / MEMORY_S)
        self.offered_s *= kept
        self.admitted_s *= kept


def exceeds_share(load: QueueLoad, loads: Iterable[QueueLoad]) -> bool:
    """Returns whether a larger share of a queue's work is admitted than of higher ones.

    Args:
        load: The queue.
        loads: All queues of its service.
    """
    others = list(loads)
    least_s = MIN_OFFERED_SHARE * sum(other.offered_s for other in others)
    shares = [
        other.admitted_share
        for other in others
        if other.priority < load.priority and other.offered_s >= least_s > 0
    ]
    return load.admitted_share > min(shares, default=1.0) + SHARE_TOLERANCE


def late_rate_share(loads: Iterable[QueueLoad]) -> float:
    """Returns the part of the freed capacity that late jobs are predicted to get.

    Args:
        loads: All queues of the service.
    """
    known = list(loads)
    offered_s = sum(load.offered_s for load in known)
    if offered_s <= 0:
        return LATE_RATE_SHARE
    admitted = sum(load.admitted_s for load in known) / offered_s
    return max(MIN_LATE_RATE_SHARE, LATE_RATE_SHARE * admitted**LATE_RATE_EXPONENT)


@dataclass(frozen=True, slots=True)
class PredictedWait:
    """How long a new job waits for capacity for all its tasks, in seconds.

    Attributes:
        in_time_s: If it is served in the order of the jobs in time.
        late_s: If it is served after them.
        shortage_s: How long jobs have been waiting without a break.
    """

    in_time_s: float
    late_s: float
    shortage_s: float


def decide_admission(
    timing: JobTiming, now: float, wait: PredictedWait, *, is_over_share: bool
) -> Admission:
    """Decides whether a new job is admitted to be in time, late, or not at all.

    A job above the share of its queue is not admitted as a late one instead, because it
    would take capacity that its queue must leave to others.

    Args:
        timing: Times and priority of the job.
        now: Time in clock seconds.
        wait: Its predicted wait.
        is_over_share: Whether its queue exceeds its share.
    """
    if not would_wait_too_long(timing, now, wait.in_time_s, wait.shortage_s):
        is_short = wait.in_time_s > 0 and wait.shortage_s >= OVERLOAD_S
        is_refused = is_over_share and is_short
        return Admission.OVER_SHARE if is_refused else Admission.IN_TIME
    if would_end_too_late(timing, now, wait.late_s):
        return Admission.PREDICTED_WAIT
    return Admission.LATE


def may_late_job_start(timing: JobTiming, now: float, free_share: float) -> bool:
    """Returns whether a late job may use free capacity.

    Args:
        timing: Times and priority of the job.
        now: Time in clock seconds.
        free_share: Free part of the processors of its targets.
    """
    is_urgent = now >= timing.last_useful_start - LATE_URGENT_S
    return is_urgent or free_share >= LATE_RESERVE_SHARE
