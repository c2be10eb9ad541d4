"""The HTTP server of an agent, for heartbeats of its target and for metrics.

It uses CherryPy's server without the framework, whose import takes 0.12 s and 7 MB.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

from ..connections.limits import limit_internal
from ..http_messages import HttpRequest
from ..http_messages import HttpResponse
from ..wsgi_server import WsgiServer


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..connections.refusals import RefusalCounts
    from ..setting_values import Address


THREADS = 2
# Heartbeats have a few hundred bytes; a longer body is not a heartbeat.
MAX_BODY_BYTES = 64 * 1024


class AgentHttpServer(WsgiServer):
    """Passes every request to one handler, whatever its path."""

    def __init__(
        self,
        address: Address,
        handle: Callable[[HttpRequest], HttpResponse],
        refusals: RefusalCounts,
    ) -> None:
        """Creates the server; it listens once started.

        Args:
            address: Address to listen on.
            handle: Answers a request; called on the threads of the server.
            refusals: Counts the messages that are refused and connections ended.
        """
        self.handle = handle
        super().__init__(
            host=address.host,
            port=address.port,
            threads=THREADS,
            limits=limit_internal(MAX_BODY_BYTES),
            application=self._respond,
            refusals=refusals,
        )

    def _respond(
        self,
        environment: dict[str, Any],
        start_response: Callable[[str, list[tuple[str, str]]], object],
    ) -> Iterable[bytes]:
        request = HttpRequest(
            method=environment["REQUEST_METHOD"],
            path=environment["PATH_INFO"],
            body=environment["wsgi.input"].read(),
            idempotency_key=None,
        )
        response = self.handle(request)
        reason = HTTPStatus(response.status).phrase
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        start_response(f"{response.status} {reason}", headers)
        return [response.body]
