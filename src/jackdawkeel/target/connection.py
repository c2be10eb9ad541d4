"""Connections to a target that start a request only under a valid permit."""

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
    """The permit to start the task ran out before its first byte was sent."""


@dataclass(slots=True)
class Attempt:
    """One attempt to start a task.

    Attributes:
        clock: Clock of the permit.
        permit_expires_at: End of the permit in seconds of the clock.
        sent_at: When the first byte was handed to the system, or None.
    """

    clock: Clock
    permit_expires_at: float
    sent_at: float | None = None

    def mark_sent(self) -> None:
        """Records the start.

        Raises:
            PermitExpiredError: If the permit has run out; nothing may be sent.
        """
        now = self.clock()
        if now >= self.permit_expires_at:
            raise PermitExpiredError
        self.sent_at = now


current_attempt: ContextVar[Attempt] = ContextVar("current_attempt")


class PermittedConnection(HTTPConnection):
    """A connection that checks the permit of the attempt just before it sends.

    The library sends head and body apart. Here they leave together, after the check:
    a process that is paused between the two would start the task when it continues,
    long after its permit has ended.

    A target may close a connection that has been idle for long just as the next
    request is sent, and whether it was read is then unknown. So a connection that
    was idle for ``MAX_IDLE_TIME_S`` is replaced before use.
    """

    last_used_at: float = 0.0
    parts: list[bytes] | None = None

    def request(  # type: ignore[override]
        self, method: str, url: str, **options: Any
    ) -> None:
        """Connects, builds the request, checks the permit, then sends it.

        Raises:
            PermitExpiredError: If the permit has run out; nothing was sent.
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
        """Sends bytes, or keeps them while a request is built."""
        if self.parts is None:
            super().send(data)
        else:
            self.parts.append(data)

    def _build(self, method: str, url: str, options: dict[str, Any]) -> bytes:
        parts: list[bytes] = []
        self.parts = parts
        try:
            super().request(method, url, **options)
        finally:
            self.parts = None
        return b"".join(parts)

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Returns the head of the response."""
        response = super().getresponse()
        self.last_used_at = time.monotonic()
        return response


class PermittedConnectionPool(HTTPConnectionPool):
    """A pool of connections that check permits."""

    ConnectionCls = PermittedConnection  # type: ignore[assignment]
