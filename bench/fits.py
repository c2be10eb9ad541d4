"""Linear fits of measured points, and helpers that measure cost."""

from __future__ import annotations

import statistics
import time
import tracemalloc
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


US_PER_S = 1e6
REPEATS = 3


@dataclass(frozen=True, slots=True)
class Fit:
    """A linear fit of measured points.

    Attributes:
        name: Measured quantity with its unit.
        over: Independent variable.
        points: Pairs of the independent variable and the measured value.
        slope: Increase of the measured value for each unit of the variable.
        intercept: Value of the line at zero.
        correlation: Pearson correlation, 1 at best; 0 if all values are equal.
    """

    name: str
    over: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    correlation: float


def fit_line(name: str, over: str, points: list[tuple[float, float]]) -> Fit:
    """Fits a line to points by least squares."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    line = statistics.linear_regression(xs, ys)
    is_constant = len(set(ys)) == 1
    correlation = 0.0 if is_constant else statistics.correlation(xs, ys)
    return Fit(
        name,
        over,
        [(x, round(y, 3)) for x, y in points],
        line.slope,
        line.intercept,
        round(correlation, 4),
    )


def measure_processor_us(action: Callable[[], object], repetitions: int) -> float:
    """Returns the processor time of one call of an action in microseconds.

    The result is the lowest mean of ``REPEATS`` series.

    Args:
        action: Action to measure.
        repetitions: Number of calls in a series.
    """
    costs_us: list[float] = []
    for _ in range(REPEATS):
        started_at = time.process_time()
        for _ in range(repetitions):
            action()
        costs_us.append((time.process_time() - started_at) / repetitions * US_PER_S)
    return min(costs_us)


def measure_bytes(build: Callable[[], object]) -> int:
    """Returns the memory that a newly built object occupies, in bytes."""
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def print_fit(fit: Fit) -> None:
    """Prints a fit on one line."""
    points = ", ".join(f"{x:g}: {y:g}" for x, y in fit.points)
    print(
        f"{fit.name} over {fit.over}: {fit.slope:.4g} each + {fit.intercept:.4g} "
        f"(correlation {fit.correlation}); {points}"
    )
