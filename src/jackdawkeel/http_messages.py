"""HTTP requests and responses, independent of the server library."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import socket
    from collections.abc import Callable
    from collections.abc import Mapping


JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"
MS_PER_S = 1000


@dataclass(slots=True)
class HttpRequest:
    """A request as route handlers receive it.

    Attributes:
        method: The HTTP method.
        path: The path without the query.
        body: The request body.
        idempotency_key: Value of the Idempotency-Key header, or None.
        headers: Value of each header by its name, which is case-insensitive.
        connection: Socket of the caller; used only to detect its disconnect.
        release_body: Called once the body is no longer needed; None if nothing else
            holds it.
    """

    method: str
    path: str
    body: bytes
    idempotency_key: str | None
    headers: Mapping[str, str] = field(default_factory=dict)
    connection: socket.socket | None = None
    release_body: Callable[[], None] | None = None

    def discard_body(self) -> None:
        """Releases the memory of the body, which has been decoded."""
        self.body = b""
        if self.release_body is not None:
            self.release_body()


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response of a route handler.

    Attributes:
        status: The HTTP status.
        body: The response body.
        content_type: Media type of the body.
        retry_after_ms: Sent in the Retry-After header, rounded up to whole seconds.
        close: Whether the server closes the connection after the response.
    """

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    retry_after_ms: int | None = None
    close: bool = False
