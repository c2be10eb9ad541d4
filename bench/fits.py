"""Straight lines through measured points."""

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
    """A measured dependence and the line through it.

    Attributes:
        name: What was measured, with its unit.
        over: What it depends on.
        points: Pairs of both.
        slope: Growth of the one for each of the other.
        intercept: The line at zero.
        correlation: How well the line fits, 1 at best.
    """

    name: str
    over: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    correlation: float


def fit_line(name: str, over: str, points: list[tuple[float, float]]) -> Fit:
    """Fits a line by least squares; a constant has correlation 0."""
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
    """Returns the processor time of an action in microseconds, the least of three."""
    costs_us: list[float] = []
    for _ in range(REPEATS):
        started_at = time.process_time()
        for _ in range(repetitions):
            action()
        costs_us.append((time.process_time() - started_at) / repetitions * US_PER_S)
    return min(costs_us)


def measure_bytes(build: Callable[[], object]) -> int:
    """Returns the memory that a built object keeps, in bytes."""
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def print_fit(fit: Fit) -> None:
    """Prints a fit in one line."""
    points = ", ".join(f"{x:g}: {y:g}" for x, y in fit.points)
    print(
        f"{fit.name} over {fit.over}: {fit.slope:.4g} each + {fit.intercept:.4g} "
        f"(correlation {fit.correlation}); {points}"
    )
