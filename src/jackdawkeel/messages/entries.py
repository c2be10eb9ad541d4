"""Messages between entries."""

from __future__ import annotations

import msgspec

from .agents import AgentDescription
from .agents import AgentLoad


class EntryProbe(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """From an entry to an entry, about once a second.

    Attributes:
        sent_at: When it was sent, in seconds of the sender's clock; echoed.
        revision: The sender's configuration revision.
        demand: Task starts that callers asked for, per team and second.
    """

    sent_at: float
    revision: int
    demand: dict[str, float]


class EntryProbeReply(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """From an entry to an entry.

    Attributes:
        sent_at: Echo of the probe.
        confirmed_age_ms: Age of the last confirmation by the store, -1 if none.
        revision: The configuration revision in force.
        document: The encoded document if the revision is above the asker's.
    """

    sent_at: float
    confirmed_age_ms: int
    revision: int
    document: bytes


class AgentsQuery(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """From an entry to an entry: which agents are heard, with what in force."""

    query_id: int


class AgentObservation(msgspec.Struct, frozen=True, array_like=True):
    """An agent as one entry last heard it."""

    agent: AgentDescription
    load: AgentLoad
    revision: int
    leaving: bool
    last_seen_age_ms: int


class AgentsReply(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """From an entry to an entry: the agents that it hears."""

    query_id: int
    observations: list[AgentObservation]


class FindHome(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """From an entry to an entry: whether it hears this incarnation."""

    incarnation: str


class HomeFound(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """From an entry to an entry: where the incarnation listens, if heard."""

    incarnation: str
    link: str | None


class FindKey(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """From an entry to an entry: which job id it knows a caller's key to stand for."""

    key: str


class KeyFound(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """From an entry to an entry: the job id of a key, if known."""

    key: str
    job_id: str | None
