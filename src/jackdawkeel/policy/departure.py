"""Decides which runs are stopped because their target ends at short notice.

Answers the load of fleets whose targets are reclaimed about two seconds after a notice,
while jobs with runs of one to several seconds are on them. A run that is lost with its
target is noticed and started again only after the target's end, which is too late for
most jobs; one that is stopped at the notice can start elsewhere at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .progress import MIN_AGE_S
from .progress import project_run_s


if TYPE_CHECKING:
    from .progress import Progress


# Targets that are reclaimed announce 1.7 to 2.2 s. A longer notice belongs to a planned
# end, which leaves runs time to end.
MAX_SHORT_NOTICE_S = 3.0
# An end that moves forward by more than this is a new notice; less is jitter of the
# heartbeats.
MIN_NOTICE_CHANGE_S = 0.5
# Part of the remaining time that can't be used: the transmission of the notice, and
# the listing that shows the end of a run, which takes a call of 0.1 s.
STOP_MARGIN_S = 0.15
# A run with this much of its work done is kept if its projected end is at most this
# much too late: the projection is uncertain, and all of its work would be repeated.
NEARLY_DONE_PERCENT = 90.0
MAX_NEARLY_DONE_EXCESS_S = 0.3
# With less progress the projected run time depends on the rounding of the percentage.
MIN_PERCENT = 5.0


def is_short_notice(notice_s: float | None) -> bool:
    """Returns whether a target is reclaimed, rather than shut down as planned.

    Args:
        notice_s: Time between the notice and the end, in seconds; None if unknown.
    """
    return notice_s is not None and notice_s <= MAX_SHORT_NOTICE_S


def should_leave(progress: Progress, remaining_s: float) -> bool:
    """Returns whether a run should be stopped now to start again elsewhere.

    Its time on another target is not compared: if it can't end here, any time at which
    it starts elsewhere is better than that after the loss of the target.

    Args:
        progress: Progress of the run.
        remaining_s: Time until its target ends, in seconds.

    Returns:
        True if it can't end in the remaining time. False if it nearly ends in time, if
        nothing is known about its run time, or if the target ends before a stop would
        take effect.
    """
    usable_s = remaining_s - STOP_MARGIN_S
    if usable_s <= 0:
        return False
    if progress.age_s >= MIN_AGE_S and progress.percent >= MIN_PERCENT:
        excess_s = project_run_s(progress) - progress.age_s - usable_s
        is_nearly_done = progress.percent >= NEARLY_DONE_PERCENT
        return excess_s > (MAX_NEARLY_DONE_EXCESS_S if is_nearly_done else 0.0)
    return progress.expected_s - max(0.0, progress.age_s) > usable_s
