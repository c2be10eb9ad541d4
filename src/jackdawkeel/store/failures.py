"""Classifies failed calls to the store by whether they may have taken effect."""

from __future__ import annotations

import socket
from contextlib import suppress

from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError

from .call_counter import CallKind
from .interface import StoreError
from .interface import StoreErrorKind


def error_kind_after_send(kind: CallKind) -> StoreErrorKind:
    """Returns the error kind of a failed call that may have reached the store.

    A read has no effect in either case; the outcome of a write is unknown.
    """
    if kind is CallKind.RANGE:
        return StoreErrorKind.UNAVAILABLE
    return StoreErrorKind.OUTCOME_UNKNOWN


def classify_http_error(kind: CallKind, error: HTTPError) -> StoreError:
    """Returns the error of a call without a response.

    A call without a connection certainly had no effect.
    """
    message = f"{kind}: {error}"
    if isinstance(error, NewConnectionError | ConnectTimeoutError):
        return StoreError(StoreErrorKind.UNAVAILABLE, message)
    return StoreError(error_kind_after_send(kind), message)


def interrupt_read(connection: socket.socket | None) -> None:
    """Shuts a socket down, which interrupts a read blocked on another thread."""
    if connection is not None:
        # The peer may have closed the connection already.
        with suppress(OSError):
            connection.shutdown(socket.SHUT_RDWR)
