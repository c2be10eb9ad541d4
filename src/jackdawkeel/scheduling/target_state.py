"""An agent's knowledge about its target, and whether it accepts assignments."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..events import EventName
from ..policy.departure import MIN_NOTICE_CHANGE_S
from ..policy.departure import is_short_notice
from .resources import Resources


if TYPE_CHECKING:
    from ..clock import Clock
    from ..logs import EventLog
    from .target_report import TargetReport


MS_PER_S = 1000
# Added to a stale fencing token; more than the wall clock may jump back.
TOKEN_STEP_MS = 60_000


class TargetState:
    """The agent's knowledge about its target.

    The fencing token must be above that of every earlier process beside the target.
    No record of theirs is always readable, so the token starts as the wall clock time
    in milliseconds and is raised when the target reports it as stale.

    Attributes:
        report: The last valid heartbeat, or None.
        fencing_token: Fencing token of the calls of this process.
        born_ms: The incarnation of the target in its last listing; 0 before the first.
        is_prepared: Whether a listing has shown that the target runs nothing of earlier
            processes.
        is_reachable: Whether recent calls reached it.
        is_shutting_down: Whether this agent shuts down.
        evacuated_zones: Availability zones that operators have evacuated.
        evacuation_revision: Store revision of that list; -1 before the first.
        unhealthy_until: Until when assignments are refused because the target was
            unhealthy, in seconds of the clock.
        ends_at: When the target ends, in seconds of the clock; None if it is not
            draining or the time is unknown.
        notice_s: How long before that time it was announced, in seconds; None with it.
    """

    def __init__(self, availability_zone: str, clock: Clock, log: EventLog) -> None:
        self.availability_zone = availability_zone
        self.clock = clock
        self.log = log
        self.report: TargetReport | None = None
        self.fencing_token = int(time.time() * MS_PER_S)
        self.born_ms = 0
        self.is_prepared = False
        self.is_reachable = True
        self.is_shutting_down = False
        self.evacuated_zones: frozenset[str] = frozenset()
        self.evacuation_revision = -1
        self.unhealthy_until = 0.0
        self.ends_at: float | None = None
        self.notice_s: float | None = None

    @property
    def capacity(self) -> Resources:
        """Total resources of the target; none before its first heartbeat."""
        return Resources() if self.report is None else self.report.capacity

    def raise_token(self) -> None:
        """Raises the fencing token above those of earlier processes."""
        self.fencing_token += TOKEN_STEP_MS

    def pause_until(self, until: float) -> None:
        """Refuses assignments until a time, because the target is unhealthy."""
        self.unhealthy_until = until

    def find_refusal(self, now: float) -> str | None:
        """Returns why no assignment may start now, or None."""
        if self.report is None or not self.is_prepared:
            return "the target is not known yet"
        if self.report.is_draining:
            return "the target is draining"
        if self.is_shutting_down:
            return "the agent is shutting down"
        if self.evacuation_revision < 0:
            return "the evacuated zones are not known yet"
        if self.availability_zone in self.evacuated_zones:
            return "the availability zone is evacuated"
        if not self.is_reachable:
            return "the target is unreachable"
        if now < self.unhealthy_until:
            return "the target is unhealthy"
        return None

    def apply_report(self, report: TargetReport) -> bool:
        """Records a heartbeat and returns whether it is of a new incarnation."""
        current = self.report
        is_new = current is None or (report.instance, report.born_ms) != (
            current.instance,
            current.born_ms,
        )
        if current is not None and self._is_outdated(report, current):
            return False
        self.report = report
        if is_new:
            self._clear_end()
        self._apply_end(report)
        if is_new:
            self.log.record(
                EventName.TARGET_HEARD,
                instance=report.instance,
                born_ms=report.born_ms,
                service=report.service,
                cpu_millis=report.capacity.cpu_millis,
                labels=list(report.labels),
            )
        if report.is_draining and (current is None or not current.is_draining):
            self.log.record(
                EventName.TARGET_DRAINING,
                instance=report.instance,
                remaining_s=report.remaining_s,
            )
        return is_new

    def _apply_end(self, report: TargetReport) -> None:
        if not report.is_draining or report.remaining_s is None:
            self._clear_end()
            return
        ends_at = self.clock() + report.remaining_s
        if self.ends_at is None or ends_at < self.ends_at - MIN_NOTICE_CHANGE_S:
            self.notice_s = report.remaining_s
        self.ends_at = ends_at

    def _clear_end(self) -> None:
        self.ends_at = None
        self.notice_s = None

    def find_remaining_s(self, now: float) -> float | None:
        """Returns the time until the target's end if it has short notice, else None."""
        if self.ends_at is None or not is_short_notice(self.notice_s):
            return None
        return self.ends_at - now

    def _is_outdated(self, report: TargetReport, current: TargetReport) -> bool:
        if report.born_ms != current.born_ms:
            return report.born_ms < current.born_ms
        same = report.instance == current.instance
        return same and report.sequence < current.sequence

    def clear_report(self, instance: str) -> None:
        """Clears the heartbeat of a target that has deregistered."""
        if self.report is not None and self.report.instance == instance:
            self.log.record(EventName.TARGET_GONE, instance=instance)
            self.report = None
            self._clear_end()

    def apply_evacuations(self, zones: frozenset[str], revision: int) -> None:
        """Sets the evacuated zones of a store revision; an older one is ignored."""
        if revision <= self.evacuation_revision:
            return
        if zones != self.evacuated_zones or self.evacuation_revision < 0:
            self.log.record(
                EventName.ZONES_EVACUATED, zones=sorted(zones), revision=revision
            )
        self.evacuated_zones = zones
        self.evacuation_revision = revision

    def set_reachable(self, is_reachable: bool, reason: str = "") -> None:
        """Records whether the target is reachable and logs a change."""
        if is_reachable == self.is_reachable:
            return
        self.is_reachable = is_reachable
        event = (
            EventName.TARGET_REACHED if is_reachable else EventName.TARGET_UNREACHABLE
        )
        self.log.record(event, reason=reason)
