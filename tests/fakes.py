"""Test doubles: clock, log, recorder of messages and unresponsive addresses."""

from __future__ import annotations

import contextlib
import json
import socket
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from jackdawkeel.logs import EventLog
from jackdawkeel.messages import Message
from jackdawkeel.messages import PeerAddress


if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass
class FakeClock:
    """A clock whose time changes only by ``advance``."""

    now: float = 1000.0

    def __call__(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self.now += seconds


@dataclass
class SentMessage:
    """A sent message and its recipient."""

    recipient: PeerAddress
    message: Message


@dataclass
class Outbox:
    """Records sent messages and the link addresses that were redialled."""

    sent: list[SentMessage] = field(default_factory=list)
    redialled: list[str] = field(default_factory=list)

    def send(self, recipient: PeerAddress, message: Message) -> None:
        """Records a message."""
        self.sent.append(SentMessage(recipient, message))

    def redial(self, link: str) -> bool:
        """Records a redial."""
        self.redialled.append(link)
        return True

    def pop_messages(self) -> list[Message]:
        """Returns the recorded messages and clears them."""
        messages = [sent.message for sent in self.sent]
        self.sent.clear()
        return messages


def make_log(lines: list[bytes] | None = None) -> EventLog:
    """Returns a log that appends its lines to a list, if one is given."""
    sink: list[bytes] = [] if lines is None else lines
    return EventLog("test", "0" * 16, "zone-a", sink.append)


def make_address(name: str, port: int = 1) -> PeerAddress:
    """Returns the address of a process, which need not exist."""
    return PeerAddress(name, f"tcp://127.0.0.1:{port}")


@contextlib.contextmanager
def refusing_url() -> Iterator[str]:
    """Yields a URL whose port is bound but not listening, so it refuses connections."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{unused.getsockname()[1]}"


@contextlib.contextmanager
def unresponsive_url() -> Iterator[str]:
    """Yields a URL whose port accepts connections and never responds."""
    with socket.create_server(("127.0.0.1", 0)) as silent:
        yield f"http://127.0.0.1:{silent.getsockname()[1]}"


def read_lines(lines: list[bytes]) -> list[dict[str, Any]]:
    """Returns the fields of all log lines that a log of ``make_log`` has written."""
    return [json.loads(line) for line in lines if line.strip()]
