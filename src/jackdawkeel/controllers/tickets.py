"""Applies numbered change tickets to the configuration document."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from result import Err
from result import Ok
from result import Result

from ..errors import DispatchError
from ..errors import ErrorKind
from ..ticket import MAX_TICKET_NUMBER
from ..ticket import AvailabilityZoneModel
from ..ticket import AvailabilityZoneRecord
from ..ticket import ConfigurationDocument
from ..ticket import ServiceModel
from ..ticket import ServiceRecord
from ..ticket import TeamModel
from ..ticket import TeamRecord
from ..ticket import TicketModel


ObjectState = ServiceModel | AvailabilityZoneModel | TeamModel
ObjectRecord = ServiceRecord | AvailabilityZoneRecord | TeamRecord


class ObjectKind(StrEnum):
    """The kinds of objects that a ticket can change."""

    SERVICE = "service"
    AVAILABILITY_ZONE = "availability zone"
    TEAM = "team"


@dataclass(frozen=True, slots=True)
class ObjectName:
    """Identifies one object of the configuration by kind and name."""

    kind: ObjectKind
    name: str


@dataclass(frozen=True, slots=True)
class AppliedTicket:
    """The result of applying a ticket to a document.

    Attributes:
        document: The document with the ticket in force.
        already_applied: Whether the ticket was in force before.
    """

    document: ConfigurationDocument
    already_applied: bool


def apply_ticket(
    document: ConfigurationDocument, number: int, ticket: TicketModel
) -> Result[AppliedTicket, DispatchError]:
    """Applies all changes of a ticket, or none.

    Errors are ``BAD_REQUEST`` if the number is out of range, ``SUPERSEDED`` if a later
    ticket wrote one of the objects, and ``TICKET_CONFLICT`` if the number was used
    before with other content.
    """
    if not 1 <= number <= MAX_TICKET_NUMBER:
        message = f"ticket numbers range from 1 to {MAX_TICKET_NUMBER}"
        return Err(DispatchError(ErrorKind.BAD_REQUEST, message))
    new_states = _list_states(ticket)
    for name, record in _list_records(document).items():
        if name in new_states and record.ticket > number:
            message = (
                f"ticket {number} is superseded: ticket {record.ticket}"
                f" wrote {name.kind} {name.name}"
            )
            return Err(DispatchError(ErrorKind.SUPERSEDED, message))
    written = _list_written(document, number)
    if not written:
        return Ok(AppliedTicket(_write(document, number, ticket), False))
    if written == new_states:
        return Ok(AppliedTicket(document, True))
    message = f"ticket {number} was submitted before with other content"
    return Err(DispatchError(ErrorKind.TICKET_CONFLICT, message))


def took_effect(
    document: ConfigurationDocument, number: int, ticket: TicketModel
) -> bool:
    """Returns whether the document proves that a ticket was written.

    Objects that later tickets wrote are excluded; at least one must remain.
    """
    new_states = _list_states(ticket)
    written = _list_written(document, number)
    return bool(written) and written.items() <= new_states.items()


def _write(
    document: ConfigurationDocument, number: int, ticket: TicketModel
) -> ConfigurationDocument:
    services = {
        name: ServiceRecord(number, state) for name, state in ticket.services.items()
    }
    availability_zones = {
        name: AvailabilityZoneRecord(number, state)
        for name, state in ticket.availability_zones.items()
    }
    teams = {name: TeamRecord(number, state) for name, state in ticket.teams.items()}
    return ConfigurationDocument(
        services=document.services | services,
        availability_zones=document.availability_zones | availability_zones,
        teams=document.teams | teams,
    )


def _list_states(ticket: TicketModel) -> dict[ObjectName, ObjectState]:
    states: dict[ObjectName, ObjectState] = {}
    for name, service in ticket.services.items():
        states[ObjectName(ObjectKind.SERVICE, name)] = service
    for name, availability_zone in ticket.availability_zones.items():
        states[ObjectName(ObjectKind.AVAILABILITY_ZONE, name)] = availability_zone
    for name, team in ticket.teams.items():
        states[ObjectName(ObjectKind.TEAM, name)] = team
    return states


def _list_records(document: ConfigurationDocument) -> dict[ObjectName, ObjectRecord]:
    records: dict[ObjectName, ObjectRecord] = {}
    for name, service in document.services.items():
        records[ObjectName(ObjectKind.SERVICE, name)] = service
    for name, availability_zone in document.availability_zones.items():
        records[ObjectName(ObjectKind.AVAILABILITY_ZONE, name)] = availability_zone
    for name, team in document.teams.items():
        records[ObjectName(ObjectKind.TEAM, name)] = team
    return records


def _list_written(
    document: ConfigurationDocument, number: int
) -> dict[ObjectName, ObjectState]:
    records = _list_records(document)
    return {
        name: record.state
        for name, record in records.items()
        if record.ticket == number
    }
