"""Whether a running task is better started anew on another target.

Load it answers: a target on which tasks stand still, or run several times slower than
elsewhere, while it reports good health. Only the target's own figure of the work done
tells such a task from a long one, since callers' estimates are far off.
"""

from __future__ import annotations

from dataclasses import dataclass


# Time without progress after which a task stands still: several listings of the
# target, and a share of a long task, whose percents pass slowly.
STALL_S = 0.3
STALL_SHARE = 0.1
# A task moves for slowness only off a target that is slow as a whole and compared with
# others, as estimates may be several times too short.
MIN_TARGET_SLOWNESS = 2.5
# It moves if its rest would take this much longer than a new start elsewhere.
RESTART_FACTOR = 1.5
# Youngest run whose speed is judged, in seconds.
MIN_AGE_S = 0.15


@dataclass(frozen=True, slots=True)
class Progress:
    """What is known of a running task.

    Attributes:
        age_s: Time since its start, in seconds.
        idle_s: Time since its progress was last seen to change, in seconds.
        percent: Part of the work that is done.
        expected_s: Expected run time, in seconds; 0 if unknown.
    """

    age_s: float
    idle_s: float
    percent: float
    expected_s: float


def has_stalled(progress: Progress) -> bool:
    """Returns whether a task stands still."""
    patience_s = max(STALL_S, STALL_SHARE * progress.expected_s)
    return progress.idle_s > patience_s and progress.percent < 100


def project_run_s(progress: Progress) -> float:
    """Returns the run time that the progress so far leads to, in seconds."""
    return progress.age_s * 100 / max(progress.percent, 1.0)


def is_too_slow(progress: Progress, target_slowness: float) -> bool:
    """Returns whether a task would end much earlier if it started anew elsewhere.

    Args:
        progress: The task.
        target_slowness: How many times slower the target is than targets usually are.
    """
    if target_slowness < MIN_TARGET_SLOWNESS or progress.age_s < MIN_AGE_S:
        return False
    projected_s = project_run_s(progress)
    elsewhere_s = projected_s / target_slowness
    return projected_s - progress.age_s > RESTART_FACTOR * elsewhere_s


def project_slowness(progress: Progress) -> float | None:
    """Returns observed over expected run time of a running task, if it can be told."""
    if progress.age_s < MIN_AGE_S or not progress.expected_s:
        return None
    return project_run_s(progress) / progress.expected_s
