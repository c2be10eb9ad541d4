"""The HTTP server of an entry, on CherryPy.

Its threads read a request, pass it to a handler, wait and write the response. They
access no state of the dispatcher.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Self

import cherrypy

from ..answer import answer_error
from ..answer import encode_answer
from ..connections.limits import limit_internal
from ..errors import ERROR_TABLE
from ..errors import DispatchError
from ..errors import ErrorKind
from ..http_messages import JSON_TYPE
from ..http_messages import MS_PER_S
from ..http_messages import HttpRequest
from ..http_messages import HttpResponse
from ..wsgi_server import DISCARD_ENVIRON_KEY
from ..wsgi_server import SOCKET_ENVIRON_KEY
from ..wsgi_server import WsgiServer


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from ..connections.limits import ListenerLimits
    from ..connections.refusals import RefusalCounts
    from ..setting_values import Address


# Additional listeners serve readiness checks and metrics, about one request a second.
ADDITIONAL_LISTENER_THREADS = 2
ADDITIONAL_LISTENER_BODY_BYTES = 64 * 1024


class HttpServer:
    """Owns CherryPy's engine and its servers; only one instance per process."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        threads: int,
        limits: ListenerLimits,
        refusals: RefusalCounts,
        handle: Callable[[HttpRequest], HttpResponse],
        additional_addresses: Sequence[Address] = (),
    ) -> None:
        """Creates the server; entering the context starts to listen.

        Entering raises ``StartError`` if an address can't be listened on.

        Args:
            host: IP to listen on.
            port: Port to listen on.
            threads: Number of requests that are handled concurrently.
            limits: Limits of the messages and connections of callers.
            refusals: Counts the messages that are refused and connections ended.
            handle: Answers a request; called on the server's threads.
            additional_addresses: Further addresses to listen on, each with
                ``ADDITIONAL_LISTENER_THREADS`` threads.
        """
        self.handle = handle
        self.refusals = refusals
        self.servers = [self._make_server(host, port, threads, limits)]
        for address in additional_addresses:
            server = self._make_server(
                address.host,
                address.port,
                ADDITIONAL_LISTENER_THREADS,
                limit_internal(ADDITIONAL_LISTENER_BODY_BYTES),
            )
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
        # CherryPy's own server adapter polls for each server's start every 0.1 s, so
        # the servers are started here instead.
        cherrypy.server.unsubscribe()
        root = _RootHandler(self.handle)
        cherrypy.tree.mount(root, "/", {"/": {"request.dispatch": root.dispatch}})
        cherrypy.engine.start()
        for server in self.servers:
            server.start()
        return self

    def _make_server(
        self, host: str, port: int, threads: int, limits: ListenerLimits
    ) -> WsgiServer:
        return WsgiServer(
            host=host,
            port=port,
            threads=threads,
            limits=limits,
            application=cherrypy.tree,
            refusals=self.refusals,
        )

    def __exit__(self, *_: object) -> None:
        for server in self.servers:
            server.stop()
        cherrypy.engine.exit()


class _RootHandler:
    """Passes every request to one handler, whatever its path."""

    def __init__(self, handle: Callable[[HttpRequest], HttpResponse]) -> None:
        self.handle = handle

    def dispatch(self, _path: str) -> None:
        """Selects ``respond`` as the handler of the current request."""
        cherrypy.serving.request.config = cherrypy.config.copy()
        cherrypy.serving.request.handler = self.respond

    def respond(self) -> bytes:
        """Reads the current request, calls the handler and sets the response."""
        request = cherrypy.serving.request
        response = self.handle(
            HttpRequest(
                method=request.method,
                path=request.path_info,
                body=_read_body(request),
                idempotency_key=request.headers.get("Idempotency-Key"),
                headers=request.headers,
                connection=request.wsgi_environ.get(SOCKET_ENVIRON_KEY),
                release_body=request.wsgi_environ.get(DISCARD_ENVIRON_KEY),
            )
        )
        headers = cherrypy.serving.response.headers
        cherrypy.serving.response.status = response.status
        headers["Content-Type"] = response.content_type
        if response.retry_after_ms is not None:
            headers["Retry-After"] = str(-(-response.retry_after_ms // MS_PER_S))
        if response.close:
            headers["Connection"] = "close"
        return response.body


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
