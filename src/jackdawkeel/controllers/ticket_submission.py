"""Writes a change ticket to the store by compare-and-swap."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from ..errors import DispatchError
from ..errors import ErrorKind
from ..store.interface import GetResult
from ..store.interface import Store
from ..store.interface import StoreError
from ..store.interface import StoreErrorKind
from .document import CONFIGURATION_KEY
from .document import MAX_DOCUMENT_BYTES
from .document import decode_document
from .document import encode_document
from .tickets import apply_ticket
from .tickets import took_effect


if TYPE_CHECKING:
    from ..ticket import ConfigurationDocument
    from ..ticket import TicketModel


MAX_WRITE_ATTEMPTS = 32
READ_BACK_DELAYS_S = (0.0, 0.2, 0.5)

Sleep = Callable[[float], None]


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The configuration as stored.

    Attributes:
        revision: The store revision of its last write, 0 if it was never written.
        encoded: The encoded document.
    """

    revision: int
    encoded: bytes


def submit_ticket(
    store: Store, number: int, ticket: TicketModel, sleep: Sleep = time.sleep
) -> Result[StoredConfiguration, DispatchError]:
    """Writes a ticket to the store; blocks, for I/O threads.

    If the answer to a write is lost, the document is read back to find out whether
    the write took effect.

    Args:
        store: The platform's store.
        number: The ticket number.
        ticket: The changes of the ticket.
        sleep: Called with a delay in seconds before each attempt to read back.

    Returns:
        The stored configuration with the ticket in force. Errors are those of
        ``apply_ticket``, ``STORE_UNAVAILABLE`` if nothing was written,
        ``TICKET_UNKNOWN`` if a write may have taken effect but the store does
        not show whether it did,
        ``BODY_TOO_LARGE`` if the document would exceed ``MAX_DOCUMENT_BYTES``, and
        ``INTERNAL`` if the stored document cannot be decoded.
    """
    uncertain = False
    for _ in range(MAX_WRITE_ATTEMPTS):
        reading = _read_back(store, sleep) if uncertain else _read(store)
        if isinstance(reading, Err):
            return Err(
                _make_submission_error(number, reading.err_value.message, uncertain)
            )
        stored = reading.ok_value
        prepared = _prepare(stored, number, ticket, uncertain)
        if isinstance(prepared, Err):
            return prepared
        encoded = prepared.ok_value
        if encoded == stored.encoded:
            return Ok(stored)
        swap = store.compare_and_swap(CONFIGURATION_KEY, stored.revision, encoded)
        if isinstance(swap, Ok):
            if swap.ok_value.succeeded:
                return Ok(StoredConfiguration(swap.ok_value.revision, encoded))
        elif swap.err_value.kind is StoreErrorKind.OUTCOME_UNKNOWN:
            uncertain = True
        else:
            return Err(
                _make_submission_error(number, swap.err_value.message, uncertain)
            )
    return Err(
        _make_submission_error(
            number, "too many tickets were written at the same time", uncertain
        )
    )


def _prepare(
    stored: StoredConfiguration, number: int, ticket: TicketModel, uncertain: bool
) -> Result[bytes, DispatchError]:
    decoded = decode_document(stored.encoded)
    if isinstance(decoded, Err):
        return decoded
    document = decoded.ok_value
    applied = apply_ticket(document, number, ticket)
    if isinstance(applied, Err):
        if uncertain:
            return _resolve_refusal(stored, document, number, ticket, applied.err_value)
        return applied
    if applied.ok_value.already_applied:
        return Ok(stored.encoded)
    encoded = encode_document(applied.ok_value.document)
    if len(encoded) > MAX_DOCUMENT_BYTES:
        message = f"the configuration would be larger than {MAX_DOCUMENT_BYTES} bytes"
        return Err(DispatchError(ErrorKind.BODY_TOO_LARGE, message))
    return Ok(encoded)


def _resolve_refusal(
    stored: StoredConfiguration,
    document: ConfigurationDocument,
    number: int,
    ticket: TicketModel,
    refusal: DispatchError,
) -> Result[bytes, DispatchError]:
    """Resolves a refusal that follows a write of the ticket with a lost answer.

    A superseded ticket took effect if the document still contains an object as the
    ticket wrote it; otherwise nothing shows whether it did.
    """
    if refusal.kind is not ErrorKind.SUPERSEDED:
        return Err(refusal)
    if took_effect(document, number, ticket):
        return Ok(stored.encoded)
    message = f"{refusal.message}; whether it took effect before that is unknown"
    return Err(DispatchError(ErrorKind.TICKET_UNKNOWN, message))


def _read(store: Store) -> Result[StoredConfiguration, StoreError]:
    return store.get(CONFIGURATION_KEY).map(_to_stored)


def _read_back(store: Store, sleep: Sleep) -> Result[StoredConfiguration, StoreError]:
    for delay_s in READ_BACK_DELAYS_S:
        sleep(delay_s)
        reading = _read(store)
        if reading.is_ok():
            break
    return reading


def _to_stored(reading: GetResult) -> StoredConfiguration:
    if reading.item is None:
        return StoredConfiguration(0, b"")
    return StoredConfiguration(reading.item.mod_revision, reading.item.value)


def _make_submission_error(number: int, reason: str, uncertain: bool) -> DispatchError:
    if uncertain:
        message = f"whether ticket {number} took effect is unknown: {reason}"
        return DispatchError(ErrorKind.TICKET_UNKNOWN, message)
    message = f"ticket {number} was not written: {reason}"
    return DispatchError(ErrorKind.STORE_UNAVAILABLE, message)
