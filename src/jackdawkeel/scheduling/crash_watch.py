"""Notices crashes of an agent's target by failing calls and new incarnations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import EventName
from ..messages.scheduling import CrashState
from ..policy.crash_blame import find_suspects


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..logs import EventLog
    from .target_state import TargetState
    from .task_executor import TaskExecutor


MS_PER_S = 1000


class CrashWatch:
    """Distinguishes crashes of the target from planned ends and from lost calls.

    Attributes:
        failing_since: When calls of the present incarnation began to fail, in seconds
            of the clock; None if the last one succeeded.
        was_ending: Whether the present incarnation has announced its end.
        last_reply_at: When the last reply arrived, in seconds of the clock.
        crashes: Number of crashes recorded so far.
        is_crashed: Whether a crash of the present incarnation is recorded.
    """

    def __init__(
        self,
        target: TargetState,
        clock: Clock,
        log: EventLog,
        find_executor: Callable[[], TaskExecutor],
    ) -> None:
        """Creates a watch for a target that has not replied yet.

        Args:
            target: The agent's knowledge about its target.
            clock: Clock in seconds.
            log: Event log.
            find_executor: Returns the executor of the target's runs.
        """
        self.target = target
        self.clock = clock
        self.log = log
        self.find_executor = find_executor
        self.failing_since: float | None = None
        self.was_ending = False
        self.last_reply_at = 0.0
        self.crashes = 0
        self.is_crashed = False

    def record_failure(self) -> None:
        """Records that a call has failed."""
        if self.failing_since is None:
            self.failing_since = self.clock()
            self.was_ending |= self._is_ending()

    def record_lost_runs(self, *, is_refused: bool) -> None:
        """Records that the runs of a silent target are about to be ended as lost.

        Args:
            is_refused: Whether it refuses connections, as no silent process does.
        """
        if is_refused:
            self._record_crash(CrashState.CONFIRMED, "refused")
        else:
            self._record_crash(CrashState.SUSPECTED, "silent")

    def record_listing(self, born_ms: int) -> None:
        """Records a reply of the target, before its effects are applied."""
        current = self.target.born_ms
        if current and born_ms != current:
            self._record_crash(CrashState.CONFIRMED, "restarted")
        elif self.is_crashed:
            self._change_state(CrashState.WITHDRAWN, "withdrawn")
        self.is_crashed = False
        self.failing_since = None
        self.last_reply_at = self.clock()
        self.was_ending = self._is_ending()

    def _is_ending(self) -> bool:
        report = self.target.report
        return report is None or report.is_draining

    def _record_crash(self, state: CrashState, evidence: str) -> None:
        if self.is_crashed:
            self._change_state(state, evidence)
            return
        at = self.clock() if self.failing_since is None else self.failing_since
        executor = self.find_executor()
        runs = executor.list_runs_at(at, self.last_reply_at)
        if self.was_ending or not runs:
            return
        self.is_crashed = True
        self.crashes += 1
        suspects = find_suspects(runs)
        executor.crashes.record(self.crashes, at, state, runs, suspects)
        self.log.record(
            EventName.TARGET_CRASHED,
            born_ms=self.target.born_ms,
            evidence=evidence,
            noticed_ms=round(MS_PER_S * (self.clock() - at), 1),
            ages_ms={run.task: round(MS_PER_S * run.age_s, 1) for run in runs},
            suspects=[run.task for run in suspects],
            on_trial=[run.task for run in suspects if run.is_on_trial],
        )

    def _change_state(self, state: CrashState, evidence: str) -> None:
        if self.find_executor().crashes.change_state(self.crashes, state):
            self.log.record(
                EventName.TARGET_CRASHED,
                born_ms=self.target.born_ms,
                evidence=evidence,
            )
