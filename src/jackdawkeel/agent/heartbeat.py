"""The heartbeat of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages import AgentLoad
from ..messages import Heartbeat


if TYPE_CHECKING:
    from ..controllers.entry_roster import KnownEntry
    from .daemon import Agent


def make_heartbeat(agent: Agent, entry: KnownEntry) -> Heartbeat:
    """Builds a heartbeat with the agent's current state for an entry."""
    execution = agent.execution
    load = AgentLoad(
        running=execution.running,
        queued=len(execution.queue),
        waiting=agent.dispatch.count_waiting(),
        completed=execution.completed,
        failed=execution.failed,
        envelopes_sent=agent.node.envelopes_sent,
        waiting_jobs=agent.dispatch.count_waiting_jobs(),
    )
    return Heartbeat(
        sent_at=agent.clock(),
        agent=agent.description,
        epoch=agent.admission.epoch,
        load=load,
        revision=agent.configuration.configuration.revision,
        leaving=agent.configuration.leaving,
        peer_list_version=entry.peer_list_version,
    )
