"""Detection of running tasks that should be restarted on another target.

Guards against a target on which tasks stall, or run several times slower than
elsewhere, while its health reports are good. Only the progress that the target reports
distinguishes such a task from a long one, because callers' estimates are far off.
"""

from __future__ import annotations

from dataclasses import dataclass


# Time without progress after which a task has stalled: several listings of the target,
# or a share of the expected run time if that is longer, since the percentage of a long
# task changes slowly.
STALL_S = 0.3
STALL_SHARE = 0.1
# A slow task is restarted only if its target as a whole is this many times slower than
# the others, because estimates may be several times too short.
MIN_TARGET_SLOWNESS = 2.5
# A slow task is restarted if its remaining time exceeds this multiple of the run time
# on another target.
RESTART_FACTOR = 1.5
# Runs younger than this are not judged by their speed.
MIN_AGE_S = 0.15


@dataclass(frozen=True, slots=True)
class Progress:
    """The observed progress of a running task.

    Attributes:
        age_s: Time since the start, in seconds.
        idle_s: Time since the last observed change of progress, in seconds.
        percent: Share of the work that is done, from 0 to 100.
        expected_s: Expected run time, in seconds; 0 if unknown.
    """

    age_s: float
    idle_s: float
    percent: float
    expected_s: float


def has_stalled(progress: Progress) -> bool:
    """Returns whether a task has made no progress for too long."""
    max_idle_s = max(STALL_S, STALL_SHARE * progress.expected_s)
    return progress.idle_s > max_idle_s and progress.percent < 100


def project_run_s(progress: Progress) -> float:
    """Returns the total run time extrapolated from the progress, in seconds."""
    return progress.age_s * 100 / max(progress.percent, 1.0)


def is_too_slow(progress: Progress, target_slowness: float) -> bool:
    """Returns whether a task would end much earlier if restarted on another target.

    Args:
        progress: Progress of the task.
        target_slowness: How many times slower the target is than targets usually are.
    """
    if target_slowness < MIN_TARGET_SLOWNESS or progress.age_s < MIN_AGE_S:
        return False
    projected_s = project_run_s(progress)
    elsewhere_s = projected_s / target_slowness
    return projected_s - progress.age_s > RESTART_FACTOR * elsewhere_s


def project_slowness(progress: Progress) -> float | None:
    """Returns the ratio of projected to expected run time of a running task.

    Returns:
        The ratio, or None if the run is too young or its expected run time unknown.
    """
    if progress.age_s < MIN_AGE_S or not progress.expected_s:
        return None
    return project_run_s(progress) / progress.expected_s
