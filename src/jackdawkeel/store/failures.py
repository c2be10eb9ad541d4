"""What a failed call of the store says about its effect."""

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
    """Returns the kind of error of a call that may have reached the store."""
    if kind is CallKind.RANGE:
        return StoreErrorKind.UNAVAILABLE
    return StoreErrorKind.OUTCOME_UNKNOWN


def classify_http_error(kind: CallKind, error: HTTPError) -> StoreError:
    """Returns the error of a call that got no response."""
    message = f"{kind}: {error}"
    if isinstance(error, NewConnectionError | ConnectTimeoutError):
        return StoreError(StoreErrorKind.UNAVAILABLE, message)
    return StoreError(error_kind_after_send(kind), message)


def interrupt_read(connection: socket.socket | None) -> None:
    """Ends a read that waits on another thread."""
    if connection is not None:
        # The store may have closed it at this moment.
        with suppress(OSError):
            connection.shutdown(socket.SHUT_RDWR)
