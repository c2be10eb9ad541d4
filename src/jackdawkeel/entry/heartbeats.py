"""The reply of an entry to an agent's heartbeat."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import EventName
from ..messages import HeartbeatReply


if TYPE_CHECKING:
    from ..messages import AgentConfiguration
    from ..messages import Heartbeat
    from .daemon import Entry


def reply_to_heartbeat(entry: Entry, heartbeat: Heartbeat) -> HeartbeatReply:
    """Records the heartbeat and builds the reply.

    The reply always carries the duration of the configuration lease. It carries the
    configuration and the peer list only if the agent does not have the current ones.
    """
    agent = heartbeat.agent
    if entry.roster.handle_heartbeat(heartbeat):
        entry.log.record(
            EventName.AGENT_HEARD,
            agent=agent.address.incarnation,
            agent_availability_zone=agent.availability_zone,
        )
    view = entry.roster.agents[agent.address.incarnation]
    entry.roster.refresh_peers(view)
    has_current_list = heartbeat.peer_list_version == view.peer_list_version
    return HeartbeatReply(
        sent_at=heartbeat.sent_at,
        lease_ms=entry.configuration.lease_ms(entry.clock()),
        revision=entry.configuration.revision,
        configuration=_find_newer_configuration(entry, heartbeat),
        entries=entry.other_entries.list_for_agent(),
        ejected=agent.address.incarnation in entry.roster.ejected,
        peer_list_version=view.peer_list_version,
        peers=None if has_current_list else entry.roster.describe_peers(view),
        loads=entry.roster.list_peer_loads(view),
    )


def _find_newer_configuration(
    entry: Entry, heartbeat: Heartbeat
) -> AgentConfiguration | None:
    if heartbeat.revision >= entry.configuration.revision:
        return None
    return entry.configuration.agent_configuration(heartbeat.agent.services)
