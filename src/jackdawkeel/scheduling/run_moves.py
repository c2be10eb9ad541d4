"""Why a run should be stopped so that its task can start on another target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..policy.departure import should_leave
from .task_run import StopCause


if TYPE_CHECKING:
    from .run_quality import RunQuality
    from .target_state import TargetState
    from .task_run import TaskRun


def find_move_cause(
    run: TaskRun, target: TargetState, quality: RunQuality, now: float
) -> StopCause | None:
    """Returns why a run should start elsewhere, or None if it should go on.

    Args:
        run: A running run.
        target: The target that runs it.
        quality: Judges the target and its runs.
        now: Time in seconds.
    """
    if not target.is_reachable:
        return None
    remaining_s = target.find_remaining_s(now)
    if remaining_s is not None:
        progress = quality.measure_progress(run)
        if should_leave(progress, remaining_s):
            return StopCause.TARGET_LEAVING
    may_move = run.assignment.may_move and quality.should_move(run)
    return StopCause.MOVED if may_move else None
