"""Requests of operators: applying change tickets, and reporting their rollout."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..answer import answer_error
from ..answer import encode_answer
from ..answer import get_http_status
from ..controllers.roster import SILENCE_TIMEOUT_S
from ..controllers.ticket_submission import submit_ticket
from ..errors import DispatchError
from ..errors import ErrorKind
from ..events import EventName
from ..http_messages import HttpResponse
from ..status import TicketStatus
from ..ticket import MAX_TICKET_NUMBER
from ..ticket import parse_ticket


if TYPE_CHECKING:
    from ..messages import AgentObservation
    from ..ticket import ConfigurationDocument
    from .daemon import Entry


MS_PER_S = 1000


async def put_ticket(entry: Entry, number_text: str, body: bytes) -> HttpResponse:
    """Writes a change ticket to the store and applies the new configuration."""
    number = _parse_number(number_text)
    if number is None:
        return _render_error(_bad_number_error(number_text))
    parsed = parse_ticket(body)
    if parsed.is_err():
        return _render_error(parsed.unwrap_err())
    submitted = await entry.loop.run_in_executor(
        entry.store_threads, submit_ticket, entry.store, number, parsed.unwrap()
    )
    if submitted.is_err():
        error = submitted.unwrap_err()
        entry.log.record(EventName.TICKET_REFUSED, ticket=number, kind=error.kind.value)
        return _render_error(error)
    accepted = submitted.unwrap()
    entry.log.record(
        EventName.TICKET_ACCEPTED, ticket=number, revision=accepted.revision
    )
    entry.sync.apply(accepted.revision, accepted.encoded)
    return _render_status(await _build_ticket_status(entry, number, accepted.revision))


async def get_ticket(entry: Entry, number_text: str) -> HttpResponse:
    """Returns at which agents a ticket is in force."""
    number = _parse_number(number_text)
    if number is None:
        return _render_error(_bad_number_error(number_text))
    if not entry.configuration.is_ready():
        text = "this entry has not read the configuration yet"
        return _render_error(DispatchError(ErrorKind.NOT_READY, text))
    if not _has_ticket(entry.configuration.document, number):
        text = f"no object in the configuration was last written by ticket {number}"
        return _render_error(DispatchError(ErrorKind.NO_SUCH_TICKET, text))
    revision = entry.configuration.revision
    return _render_status(await _build_ticket_status(entry, number, revision))


async def _build_ticket_status(
    entry: Entry, number: int, revision: int
) -> TicketStatus:
    in_force: list[str] = []
    not_yet: list[str] = []
    not_heard: list[str] = []
    for observation in await entry.other_entries.list_observations():
        status_list = _select_status_list(
            observation, revision, in_force, not_yet, not_heard
        )
        status_list.append(observation.agent.address.incarnation)
    return TicketStatus(
        ticket=number,
        accepted=True,
        revision=revision,
        in_force=in_force,
        not_yet=not_yet,
        not_heard=not_heard,
    )


def _select_status_list(
    observation: AgentObservation,
    revision: int,
    in_force: list[str],
    not_yet: list[str],
    not_heard: list[str],
) -> list[str]:
    if observation.last_seen_age_ms > SILENCE_TIMEOUT_S * MS_PER_S:
        return not_heard
    return in_force if observation.revision >= revision else not_yet


def _has_ticket(document: ConfigurationDocument, number: int) -> bool:
    numbers = [record.ticket for record in document.services.values()]
    numbers += [record.ticket for record in document.availability_zones.values()]
    numbers += [record.ticket for record in document.teams.values()]
    return number in numbers


def _parse_number(text: str) -> int | None:
    if (
        not text.isascii()
        or not text.isdigit()
        or len(text) > len(str(MAX_TICKET_NUMBER))
    ):
        return None
    number = int(text)
    return number if 1 <= number <= MAX_TICKET_NUMBER else None


def _bad_number_error(text: str) -> DispatchError:
    message = f"{text} is not a ticket number from 1 to {MAX_TICKET_NUMBER}"
    return DispatchError(ErrorKind.BAD_REQUEST, message)


def _render_status(status: TicketStatus) -> HttpResponse:
    return HttpResponse(200, msgspec.json.encode(status))


def _render_error(error: DispatchError) -> HttpResponse:
    answer = answer_error(None, error)
    return HttpResponse(
        get_http_status(answer),
        encode_answer(answer),
        retry_after_ms=answer.retry_after_ms,
    )
