"""Messages between agents and entries: heartbeats and what they describe."""

from __future__ import annotations

import msgspec

from ..ticket import AvailabilityZoneRecord
from ..ticket import ServiceRecord
from .address import PeerAddress


class AgentDescription(msgspec.Struct, frozen=True, array_like=True):
    """What an agent announces about itself.

    Attributes:
        address: The agent's process.
        target: URL of its target.
        services: Names of the services that the target runs.
        availability_zone: Where it runs.
        rack: The rack it is mounted in.
        slots: Tasks that the target runs at once.
        connections: Connections that the target accepts.
    """

    address: PeerAddress
    target: str
    services: list[str]
    availability_zone: str
    rack: str
    slots: int
    connections: int


class AgentLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of an agent at one moment.

    Attributes:
        running: Tasks that the target is running.
        queued: Tasks accepted from homes and not started.
        waiting: Tasks of jobs at home here that are not yet dispatched.
        completed: Tasks that ended well since the agent started.
        failed: Tasks that ended badly since the agent started.
        task_ms: Mean run time of recent tasks in milliseconds, 0 if none.
        envelopes_sent: Envelopes sent over links since the agent started.
        waiting_jobs: Jobs at home here with tasks that are not yet dispatched.
    """

    running: int = 0
    queued: int = 0
    waiting: int = 0
    completed: int = 0
    failed: int = 0
    task_ms: float = 0.0
    envelopes_sent: int = 0
    waiting_jobs: int = 0


class PeerStatus(msgspec.Struct, frozen=True, array_like=True):
    """An agent as entries describe it to other agents."""

    address: PeerAddress
    services: list[str]
    availability_zone: str
    slots: int


class PeerLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of a listed peer, as far as placement needs it.

    Attributes:
        held: Tasks that run or wait at its target.
        waiting: Tasks of jobs at home there that are not yet dispatched.
        waiting_jobs: Jobs that have such tasks.
    """

    held: int
    waiting: int
    waiting_jobs: int


class AgentConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """The part of the configuration that an agent needs."""

    revision: int
    services: dict[str, ServiceRecord]
    availability_zones: dict[str, AvailabilityZoneRecord]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """From an agent to an entry, about once a second.

    Attributes:
        sent_at: When it was sent, in seconds of the agent's clock; echoed.
        agent: The agent's description.
        epoch: The epoch in which ids may be minted for this agent.
        load: The agent's load.
        revision: The configuration revision that is in force at the agent.
        leaving: Whether the agent takes no new jobs or tasks.
        peer_list: Number of the peer list that the agent has from this entry.
    """

    sent_at: float
    agent: AgentDescription
    epoch: int
    load: AgentLoad
    revision: int
    leaving: bool
    peer_list: int = 0


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """From an entry to an agent.

    Attributes:
        sent_at: Echo of the heartbeat.
        lease_ms: Configuration lease in milliseconds from ``sent_at``; 0 for none.
        revision: The entry's configuration revision.
        configuration: What the agent needs of it, if the agent's is older.
        entries: The entry and some of the live ones that it knows.
        ejected: Whether the agent's own target should get no work but probes.
        peer_list: Number of the present list of peers; it changes with the list.
        peers: Agents that may run tasks for this agent, bounded in number; None if
            the agent has the present list.
        loads: The load of each peer, in the order of the list.
    """

    sent_at: float
    lease_ms: int
    revision: int
    configuration: AgentConfiguration | None
    entries: list[PeerAddress]
    ejected: bool
    peer_list: int
    peers: list[PeerStatus] | None
    loads: list[PeerLoad]


class AgentLeaving(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """From a leaving agent to homes and entries.

    Attributes:
        ended: Whether all work there has ended; it answers nothing more.
        unsettled: The recipient's dispatches that started and whose results it has
            not settled; once ``ended``, all others have not started and never will.
    """

    ended: bool
    unsettled: list[int]
