"""CherryPy's own HTTP server, cheroot, around any WSGI application."""

from __future__ import annotations

import socket
from contextlib import suppress
from threading import Thread
from typing import TYPE_CHECKING
from typing import Any

from cheroot import wsgi

from .errors import StartError


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    WsgiApplication = Callable[[dict[str, Any], Callable[..., object]], Iterable[bytes]]


SOCKET_ENVIRON_KEY = "jackdawkeel.socket"
LISTEN_BACKLOG = 1024
SOCKET_TIMEOUT_S = 30
WAKE_TIMEOUT_S = 0.2


class WsgiServer:
    """Owns one listening socket and its threads."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        threads: int,
        max_body_bytes: int,
        application: WsgiApplication,
    ) -> None:
        """Describes the server; it listens from its start.

        Args:
            host: IP to listen on.
            port: Port to listen on.
            threads: Requests that are handled at once.
            max_body_bytes: Longest body that is read.
            application: Answers the requests, on the server's threads. The socket of
                a request's connection stands in its environment.
        """
        self.address = f"{host}:{port}"
        self.server = wsgi.Server(
            (host, port),
            application,
            numthreads=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=SOCKET_TIMEOUT_S,
        )
        self.server.gateway = _SocketGateway
        self.server.max_request_body_size = max_body_bytes

    def start(self) -> None:
        """Begins to listen.

        Raises:
            StartError: If the address can't be listened on.
        """
        try:
            self.server.prepare()
        except OSError as error:
            raise StartError(f"can't listen on {self.address}: {error}") from error
        self.thread = Thread(target=self.server.serve, daemon=True, name="http-server")
        self.thread.start()

    def stop(self) -> None:
        """Ends the server after the requests under way; blocks."""
        stopping = Thread(target=self.server.stop, name="http-stop")
        stopping.start()
        # A connection wakes the selector, which checks for the stop only then; without
        # one the server stops after its own timeout.
        with suppress(OSError):
            socket.create_connection(self.server.bind_addr, WAKE_TIMEOUT_S).close()
        stopping.join()


class _SocketGateway(wsgi.Gateway_10):
    """Hands the socket of a request's connection to the application."""

    def get_environ(self) -> dict[str, object]:  # type: ignore[override]
        """Returns the WSGI environment with the socket."""
        environment: dict[str, object] = super().get_environ()  # type: ignore[no-untyped-call]
        environment[SOCKET_ENVIRON_KEY] = self.req.conn.socket
        return environment
