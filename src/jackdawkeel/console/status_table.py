"""Renders a status report as text tables."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..status import AgentStatus
    from ..status import EntryStatus
    from ..status import StatusReport
    from ..status import StoreStatus
    from ..status import ZoneStatus


SHORT_INCARNATION_LENGTH = 8
COLUMN_GAP = "  "
AGENT_HEADINGS = (
    "agent",
    "availability zone",
    "rack",
    "target",
    "services",
    "slots",
    "running",
    "queued",
    "waiting",
    "done",
    "failed",
    "revision",
    "state",
    "heard ms ago",
)
ENTRY_HEADINGS = ("entry", "link", "heard ms ago")


def render_status(report: StatusReport) -> str:
    """Renders a report: store, availability zones, entries, and agents by zone."""
    agents = sorted(report.agents, key=_agent_sort_key)
    zones = sorted(report.availability_zones, key=lambda zone: zone.name)
    sections = [
        _render_store(report.store),
        "\n".join(_render_zone(zone, agents) for zone in zones),
        render_table(ENTRY_HEADINGS, [_entry_cells(item) for item in report.entries]),
        render_table(AGENT_HEADINGS, [_agent_cells(agent) for agent in agents]),
    ]
    return "\n\n".join(section for section in sections if section)


def render_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Renders rows in columns, each as wide as its widest cell."""
    printable = [[_make_printable(cell) for cell in row] for row in rows]
    lines = [list(headings), *printable]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    rendered = [
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    ]
    return "\n".join(rendered)


def _agent_sort_key(agent: AgentStatus) -> tuple[str, str, str]:
    return agent.availability_zone, agent.rack, agent.incarnation


def _render_store(store: StoreStatus) -> str:
    state = "reachable" if store.reachable else "unreachable"
    confirmed = "never confirmed"
    if store.confirmed_ms is not None:
        confirmed = f"confirmed {store.confirmed_ms} ms ago"
    return f"store: {state}, configuration revision {store.revision}, {confirmed}"


def _render_zone(zone: ZoneStatus, agents: Sequence[AgentStatus]) -> str:
    name = _make_printable(zone.name)
    state = "in service" if zone.in_service else "out of service"
    count = sum(agent.availability_zone == zone.name for agent in agents)
    origin = f"ticket {zone.ticket}" if zone.ticket else "no ticket"
    return f"availability zone {name}: {state} ({origin}), {count} agents"


def _entry_cells(entry: EntryStatus) -> list[str]:
    last_seen = "never" if entry.heard_ms is None else str(entry.heard_ms)
    return [
        entry.incarnation[:SHORT_INCARNATION_LENGTH],
        entry.link,
        "answers" if entry.is_self else last_seen,
    ]


def _agent_cells(agent: AgentStatus) -> list[str]:
    return [
        agent.incarnation[:SHORT_INCARNATION_LENGTH],
        agent.availability_zone,
        agent.rack,
        agent.target,
        ",".join(agent.services),
        str(agent.slots),
        str(agent.running),
        str(agent.queued),
        str(agent.waiting),
        str(agent.completed),
        str(agent.failed),
        str(agent.revision),
        agent.state.value.replace("_", " "),
        str(agent.heard_ms),
    ]


def _make_printable(text: str) -> str:
    return text if text.isprintable() else ascii(text)
