"""Models of what operators are told: the status of the system and of a ticket."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class AgentState(StrEnum):
    """Whether an agent gets work, and if not, why."""

    IN_SERVICE = "in_service"
    OUT_OF_SERVICE = "out_of_service"
    LEAVING = "leaving"
    EJECTED = "ejected"
    SILENT = "silent"


class AgentStatus(msgspec.Struct, frozen=True):
    """An agent as the entry that answers sees it.

    Attributes:
        incarnation: The agent's process.
        link: Where its link listens.
        availability_zone: Where it runs.
        rack: The rack it is mounted in.
        target: URL of its target.
        services: Names of the services that its target runs.
        slots: Tasks that its target runs at once.
        connections: Connections that its target accepts.
        running: Tasks that its target is running.
        queued: Tasks accepted from homes and not started.
        waiting: Tasks of jobs at home there that are not yet dispatched.
        completed: Tasks that ended well since the agent started.
        failed: Tasks that ended badly since the agent started.
        revision: The configuration revision in force there.
        state: Whether it gets work.
        heard_ms: How long ago it was heard, in milliseconds.
    """

    incarnation: str
    link: str
    availability_zone: str
    rack: str
    target: str
    services: list[str]
    slots: int
    connections: int
    running: int
    queued: int
    waiting: int
    completed: int
    failed: int
    revision: int
    state: AgentState
    heard_ms: int


class ZoneStatus(msgspec.Struct, frozen=True):
    """An availability zone that the configuration names or an agent runs in.

    Attributes:
        name: Its name.
        in_service: Whether operators have it in service.
        ticket: Number of the ticket that last wrote it, or 0.
    """

    name: str
    in_service: bool
    ticket: int


class EntryStatus(msgspec.Struct, frozen=True):
    """An entry as the entry that answers sees it.

    Attributes:
        incarnation: The entry's process.
        link: Where its link listens.
        is_self: Whether it is the entry that answers.
        heard_ms: How long ago it was heard, in milliseconds, or None if never.
    """

    incarnation: str
    link: str
    is_self: bool
    heard_ms: int | None = None


class StoreStatus(msgspec.Struct, frozen=True):
    """The platform's key-value service as the entry that answers sees it.

    Attributes:
        reachable: Whether the last call to it succeeded.
        confirmed_ms: How long ago an answer of it last confirmed the configuration,
            in milliseconds, or None if never.
        revision: The configuration revision in force at the entry.
    """

    reachable: bool
    confirmed_ms: int | None
    revision: int


class StatusReport(msgspec.Struct, frozen=True):
    """The body of ``GET /v1/status``."""

    entries: list[EntryStatus]
    store: StoreStatus
    availability_zones: list[ZoneStatus]
    agents: list[AgentStatus]


class TicketStatus(msgspec.Struct, frozen=True):
    """The body of ``GET /v1/tickets/{n}``, and of a ticket's acceptance.

    Attributes:
        ticket: The ticket's number.
        accepted: Whether the store holds it.
        revision: The configuration revision that holds it, or a later one.
        in_force: Incarnations of agents that have applied it.
        not_yet: Incarnations of agents that are heard and have not applied it.
        not_heard: Incarnations of agents that were heard before and are silent.
    """

    ticket: int
    accepted: bool
    revision: int
    in_force: list[str] = []
    not_yet: list[str] = []
    not_heard: list[str] = []


def decode_status_report(body: bytes) -> StatusReport:
    """Decodes a status report from JSON.

    Raises:
        msgspec.DecodeError: If the body is no status report.
    """
    return msgspec.json.decode(body, type=StatusReport)
