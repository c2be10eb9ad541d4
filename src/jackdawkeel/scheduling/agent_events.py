"""The log events of an entry about agents that have fallen silent."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from ..events import EventName


if TYPE_CHECKING:
    from ..logs import EventLog
    from .agent_views import AgentView
    from .job import OpenAssignment


MS_PER_S = 1000


def record_unreachable(
    log: EventLog, view: AgentView, kept: list[OpenAssignment], now: float
) -> None:
    """Records that assignments of a silent agent stay open."""
    log.record(EventName.AGENT_UNREACHABLE, **_describe(view, kept, now))


def record_lost(
    log: EventLog,
    view: AgentView,
    lost: list[OpenAssignment],
    now: float,
    *,
    reason: str,
    successor: str | None,
) -> None:
    """Records that an agent can't run assignments any more, and why.

    Args:
        log: Event log.
        view: The agent, as last reported.
        lost: Its assignments.
        now: Time in seconds of the entry's clock.
        reason: Why it can't run them.
        successor: Incarnation that has replaced the agent, if any.
    """
    log.record(
        EventName.AGENT_LOST,
        reason=reason,
        successor=successor,
        **_describe(view, lost, now),
    )


def _describe(
    view: AgentView, assignments: list[OpenAssignment], now: float
) -> dict[str, Any]:
    return {
        "agent": view.address.incarnation,
        "node": view.report.target.node,
        "report_age_ms": round(MS_PER_S * (now - view.last_seen_at), 1),
        "orders": [assignment.number for assignment in assignments],
        "jobs": sorted({assignment.job.spec.job_id for assignment in assignments}),
    }
