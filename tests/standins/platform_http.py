"""JSON over HTTP server for the stand-ins of the platform."""

from __future__ import annotations

import json
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import Self
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

from .json_server import JsonHandler
from .json_server import QuietServer


if TYPE_CHECKING:
    from collections.abc import Callable

    Body = dict[str, Any]


SHUTDOWN_POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class Request:
    """A decoded request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Body


# Status that closes the connection without an answer.
NO_ANSWER = -1


class StandinServer:
    """Serves requests with one handler function until the context exits."""

    def __init__(
        self, handle: Callable[[Request], tuple[int, Body]], host: str, port: int = 0
    ) -> None:
        self.handle = handle
        self.host = host
        self.port = port
        self.listen()
        self.address = f"{host}:{self.port}"

    def __enter__(self) -> Self:
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.refuse()

    def listen(self) -> None:
        """Accepts connections, which are served once the thread has started."""
        self.server = _Server((self.host, self.port), self.handle)
        self.port = self.server.server_address[1]
        self.thread = threading.Thread(
            target=self.server.serve_forever, args=(SHUTDOWN_POLL_S,), daemon=True
        )

    def refuse(self) -> None:
        """Refuses new connections; open ones are still served."""
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()

    def listen_again(self) -> None:
        """Accepts and serves connections after ``refuse``."""
        self.listen()
        self.thread.start()


class _Server(QuietServer):
    def __init__(
        self, address: tuple[str, int], handle: Callable[[Request], tuple[int, Body]]
    ) -> None:
        self.handle = handle
        super().__init__(address, _Handler)


class _Handler(JsonHandler):
    server: _Server

    def respond(self) -> None:
        """Passes the request to the handler function and sends its answer."""
        text = self.read_body()
        parts = urlsplit(self.path)
        request = Request(
            method=self.command,
            path=parts.path,
            query=dict(parse_qsl(parts.query)),
            headers={name.lower(): value for name, value in self.headers.items()},
            body=json.loads(text) if text else {},
        )
        status, answer = self.server.handle(request)
        if status == NO_ANSWER:
            self.close_connection = True
            return
        self.reply(status, answer)
