"""Quotas of teams, shared between entries without a call per request.

About once a second, entries send each other the demand for task starts that they
receive from callers. Each entry grants its share of a quota from a token bucket. A
tenth of the quota is divided evenly, so that a team that switches to another entry is
not refused before the demand messages have arrived; the rest is divided by demand. The
shares of entries with the same view of the demand add up to the quota.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping


EVEN_SHARE = 0.1
BURST_S = 1.0
DEMAND_TIME_CONSTANT_S = 2.0
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 60_000


@dataclass(slots=True)
class TeamBucket:
    """The token bucket and demand of one team at one entry.

    Attributes:
        demand_per_s: Task starts requested at this entry, as a decaying average.
        demand_updated_at: Time of the last update of that average, in seconds.
        tokens: Task starts that may be granted; negative after a large job.
        refilled_at: Time of the last refill, in seconds, or None before the first.
    """

    demand_per_s: float = 0.0
    demand_updated_at: float = 0.0
    tokens: float = 0.0
    refilled_at: float | None = None


@dataclass(slots=True)
class QuotaState:
    """The buckets of one entry and the demand reported by the other entries.

    Attributes:
        teams: Buckets by team name.
        others: Task starts per second by team, by incarnation of the other entry.
    """

    teams: dict[str, TeamBucket] = field(default_factory=dict)
    others: dict[str, Mapping[str, float]] = field(default_factory=dict)


def record_entry_demand(
    state: QuotaState, entry: str, demand: Mapping[str, float]
) -> None:
    """Records the task starts per second by team that another entry reported."""
    state.others[entry] = demand


def remove_entry(state: QuotaState, entry: str) -> None:
    """Removes an entry that has ended; its share is divided among the others."""
    state.others.pop(entry, None)


def own_demand(state: QuotaState, now: float) -> dict[str, float]:
    """Returns the task starts per second requested at this entry, by team."""
    for bucket in state.teams.values():
        _decay_demand(bucket, now)
    return {name: bucket.demand_per_s for name, bucket in state.teams.items()}


def request_starts(
    state: QuotaState, team: str, quota: float | None, count: int, now: float
) -> int | None:
    """Grants the task starts of a job from a team's quota, or returns a retry delay.

    A job larger than the bucket is granted when the bucket is full and leaves a
    negative balance, which is refilled before the next job is granted. So the quota is
    kept over time for jobs of any size.

    Args:
        state: The entry's state, changed in place.
        team: Name of the team.
        quota: Task starts per second over all entries, or None for no limit.
        count: Task starts requested.
        now: Current time in seconds.

    Returns:
        None if granted, otherwise the time in milliseconds after which the job would be
        granted if no other job of the team is granted before.
    """
    bucket = state.teams.setdefault(team, TeamBucket(demand_updated_at=now))
    _decay_demand(bucket, now)
    bucket.demand_per_s += count / DEMAND_TIME_CONSTANT_S
    if quota is None:
        return None
    rate = quota * quota_share(state, team, now)
    capacity = max(rate * BURST_S, 1.0)
    _refill_bucket(bucket, rate, capacity, now)
    required = min(float(count), capacity)
    if bucket.tokens >= required and rate > 0:
        bucket.tokens -= count
        return None
    return _retry_after_ms(required - bucket.tokens, rate)


def quota_share(state: QuotaState, team: str, now: float) -> float:
    """Returns this entry's share of a team's quota, from 0 to 1."""
    entries = len(state.others) + 1
    bucket = state.teams.setdefault(team, TeamBucket(demand_updated_at=now))
    _decay_demand(bucket, now)
    others = sum(demand.get(team, 0.0) for demand in state.others.values())
    total = bucket.demand_per_s + others
    if total <= 0:
        return 1 / entries
    return EVEN_SHARE / entries + (1 - EVEN_SHARE) * bucket.demand_per_s / total


def _decay_demand(bucket: TeamBucket, now: float) -> None:
    elapsed_s = max(now - bucket.demand_updated_at, 0.0)
    bucket.demand_per_s *= math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
    bucket.demand_updated_at = now


def _refill_bucket(
    bucket: TeamBucket, rate: float, capacity: float, now: float
) -> None:
    if bucket.refilled_at is None:
        bucket.tokens = capacity
    else:
        elapsed_s = max(now - bucket.refilled_at, 0.0)
        bucket.tokens = min(bucket.tokens + rate * elapsed_s, capacity)
    bucket.refilled_at = now


def _retry_after_ms(missing: float, rate: float) -> int:
    if rate <= 0:
        return MAX_RETRY_AFTER_MS
    wait_ms = math.ceil(1000 * missing / rate)
    return min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
