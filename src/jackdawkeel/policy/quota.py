"""Quotas of teams, shared between entries without a call per request.

Entries tell each other about once a second how many task starts callers asked them
for. Each grants its part of a quota from a token bucket: a tenth of the quota is
spread evenly, so that a team that turns to another entry is never refused for want
of a message, and the rest follows demand. The parts of entries that know the same
demand add up to the quota.
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
    """What one entry knows of one team.

    Attributes:
        asked_per_s: Task starts asked for at this entry, as a decaying average.
        asked_at: When that average was last brought up to date, in seconds.
        tokens: Task starts that may be granted; below zero after a large job.
        filled_at: When tokens were last added, in seconds, or None.
    """

    demand_per_s: float = 0.0
    demand_updated_at: float = 0.0
    tokens: float = 0.0
    refilled_at: float | None = None


@dataclass(slots=True)
class QuotaState:
    """The buckets of one entry and the demand that other entries told it.

    Attributes:
        teams: Bucket of each team by name.
        others: Demand per team and second, by the other entry's incarnation.
    """

    teams: dict[str, TeamBucket] = field(default_factory=dict)
    others: dict[str, Mapping[str, float]] = field(default_factory=dict)


def record_entry_demand(
    state: QuotaState, entry: str, demand: Mapping[str, float]
) -> None:
    """Records what another entry told of its demand."""
    state.others[entry] = demand


def forget_entry(state: QuotaState, entry: str) -> None:
    """Drops an entry that is gone, so that its part goes to the others."""
    state.others.pop(entry, None)


def own_demand(state: QuotaState, now: float) -> dict[str, float]:
    """Returns the task starts asked for here, per team and second."""
    for bucket in state.teams.values():
        _decay_demand(bucket, now)
    return {name: bucket.demand_per_s for name, bucket in state.teams.items()}


def request_starts(
    state: QuotaState, team: str, quota: float | None, count: int, now: float
) -> int | None:
    """Takes the task starts of a job from a team's quota.

    A job larger than the bucket is granted when the bucket is full, and the debt is
    paid off before the next one; so the quota holds over time for jobs of any size.

    Args:
        state: The entry's state, changed in place.
        team: Name of the team.
        quota: Task starts per second over all entries, or None for no limit.
        count: Task starts wanted.
        now: The time in seconds.

    Returns:
        None when granted, else the time after which the job would be granted if
        nothing else of the team came first, in milliseconds.
    """
    bucket = state.teams.setdefault(team, TeamBucket(demand_updated_at=now))
    _decay_demand(bucket, now)
    bucket.demand_per_s += count / DEMAND_TIME_CONSTANT_S
    if quota is None:
        return None
    rate = quota * quota_share(state, team, now)
    capacity = max(rate * BURST_S, 1.0)
    _refill_bucket(bucket, rate, capacity, now)
    wanted = min(float(count), capacity)
    if bucket.tokens >= wanted and rate > 0:
        bucket.tokens -= count
        return None
    return _retry_after_ms(wanted - bucket.tokens, rate)


def quota_share(state: QuotaState, team: str, now: float) -> float:
    """Returns this entry's part of a team's quota, from 0 to 1."""
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
