"""HTTP server for WSGI applications, based on cheroot, the server of CherryPy."""

from __future__ import annotations

import socket
from contextlib import suppress
from threading import Thread
from typing import TYPE_CHECKING
from typing import Any

from cheroot import wsgi

from .connections.intake import ConnectionIntake
from .connections.limits import IDLE_TIMEOUT_S
from .connections.limits import MAX_HEAD_BYTES
from .errors import StartError


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from .connections.client_connection import ClientConnection
    from .connections.limits import ListenerLimits
    from .connections.refusals import RefusalCounts

    WsgiApplication = Callable[[dict[str, Any], Callable[..., object]], Iterable[bytes]]


SOCKET_ENVIRON_KEY = "jackdawkeel.socket"
DISCARD_ENVIRON_KEY = "jackdawkeel.discard_body"
LISTEN_BACKLOG = 1024
WAKE_TIMEOUT_S = 0.2
# Idle time before a probe, and between probes: a peer that has closed the connection
# replies with a reset, even if its own was lost.
KEEPALIVE_INTERVAL_S = 1
# Unanswered probes after which a connection is reset.
MAX_UNANSWERED_PROBES = 10


class WsgiServer:
    """An HTTP server with one listening socket and a pool of threads."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        threads: int,
        limits: ListenerLimits,
        application: WsgiApplication,
        refusals: RefusalCounts,
    ) -> None:
        """Creates the server, which listens once it is started.

        Args:
            host: IP address to listen on.
            port: Port to listen on.
            threads: Number of threads that handle requests.
            limits: Limits of messages and connections.
            application: WSGI application, called on the server's threads. Its environ
                has the socket of the connection under ``SOCKET_ENVIRON_KEY``, and under
                ``DISCARD_ENVIRON_KEY`` a function that releases the request's body.
            refusals: Counts the messages that are refused and connections ended.
        """
        self.address = f"{host}:{port}"
        self.server = _Server(
            (host, port),
            application,
            numthreads=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=IDLE_TIMEOUT_S,
        )
        self.server.gateway = _SocketGateway
        self.server.max_request_header_size = MAX_HEAD_BYTES
        self.server.max_request_body_size = limits.max_body_bytes
        self.server.limits = limits
        self.server.refusals = refusals

    def start(self) -> None:
        """Starts to listen and to serve requests on a thread.

        Raises:
            StartError: If listening on the address fails.
        """
        try:
            self.server.prepare()
        except OSError as error:
            raise StartError(f"can't listen on {self.address}: {error}") from error
        _enable_keepalive(self.server.socket)
        self.thread = Thread(target=self.server.serve, daemon=True, name="http-server")
        self.thread.start()

    def stop(self) -> None:
        """Stops the server; blocks until the requests in progress are answered."""
        stopping = Thread(target=self.server.stop, name="http-stop")
        stopping.start()
        # cheroot's selector checks for the stop only when it wakes up. A connection
        # wakes it at once; otherwise the server stops only after its own timeout.
        with suppress(OSError):
            socket.create_connection(self.server.bind_addr, WAKE_TIMEOUT_S).close()
        stopping.join()


def _enable_keepalive(listener: socket.socket) -> None:
    """Enables keep-alive probes on the connections that a socket will accept."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES)


class _Server(wsgi.Server):
    """A server whose threads get only complete messages."""

    limits: ListenerLimits
    refusals: RefusalCounts
    _connections: ConnectionIntake

    def prepare(self) -> None:
        """Listens, and replaces the connection manager."""
        super().prepare()
        self._connections.close()
        self._connections = ConnectionIntake(self, self.limits, self.refusals)

    def put_conn(self, conn: ClientConnection) -> None:
        """Passes a connection with its answer to the intake, also during a stop."""
        self._connections.put(conn)


class _SocketGateway(wsgi.Gateway_10):
    """Adds the connection of the request to the WSGI environ."""

    def get_environ(self) -> dict[str, object]:  # type: ignore[override]
        """Returns the WSGI environ, including what belongs to the connection."""
        environment: dict[str, object] = super().get_environ()  # type: ignore[no-untyped-call]
        environment[SOCKET_ENVIRON_KEY] = self.req.conn.socket
        environment[DISCARD_ENVIRON_KEY] = self.req.conn.discard_body
        return environment
