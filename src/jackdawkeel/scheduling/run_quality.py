"""Judges the runs on an agent's target by their progress and their ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.scheduling import TaskStatus
from ..policy.progress import Progress
from ..policy.progress import has_stalled
from ..policy.progress import is_too_slow
from ..policy.progress import project_run_s
from ..policy.progress import project_slowness
from .target_quality import TargetQuality
from .task_run import RunPhase


if TYPE_CHECKING:
    from collections.abc import Iterable

    from .task_run import TaskRun


MS_PER_S = 1000
# Run times are unknown if the target was not asked for its ended runs for this time: a
# lost call of an agent would otherwise make its target look slow. Far below the time
# after which a call is given up, and above the delays of a busy agent.
MAX_LISTING_GAP_S = 0.05


class RunQuality:
    """The quality of a target, and of each run compared with other targets.

    Attributes:
        target: Ends of recent runs.
        listed_at: When the target's newest list of runs was requested, in seconds.
        received_at: When the last list arrived, in seconds.
        are_ends_timely: Whether runs that the last list shows as ended have ended since
            shortly before it was requested.
        median_slowness: Median of the slowness of all targets, as an entry reports it.
        slowness: Observed divided by expected run time, as of the last ``refresh``.
        recent_ends: Number of recent runs that ended, and of those that failed or made
            no progress, as of the last ``refresh``.
    """

    def __init__(self) -> None:
        self.target = TargetQuality()
        self.listed_at = 0.0
        self.received_at = 0.0
        self.are_ends_timely = True
        self.median_slowness = 1.0
        self.slowness = 1.0
        self.recent_ends = (0, 0)

    def record_listing(self, requested_at: float, now: float) -> None:
        """Records a list of the target's runs, before its ends are handled.

        Args:
            requested_at: When it was requested, in seconds.
            now: When it arrived.
        """
        self.listed_at = max(self.listed_at, requested_at)
        self.are_ends_timely = requested_at <= self.received_at + MAX_LISTING_GAP_S
        self.received_at = now

    def refresh(self, now: float, runs: Iterable[TaskRun]) -> None:
        """Measures the target again, from recent ends and the open runs."""
        self.target.drop_expired(now)
        self.slowness = self.measure_slowness(runs)
        self.recent_ends = self.target.count()

    def measure_slowness(self, runs: Iterable[TaskRun]) -> float:
        """Returns observed divided by expected run time of recent and running tasks."""
        running = [
            project_slowness(self.measure_progress(run))
            for run in runs
            if run.phase is RunPhase.RUNNING
        ]
        return self.target.measure_slowness([ratio for ratio in running if ratio])

    def measure_progress(self, run: TaskRun) -> Progress:
        """Returns the progress of a run as of the newest list."""
        return Progress(
            age_s=self.listed_at - run.started_at,
            idle_s=self.listed_at - run.last_progress_at,
            percent=run.percent,
            expected_s=run.assignment.expected_ms / MS_PER_S,
        )

    def should_move(self, run: TaskRun) -> bool:
        """Returns whether a run should be restarted on another target."""
        progress = self.measure_progress(run)
        slowness = self.slowness / self.median_slowness
        return has_stalled(progress) or is_too_slow(progress, slowness)

    def record_moved(self, run: TaskRun, now: float) -> None:
        """Records a run that is moved, with its projected run time."""
        progress = self.measure_progress(run)
        self.target.record(
            now,
            is_good=not has_stalled(progress),
            run_ms=MS_PER_S * project_run_s(progress),
            expected_ms=run.assignment.expected_ms,
        )

    def record_end(
        self, run: TaskRun, status: TaskStatus, run_ms: float, now: float
    ) -> None:
        """Records the end of a run; a moved run is already recorded.

        Args:
            run: The run.
            status: How it ended.
            run_ms: Its run time in milliseconds; 0 if it is unknown.
            now: Time in seconds.
        """
        if status is TaskStatus.DONE and not run.is_moved:
            expected_ms = run.assignment.expected_ms
            self.target.record(
                now, is_good=True, run_ms=run_ms, expected_ms=expected_ms
            )
        elif status is TaskStatus.FAILED:
            self.target.record(now, is_good=False, run_ms=0.0, expected_ms=0.0)
