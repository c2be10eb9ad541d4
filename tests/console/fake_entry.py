"""An HTTP server in the test's process that gives scripted replies of an entry."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from dataclasses import field
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import Self


@dataclass(frozen=True, slots=True)
class Reply:
    """Scripted reply to one request.

    Attributes:
        status: HTTP status, or 0 to close the connection without a reply.
        body: Body of the reply.
        is_cut: Whether the connection closes before the end of the body.
    """

    status: int
    body: bytes = b""
    is_cut: bool = False


DROP = Reply(0)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request received by the fake entry."""

    method: str
    path: str
    body: bytes


@dataclass(slots=True)
class FakeEntry:
    """Gives scripted replies in order, and repeats the last one.

    Attributes:
        replies: Replies by prefix of ``METHOD /path``.
        received: The requests in order of arrival.
    """

    replies: dict[str, list[Reply]]
    received: list[ReceivedRequest] = field(default_factory=list)
    url: str = ""
    _server: ThreadingHTTPServer | None = None
    _thread: threading.Thread | None = None

    def __enter__(self) -> Self:
        fake = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_any(self) -> None:
                """Records the request and replies."""
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length)
                request = ReceivedRequest(self.command, self.path, body)
                self.send(fake.next_reply(request))

            def send(self, reply: Reply) -> None:
                """Sends a reply, cuts it short, or closes the connection."""
                self.close_connection = reply.is_cut or not reply.status
                if not reply.status:
                    return
                self.send_response(reply.status)
                extra = 1 if reply.is_cut else 0
                self.send_header("Content-Length", str(len(reply.body) + extra))
                self.end_headers()
                self.wfile.write(reply.body)

            do_GET = do_PUT = do_POST = handle_any  # noqa: N815

            def log_message(self, format: str, *args: object) -> None:  # noqa: A002
                """Suppresses the log of requests."""

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.url = f"http://127.0.0.1:{self._server.server_port}"
        self._thread = threading.Thread(target=self._server.serve_forever, args=(0.01,))
        self._thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        if self._server is not None and self._thread is not None:
            self._server.shutdown()
            self._server.server_close()
            self._thread.join()

    def next_reply(self, request: ReceivedRequest) -> Reply:
        """Records a request and returns the next scripted reply, or status 404."""
        self.received.append(request)
        line = f"{request.method} {request.path}"
        for prefix, replies in self.replies.items():
            if line.startswith(prefix):
                return replies.pop(0) if len(replies) > 1 else replies[0]
        return Reply(404)
