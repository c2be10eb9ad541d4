"""Messages between agents and entries, and the parts of heartbeats."""

from __future__ import annotations

import msgspec

from ..ticket import AvailabilityZoneRecord
from ..ticket import ServiceRecord
from .address import PeerAddress


class AgentDescription(msgspec.Struct, frozen=True, array_like=True):
    """The properties of an agent and its target.

    Attributes:
        address: Address of the agent.
        target: URL of its target.
        services: Names of the services that the target runs.
        availability_zone: The availability zone that it runs in.
        rack: The rack that it is mounted in.
        slots: Number of tasks that the target runs at once.
        connections: Number of connections that the target accepts.
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
        running: Number of tasks that the target is running.
        queued: Number of tasks that were accepted from homes but have not started.
        waiting: Number of undispatched tasks of jobs whose home is this agent.
        completed: Number of tasks that succeeded since the agent started.
        failed: Number of tasks that failed since the agent started.
        task_ms: Mean run time of recent tasks in milliseconds, 0 if none.
        envelopes_sent: Number of envelopes sent over links since the agent started.
        waiting_jobs: Number of jobs whose home is this agent and that have
            undispatched tasks.
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
    """The properties of an agent that entries send to other agents."""

    address: PeerAddress
    services: list[str]
    availability_zone: str
    slots: int


class PeerLoad(msgspec.Struct, frozen=True, array_like=True):
    """The part of a peer's load that placement needs.

    Attributes:
        open_tasks: Number of tasks that run or are queued at the peer.
        waiting: Number of undispatched tasks of jobs whose home is the peer.
        waiting_jobs: Number of jobs that have such tasks.
    """

    open_tasks: int
    waiting: int
    waiting_jobs: int


class AgentConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """The part of the configuration that an agent needs.

    Attributes:
        revision: Revision of the whole configuration.
        services: Those services of the agent that are configured, by name.
        availability_zones: All configured availability zones, by name.
    """

    revision: int
    services: dict[str, ServiceRecord]
    availability_zones: dict[str, AvailabilityZoneRecord]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """From an agent to an entry, about once a second.

    Attributes:
        sent_at: Send time in seconds of the agent's clock; echoed in the reply.
        agent: The agent's description.
        epoch: The epoch in which ids may be minted for this agent.
        load: The agent's load.
        revision: The configuration revision that is in force at the agent.
        leaving: Whether the agent is draining and accepts no new jobs or tasks.
        peer_list_version: Version of the peer list that the agent has from this entry;
            0 for none.
    """

    sent_at: float
    agent: AgentDescription
    epoch: int
    load: AgentLoad
    revision: int
    leaving: bool
    peer_list_version: int = 0


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """From an entry to an agent, the reply to a heartbeat.

    Attributes:
        sent_at: ``sent_at`` of the heartbeat.
        lease_ms: Configuration lease in milliseconds from ``sent_at``; 0 for none.
        revision: The entry's configuration revision.
        configuration: The part that the agent needs; None if the agent has this
            revision or a later one.
        entries: Addresses of the entry and some other live entries.
        ejected: Whether the agent's target is ejected, so that it receives only
            probes.
        peer_list_version: Version of the current list of peers; it changes with the
            list.
        peers: Agents that may run tasks for this agent, bounded in number; None if
            the agent has the current list.
        loads: The load of each peer, in the order of the list.
    """

    sent_at: float
    lease_ms: int
    revision: int
    configuration: AgentConfiguration | None
    entries: list[PeerAddress]
    ejected: bool
    peer_list_version: int
    peers: list[PeerStatus] | None
    loads: list[PeerLoad]


class AgentLeaving(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """From a leaving agent to homes and entries.

    Attributes:
        ended: Whether all work at the agent has ended, so that it no longer replies.
        unsettled: Numbers of the recipient's dispatches that started and whose
            results the recipient has not settled. If ``ended``, no other open
            dispatch has started or ever will.
    """

    ended: bool
    unsettled: list[int]
