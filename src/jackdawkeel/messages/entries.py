"""Messages between entries."""

from __future__ import annotations

import msgspec

from .agents import AgentDescription
from .agents import AgentLoad


class EntryProbe(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """From an entry to an entry, about once a second.

    Attributes:
        sent_at: Send time in seconds of the sender's clock; echoed in the reply.
        revision: The sender's configuration revision.
        demand: Task starts per second that callers requested at the sender, by team.
    """

    sent_at: float
    revision: int
    demand: dict[str, float]


class EntryProbeReply(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """From an entry to an entry, the reply to a probe.

    Attributes:
        sent_at: ``sent_at`` of the probe.
        confirmed_age_ms: Age in milliseconds of the last confirmation of the
            configuration by the store, -1 if none.
        revision: The configuration revision in force at the sender.
        document: The encoded configuration if it is newer than the recipient's,
            otherwise empty.
    """

    sent_at: float
    confirmed_age_ms: int
    revision: int
    document: bytes


class AgentsQuery(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """From an entry to an entry: requests the observations of agents."""

    query_id: int


class AgentObservation(msgspec.Struct, frozen=True, array_like=True):
    """The state of an agent, as last reported to one entry.

    Attributes:
        agent: The agent's description.
        load: The agent's load.
        revision: The configuration revision in force at the agent.
        leaving: Whether the agent is draining.
        last_seen_age_ms: Time since the agent's last heartbeat, in milliseconds.
    """

    agent: AgentDescription
    load: AgentLoad
    revision: int
    leaving: bool
    last_seen_age_ms: int


class AgentsReply(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """From an entry to an entry: the sender's observations of agents."""

    query_id: int
    observations: list[AgentObservation]


class FindHome(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """From an entry to an entry: requests the address of an agent's incarnation."""

    incarnation: str


class HomeFound(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """From an entry to an entry: the incarnation's link address, None if unknown."""

    incarnation: str
    link: str | None


class FindKey(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """From an entry to an entry: requests the job id that a caller's key claimed."""

    key: str


class KeyFound(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """From an entry to an entry: the job id that a key claimed, None if unknown."""

    key: str
    job_id: str | None
