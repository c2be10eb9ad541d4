"""The HTTP server of an entry, on CherryPy.

Its threads read a request, hand it over, wait and write the response; they touch no
state of the dispatcher.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Self

import cherrypy

from ..answer import answer_error
from ..answer import encode_answer
from ..errors import ERROR_TABLE
from ..errors import DispatchError
from ..errors import ErrorKind
from ..http_messages import JSON_TYPE
from ..http_messages import MS_PER_S
from ..http_messages import HttpRequest
from ..http_messages import HttpResponse
from ..job_request import MAX_BODY_BYTES
from ..wsgi_server import SOCKET_ENVIRON_KEY
from ..wsgi_server import WsgiServer


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from ..setting_values import Address


# A body up to this size is read, so that its refusal is an answer like any other.
MAX_READ_BYTES = 2 * MAX_BODY_BYTES
# Readiness checks and metrics come about once a second.
FURTHER_THREADS = 2


class HttpServer:
    """Owns CherryPy's engine and server; there can be one per process."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        threads: int,
        handle: Callable[[HttpRequest], HttpResponse],
        also_listen: Sequence[Address] = (),
    ) -> None:
        """Describes the server; it listens from entering it.

        Entering raises ``StartError`` if the address can't be listened on.

        Args:
            host: IP to listen on.
            port: Port to listen on.
            threads: Requests that are handled at once.
            handle: Answers a request; called on the server's threads.
            also_listen: Further addresses, each with a few threads of its own.
        """
        self.handle = handle
        self.servers = [self._make_server(host, port, threads)]
        for address in also_listen:
            server = self._make_server(address.host, address.port, FURTHER_THREADS)
            self.servers.append(server)

    def __enter__(self) -> Self:
        cherrypy.config.update(
            {
                "environment": "embedded",
                "engine.autoreload.on": False,
                "log.screen": False,
                "error_page.default": _render_error,
                "request.process_request_body": False,
                "tools.trailing_slash.on": False,
            }
        )
        # CherryPy's adapter for servers polls for each one's start in steps of 0.1 s.
        cherrypy.server.unsubscribe()
        root = _Root(self.handle)
        cherrypy.tree.mount(root, "/", {"/": {"request.dispatch": root.dispatch}})
        cherrypy.engine.start()
        for server in self.servers:
            server.start()
        return self

    def _make_server(self, host: str, port: int, threads: int) -> WsgiServer:
        return WsgiServer(
            host=host,
            port=port,
            threads=threads,
            max_body_bytes=MAX_READ_BYTES,
            application=cherrypy.tree,
        )

    def __exit__(self, *_: object) -> None:
        for server in self.servers:
            server.stop()
        cherrypy.engine.exit()


class _Root:
    """Hands each request to one handler, whatever its path."""

    def __init__(self, handle: Callable[[HttpRequest], HttpResponse]) -> None:
        self.handle = handle

    def dispatch(self, _path: str) -> None:
        """Makes the handler of this class serve every path."""
        cherrypy.serving.request.config = cherrypy.config.copy()
        cherrypy.serving.request.handler = self.respond

    def respond(self) -> bytes:
        """Reads the request, hands it over and writes the response."""
        request = cherrypy.serving.request
        answered = self.handle(
            HttpRequest(
                method=request.method,
                path=request.path_info,
                body=_read_body(request),
                idempotency_key=request.headers.get("Idempotency-Key"),
                headers=request.headers,
                connection=request.wsgi_environ.get(SOCKET_ENVIRON_KEY),
            )
        )
        headers = cherrypy.serving.response.headers
        cherrypy.serving.response.status = answered.status
        headers["Content-Type"] = answered.content_type
        if answered.retry_after_ms is not None:
            headers["Retry-After"] = str(-(-answered.retry_after_ms // MS_PER_S))
        if answered.close:
            headers["Connection"] = "close"
        return answered.body


def _read_body(request: cherrypy.Request) -> bytes:
    if request.method not in ("POST", "PUT", "DELETE", "PATCH"):
        return b""
    body: bytes = request.rfile.read()
    return body


def _render_error(status: str, message: str, **_: object) -> bytes:
    code = int(status.split(" ")[0])
    kind = _KIND_BY_STATUS.get(code, ErrorKind.BAD_REQUEST)
    if code >= 500:
        kind = ErrorKind.INTERNAL
    cherrypy.serving.response.headers["Content-Type"] = JSON_TYPE
    return encode_answer(answer_error(None, DispatchError(kind, message)))


_KIND_BY_STATUS = {
    ERROR_TABLE[kind].status: kind
    for kind in (
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.NO_SUCH_PATH,
        ErrorKind.METHOD_NOT_ALLOWED,
    )
}
