"""HTTP server and JSON request handler shared by the stand-ins."""

from __future__ import annotations

import json
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import Any


class QuietServer(ThreadingHTTPServer):
    """A server with a daemon thread for each connection."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores errors of connections, such as a client that disconnects."""


class JsonHandler(BaseHTTPRequestHandler):
    """Answers requests with JSON over persistent connections."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_GET(self) -> None:
        self.respond()

    def do_POST(self) -> None:
        self.respond()

    def do_DELETE(self) -> None:
        self.respond()

    def respond(self) -> None:
        """Handles a request of any method."""
        raise NotImplementedError

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
        """Suppresses the access log."""

    def read_body(self) -> bytes:
        """Returns the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status: int, answer: dict[str, Any]) -> None:
        """Sends a JSON response."""
        body = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()
