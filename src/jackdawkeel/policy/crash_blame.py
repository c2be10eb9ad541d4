"""Decides which runs may have crashed their target, and which task is given up.

Designed for targets that run about ten tasks of several jobs, while one task in a
hundred crashes each target that starts it. Such a crash ends all runs of the target, so
the suspects are told apart by a second run: at most one suspect at a time is on trial
on a target, and a crash during a trial is blamed on it alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


# Crashes blamed on a task, alone or with other suspects, after which it is given up.
MAX_BLAMED_CRASHES = 2
# Crashes during any run of a task after which it is given up, whoever was blamed. The
# platform allows two more starts after the third crash.
MAX_CRASHES = 4
# Runs that are older than the youngest one by this factor are no suspects: tasks that
# crash their target mostly do so soon after their start.
SUSPECT_AGE_RATIO = 8.0
# Younger runs are always suspects: the time of a crash is known less accurately.
MIN_SUSPECT_AGE_S = 0.1
# Older runs are none: their trials would take long, while most crashes of targets that
# run only old tasks have other causes. MAX_CRASHES limits such tasks.
MAX_SUSPECT_AGE_S = 0.25
# A trial lasts for this multiple of the run's age at the earlier crash, because targets
# differ in speed, and for this time in addition.
TRIAL_AGE_RATIO = 2.0
TRIAL_MARGIN_S = 0.05
# Ages at crashes are alike if they differ by less than this factor and time. Crashes
# with other causes end runs of any age.
ALIKE_AGE_RATIO = 1.1
ALIKE_AGE_MARGIN_S = 0.02


@dataclass(frozen=True, slots=True)
class RunAtCrash:
    """A run that may have been at work when its target crashed.

    Attributes:
        task: Name of its task.
        queue: Queue of its job.
        age_s: Time since its start, in seconds.
        is_on_trial: Whether it was on trial.
        is_confirmed: Whether the target had confirmed its start. A start without a
            reply may not have arrived before the crash.
    """

    task: str
    queue: str
    age_s: float
    is_on_trial: bool
    is_confirmed: bool


@dataclass(slots=True)
class CrashCounts:
    """The crashes that are known to have ended runs of one task.

    Attributes:
        blamed: Crashes that it may have caused, during confirmed runs.
        total: All crashes, also those during starts without a reply.
        oldest_s: Largest age of its runs at a crash that it may have caused, in
            seconds; None if there is none.
        blamed_ages_s: Ages of its runs at the crashes that it is blamed for.
    """

    blamed: int = 0
    total: int = 0
    oldest_s: float | None = None
    blamed_ages_s: list[float] = field(default_factory=list)

    @property
    def trial_s(self) -> float:
        """How long its next run is on trial, in seconds; 0 if it is no suspect."""
        if self.oldest_s is None:
            return 0.0
        return TRIAL_AGE_RATIO * self.oldest_s + TRIAL_MARGIN_S

    def must_give_up(self) -> bool:
        """Returns whether the task must not start again."""
        return self.blamed >= MAX_BLAMED_CRASHES or self.total >= MAX_CRASHES

    def is_certain(self) -> bool:
        """Returns whether the task crashes targets, always at about the same age."""
        if self.blamed < MAX_BLAMED_CRASHES:
            return False
        latest_s = ALIKE_AGE_RATIO * min(self.blamed_ages_s) + ALIKE_AGE_MARGIN_S
        return max(self.blamed_ages_s) <= latest_s


def find_suspects(runs: Sequence[RunAtCrash]) -> list[RunAtCrash]:
    """Returns the runs that may have caused a crash of their target.

    Args:
        runs: All runs that may have been at work on it.
    """
    on_trial = [run for run in runs if run.is_on_trial]
    if on_trial or not runs:
        return on_trial
    limit_s = max(MIN_SUSPECT_AGE_S, SUSPECT_AGE_RATIO * _youngest_s(runs))
    return [run for run in runs if run.age_s <= min(limit_s, MAX_SUSPECT_AGE_S)]


def _youngest_s(runs: Iterable[RunAtCrash]) -> float:
    return min(run.age_s for run in runs)
