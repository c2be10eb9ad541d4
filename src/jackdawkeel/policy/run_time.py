"""Run times estimated from finished tasks instead of declared by callers."""

from __future__ import annotations

from dataclasses import dataclass


MEAN_WEIGHT = 0.05
HIGH_QUANTILE = 0.95
LOW_QUANTILE = 0.05
QUANTILE_STEP = 0.05
FIRST_QUANTILE_STEP = 0.5
RELIABLE_SAMPLES = 20
MIN_RUN_MS = 0.1


@dataclass(frozen=True, slots=True)
class RunTime:
    """Estimated run time of a service's tasks.

    Attributes:
        samples: Number of finished tasks.
        mean_ms: Moving average in milliseconds, 0 before the first sample.
        high_ms: Estimated 95th percentile in milliseconds, 0 before the first sample.
        low_ms: Estimated 5th percentile in milliseconds, 0 before the first sample.
    """

    samples: int = 0
    mean_ms: float = 0.0
    high_ms: float = 0.0
    low_ms: float = 0.0


def observe_run(run_time: RunTime, elapsed_ms: float) -> RunTime:
    """Returns the estimate updated with a finished task.

    A sample moves a quantile by a share of the quantile's own value. The 95th
    percentile rises by a large step for a sample above it and otherwise falls by a
    small one, so that it converges to the value which a 20th of the samples exceed.
    """
    elapsed_ms = max(elapsed_ms, MIN_RUN_MS)
    samples = run_time.samples + 1
    if samples == 1:
        return RunTime(samples, elapsed_ms, elapsed_ms, elapsed_ms)
    weight = max(MEAN_WEIGHT, 1 / samples)
    mean_ms = run_time.mean_ms + weight * (elapsed_ms - run_time.mean_ms)
    step = max(QUANTILE_STEP, FIRST_QUANTILE_STEP / samples)
    high_ms = _move_quantile(run_time.high_ms, elapsed_ms, step, HIGH_QUANTILE)
    low_ms = _move_quantile(run_time.low_ms, elapsed_ms, step, LOW_QUANTILE)
    return RunTime(samples, mean_ms, high_ms, low_ms)


def is_reliable(run_time: RunTime) -> bool:
    """Returns whether the estimate rests on enough tasks to base decisions on it."""
    return run_time.samples >= RELIABLE_SAMPLES


def _move_quantile(
    value_ms: float, elapsed_ms: float, step: float, quantile: float
) -> float:
    if elapsed_ms > value_ms:
        return value_ms * (1 + step * quantile)
    return value_ms * (1 - step * (1 - quantile))
