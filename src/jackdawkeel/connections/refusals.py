"""Why messages are refused and connections ended, and how often."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from threading import Lock
from typing import TYPE_CHECKING

from ..errors import DispatchError
from ..errors import ErrorKind
from ..events import EventName


if TYPE_CHECKING:
    from ..logs import EventLog


# Bounds the volume of the log, whatever clients send.
REPORT_INTERVAL_S = 5.0


class RefusalCause(StrEnum):
    """Every limit or rule for which a message is refused or a connection ended."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    FRAMING_TOO_LARGE = "framing_too_large"
    MESSAGE_TIMEOUT = "message_timeout"
    ANSWER_TIMEOUT = "answer_timeout"
    MEMORY = "memory"
    CONNECTIONS = "connections"


class MessageError(Exception):
    """A message is refused; its connection ends.

    Attributes:
        cause: What is counted.
        error: What the client is told.
    """

    def __init__(self, cause: RefusalCause, kind: ErrorKind, message: str) -> None:
        super().__init__(message)
        self.cause = cause
        self.error = DispatchError(kind, message)


class RefusalCounts:
    """Counts refusals by cause; used on the threads of all servers of a process."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.lock = Lock()

    def count(self, cause: RefusalCause) -> None:
        """Counts one refusal."""
        with self.lock:
            self.counts[cause.value] += 1

    def read(self) -> dict[str, int]:
        """Returns the number of refusals by cause."""
        with self.lock:
            return dict(self.counts)


class RefusalLog:
    """Logs the refusals of a process, as one event for all since the last one."""

    def __init__(self, counts: RefusalCounts, log: EventLog) -> None:
        self.counts = counts
        self.log = log
        self.logged: Counter[str] = Counter()

    def report(self) -> None:
        """Logs the refusals since the last call, if any; called periodically."""
        counts = Counter(self.counts.read())
        causes = counts - self.logged
        self.logged = counts
        if causes:
            self.log.record(EventName.CLIENTS_REFUSED, causes=dict(causes))
