"""Tickets, their validation and the configuration document that they change.

A ticket is a numbered change of the configuration that an operator submits.
"""

from __future__ import annotations

import msgspec
from result import Err
from result import Ok
from result import Result

from .decode_errors import DECODE_ERRORS
from .errors import DispatchError
from .errors import ErrorKind


MAX_TICKET_NUMBER = 2**53 - 1
MAX_TICKET_BYTES = 512 * 1024


class ServiceModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The full state of a service; all fields are optional.

    Attributes:
        enabled: Whether new jobs of the service are admitted.
        max_queue_ms: Longest expected queueing time with which a job is admitted, in
            milliseconds, or None for the default limit.
    """

    enabled: bool = True
    max_queue_ms: int | None = None


class AvailabilityZoneModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The full state of an availability zone.

    Attributes:
        in_service: Whether agents in the zone receive new tasks.
    """

    in_service: bool = True


class TeamModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The full state of a team.

    Attributes:
        quota: Task starts per second over all entries, or None for no limit.
    """

    quota: float | None = None


class TicketModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a ticket: the full new state of each object that it changes."""

    services: dict[str, ServiceModel] = {}
    availability_zones: dict[str, AvailabilityZoneModel] = {}
    teams: dict[str, TeamModel] = {}


class ServiceRecord(msgspec.Struct, frozen=True, array_like=True):
    """A service in the document, with the number of the ticket that last wrote it."""

    ticket: int
    state: ServiceModel


class AvailabilityZoneRecord(msgspec.Struct, frozen=True, array_like=True):
    """An availability zone in the document, with the number of its last ticket."""

    ticket: int
    state: AvailabilityZoneModel


class TeamRecord(msgspec.Struct, frozen=True, array_like=True):
    """A team in the document, with the number of its last ticket."""

    ticket: int
    state: TeamModel


class ConfigurationDocument(msgspec.Struct, frozen=True):
    """The configuration of the operators; stored as a single document."""

    services: dict[str, ServiceRecord] = {}
    availability_zones: dict[str, AvailabilityZoneRecord] = {}
    teams: dict[str, TeamRecord] = {}


def parse_ticket(body: bytes) -> Result[TicketModel, DispatchError]:
    """Parses and validates the body of a ticket."""
    if len(body) > MAX_TICKET_BYTES:
        message = f"the ticket is larger than {MAX_TICKET_BYTES} bytes"
        return Err(DispatchError(ErrorKind.BODY_TOO_LARGE, message))
    try:
        ticket = msgspec.json.decode(body, type=TicketModel)
    except DECODE_ERRORS as error:
        message = f"the body is not a valid ticket: {error}"
        return Err(DispatchError(ErrorKind.BAD_REQUEST, message))
    violation = _find_violation(ticket)
    if violation:
        return Err(DispatchError(ErrorKind.BAD_REQUEST, violation))
    return Ok(ticket)


def _find_violation(ticket: TicketModel) -> str:
    names = [*ticket.services, *ticket.availability_zones, *ticket.teams]
    if not names:
        return "a ticket must change at least one object"
    if any(not 1 <= len(name) <= 100 for name in names):
        return "names must have 1 to 100 characters"
    for name, service in ticket.services.items():
        if service.max_queue_ms is not None and service.max_queue_ms < 0:
            return f"max_queue_ms of service {name} must not be negative"
    for name, team in ticket.teams.items():
        if team.quota is not None and team.quota < 0:
            return f"quota of team {name} must not be negative"
    return ""
