"""Connections to a target that send a request only while its permit is valid.

A permit is the right to start a task until a given time.
"""

from __future__ import annotations

import time
from contextvars import ContextVar
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection


if TYPE_CHECKING:
    from urllib3.response import HTTPResponse

    from ..clock import Clock


MAX_IDLE_TIME_S = 2.0


class PermitExpiredError(Exception):
    """The permit expired before the first byte of the request was sent."""


@dataclass(slots=True)
class Attempt:
    """One attempt to start a task.

    Attributes:
        clock: Clock by which the permit expires.
        permit_expires_at: When the permit expires, in seconds of the clock.
        sent_at: Time just before the request was sent, in seconds of the clock; None
            if it was not sent.
    """

    clock: Clock
    permit_expires_at: float
    sent_at: float | None = None

    def mark_sent(self) -> None:
        """Records that the request is about to be sent.

        Raises:
            PermitExpiredError: If the permit has expired; nothing may be sent.
        """
        now = self.clock()
        if now >= self.permit_expires_at:
            raise PermitExpiredError
        self.sent_at = now


current_attempt: ContextVar[Attempt] = ContextVar("current_attempt")


class PermittedConnection(HTTPConnection):
    """A connection that checks the attempt's permit just before it sends a request.

    The library sends headers and body separately. Here they are sent in one call after
    the check: if the process were paused between the two, the task would start when
    the process resumes, long after the permit has expired.

    A target may close an idle connection at the moment the next request is sent, and
    it is then unknown whether the target read the request. So a connection that was
    idle for more than ``MAX_IDLE_TIME_S`` is replaced before use.
    """

    last_used_at: float = 0.0
    request_parts: list[bytes] | None = None

    def request(  # type: ignore[override]
        self, method: str, url: str, **options: Any
    ) -> None:
        """Connects, builds the request, checks the permit, then sends the request.

        Raises:
            PermitExpiredError: If the permit has expired; nothing was sent.
        """
        if (
            self.sock is not None
            and time.monotonic() - self.last_used_at > MAX_IDLE_TIME_S
        ):
            self.close()
        if self.sock is None:
            self.connect()
        request_bytes = self._build(method, url, options)
        current_attempt.get().mark_sent()
        super().send(request_bytes)

    def send(self, data: bytes) -> None:  # type: ignore[override]
        """Sends bytes, or collects them while a request is built."""
        if self.request_parts is None:
            super().send(data)
        else:
            self.request_parts.append(data)

    def _build(self, method: str, url: str, options: dict[str, Any]) -> bytes:
        request_parts: list[bytes] = []
        self.request_parts = request_parts
        try:
            super().request(method, url, **options)
        finally:
            self.request_parts = None
        return b"".join(request_parts)

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Returns the response, of which only the headers have been read."""
        response = super().getresponse()
        self.last_used_at = time.monotonic()
        return response


class PermittedConnectionPool(HTTPConnectionPool):
    """A pool of connections that check the permit before each request."""

    ConnectionCls = PermittedConnection  # type: ignore[assignment]
