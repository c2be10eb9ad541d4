"""Models of the status reports for operators: of the system and of a ticket."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class AgentState(StrEnum):
    """Whether an agent receives tasks and, if it does not, the reason."""

    IN_SERVICE = "in_service"
    OUT_OF_SERVICE = "out_of_service"
    LEAVING = "leaving"
    EJECTED = "ejected"
    SILENT = "silent"


class AgentStatus(msgspec.Struct, frozen=True):
    """An agent, as observed by the entry that answers the request.

    Attributes:
        incarnation: Identifier of the agent's process, unique to each start of it.
        link: Link address of the agent.
        availability_zone: Availability zone of the agent.
        rack: Rack of the agent's machine.
        target: URL of the agent's target.
        services: Names of the services that the target runs.
        slots: Tasks that the target runs concurrently.
        connections: Connections that the target accepts.
        running: Tasks that the target is running.
        queued: Tasks that the agent has accepted from homes and not started.
        waiting: Tasks not yet dispatched of jobs that the agent admitted.
        completed: Tasks that succeeded since the agent started.
        failed: Tasks that failed since the agent started.
        revision: Configuration revision in force at the agent.
        state: Whether the agent receives tasks.
        heard_ms: Time since the last message from the agent, in milliseconds.
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
        name: Name of the availability zone.
        in_service: Whether the configuration has it in service.
        ticket: Number of the ticket that last wrote it, or 0.
    """

    name: str
    in_service: bool
    ticket: int


class EntryStatus(msgspec.Struct, frozen=True):
    """An entry, as observed by the entry that answers the request.

    Attributes:
        incarnation: Identifier of the entry's process, unique to each start of it.
        link: Link address of the entry.
        is_self: Whether it is the entry that answers the request.
        heard_ms: Time since the last message from the entry, in milliseconds, or None
            if none was received.
    """

    incarnation: str
    link: str
    is_self: bool
    heard_ms: int | None = None


class StoreStatus(msgspec.Struct, frozen=True):
    """The key-value service, as observed by the entry that answers the request.

    Attributes:
        reachable: Whether the last call to the service succeeded.
        confirmed_ms: Time since a response of the service last confirmed the
            configuration, in milliseconds, or None if none has.
        revision: Configuration revision in force at the entry.
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
    """The body of ``GET /v1/tickets/{n}`` and of the answer to an accepted ticket.

    Attributes:
        ticket: Number of the ticket.
        accepted: Whether the ticket is stored.
        revision: Configuration revision that includes the ticket, or a later one.
        in_force: Incarnations of agents that have applied the ticket.
        not_yet: Incarnations of agents that send messages and have not applied the
            ticket.
        not_heard: Incarnations of agents that sent messages before and are silent.
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
        msgspec.DecodeError: If the body is not a status report.
    """
    return msgspec.json.decode(body, type=StatusReport)
