"""The messages that a leaving agent sends to homes and entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages import AgentLeaving


if TYPE_CHECKING:
    from .daemon import Agent


def announce_leaving(agent: Agent) -> None:
    """Notifies every agent that may send tasks that this agent accepts no more."""
    addresses = {peer.status.address for peer in agent.peers.list_all()}
    addresses.update(records.address for records in agent.execution.homes.values())
    for address in addresses - {agent.address}:
        agent.node.send(address, AgentLeaving(ended=False, unsettled=[]))


def announce_end(agent: Agent) -> None:
    """Notifies homes and entries that all work at this agent has ended.

    Homes learn from it which of their tasks never started. A home whose records were
    dropped is not notified, because it is unknown which of its tasks started.
    """
    for incarnation, records in agent.execution.homes.items():
        if records.has_dropped_records or records.address == agent.address:
            continue
        unsettled = agent.execution.list_unsettled(incarnation)
        agent.node.send(records.address, AgentLeaving(True, unsettled))
    for entry in agent.entries.entries.values():
        agent.node.send(entry.address, AgentLeaving(True, []))
