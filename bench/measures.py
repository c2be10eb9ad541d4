"""Computes figures of a benchmark run from calls and task starts."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from bench.workload import ideal_duration_s


if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.standins.target import TaskStart

    from bench.callers import Call


HISTOGRAM_UNITS_PER_ONE = 1000
MAX_HISTOGRAM_UNITS = 10_000_000
SIGNIFICANT_DIGITS = 3
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Quantiles:
    """Quantiles of a set of values; all are 0 if it is empty."""

    count: int
    p50: float
    p90: float
    p99: float

    def __str__(self) -> str:
        return f"{self.p50:.3g}/{self.p90:.3g}/{self.p99:.3g}"


@dataclass(frozen=True, slots=True)
class TimeWindow:
    """A time window on the monotonic clock, in seconds."""

    start_s: float
    end_s: float


def compute_quantiles(values: Iterable[float]) -> Quantiles:
    """Returns quantiles by an HDR histogram, to three significant digits.

    Values are recorded in thousandths and limited to 0.001 to 10,000.
    """
    histogram = HdrHistogram(1, MAX_HISTOGRAM_UNITS, SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(
            min(max(round(value * HISTOGRAM_UNITS_PER_ONE), 1), MAX_HISTOGRAM_UNITS)
        )
    quantiles = [
        histogram.get_value_at_percentile(rank) / HISTOGRAM_UNITS_PER_ONE
        for rank in (50, 90, 99)
    ]
    return Quantiles(histogram.get_total_count(), *quantiles)


def compute_response_ratios(calls: Iterable[Call], slots: int) -> Quantiles:
    """Returns response times of ``done`` answers, relative to the ideal duration."""
    return compute_quantiles(
        call.response_s / ideal_duration_s(call.arrival.run_s, slots)
        for call in calls
        if call.outcome == "done"
    )


def compute_refusal_ms(calls: Iterable[Call]) -> Quantiles:
    """Returns the times from sending to refusal, in milliseconds."""
    return compute_quantiles(
        (call.response_s - call.late_s) * MS_PER_S
        for call in calls
        if call.outcome == "not_run"
    )


def count_outcomes(calls: Iterable[Call]) -> dict[str, int]:
    """Returns the number of calls by outcome and error kind."""
    return dict(
        Counter(
            f"{call.outcome}:{call.kind}" if call.kind else call.outcome
            for call in calls
        )
    )


def compute_slot_utilisation(
    starts: Iterable[TaskStart], calls: Iterable[Call], window: TimeWindow, slots: int
) -> float:
    """Returns the share of the slot time in a window that tasks used."""
    runs = {call.job_id: call.arrival.run_s for call in calls if call.job_id}
    work_s = 0.0
    for start in starts:
        job_id, _, index = start.task_id.rpartition("/")
        if job_id in runs:
            end_s = min(start.at + runs[job_id][int(index)], window.end_s)
            work_s += max(0.0, end_s - max(start.at, window.start_s))
    return work_s / ((window.end_s - window.start_s) * slots)


def count_repeated_starts(starts: Iterable[TaskStart], calls: Iterable[Call]) -> int:
    """Returns the number of repeated starts of tasks that are not idempotent."""
    idempotent = {call.job_id for call in calls if call.arrival.idempotent}
    counts = Counter(start.task_id for start in starts)
    return sum(
        count - 1
        for task_id, count in counts.items()
        if task_id.rpartition("/")[0] not in idempotent
    )


def count_started_refusals(starts: Iterable[TaskStart], calls: Iterable[Call]) -> int:
    """Returns the number of jobs answered ``not_run`` although a task started."""
    started = {start.task_id.rpartition("/")[0] for start in starts}
    return sum(call.outcome == "not_run" and call.job_id in started for call in calls)
