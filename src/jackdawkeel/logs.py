"""The event log of a process: one JSON line per event, in eliot's format."""

from __future__ import annotations

import itertools
import sys
import time
import traceback
from typing import TYPE_CHECKING
from typing import Any
from typing import Self

import eliot

from .events import EventName
from .line_writer import LineWriter


if TYPE_CHECKING:
    from collections.abc import Callable


SHORT_INCARNATION_LENGTH = 8
COMMON_FIELDS = (
    "process",
    "incarnation",
    "availability_zone",
    "task_uuid",
    "task_level",
    "timestamp",
    "message_type",
)


class _CallbackFile:
    """Adapts a function to the file interface that eliot writes to."""

    def __init__(self, write: Callable[[bytes], object]) -> None:
        self.write = write

    def flush(self) -> None:
        """Does nothing: each line is passed to the function at once."""


class EventLog:
    """Records the events of one process.

    Each line has ``timestamp`` (wall clock, in seconds since 1970), ``message_type``
    (the event), ``process``, ``incarnation`` (short), ``availability_zone``,
    ``task_uuid`` (the full incarnation) and ``task_level`` (the number of the line).
    A separate thread writes the lines, so recording neither blocks nor fails.

    Attributes:
        process: The role of the process, such as ``agent``.
        incarnation: The incarnation of the process, unique to each start of it.
        availability_zone: The availability zone of the process.
    """

    def __init__(
        self,
        process: str,
        incarnation: str,
        availability_zone: str,
        write: Callable[[bytes], object] | None = None,
    ) -> None:
        """Creates a log that writes to standard output or to a function.

        Args:
            process: The role of the process.
            incarnation: The incarnation of the process.
            availability_zone: The availability zone of the process.
            write: Called with each line; None writes to standard output.
        """
        self.process = process
        self.incarnation = incarnation
        self.availability_zone = availability_zone
        self._writer: LineWriter | None = None
        if write is None:
            self._writer = LineWriter(_find_standard_output())
            write = self._writer.write
        self._reported_drops = 0
        self._numbers = itertools.count(1)
        self._common = {
            "process": process,
            "incarnation": incarnation[:SHORT_INCARNATION_LENGTH],
            "availability_zone": availability_zone,
            "task_uuid": incarnation,
        }
        # eliot.log_message takes several times as long: it creates a UUID and an
        # action for each message.
        self._emit = eliot.FileDestination(file=_CallbackFile(write))

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def close(self) -> None:
        """Flushes the queued lines; also called when the process exits."""
        if self._writer is not None:
            self._writer.close()

    def record(self, event: EventName, **fields: Any) -> None:
        """Records an event.

        Args:
            event: The kind of event.
            **fields: Further JSON values; one named like a common field is replaced
                by it.
        """
        self._write_event(event, fields)
        if self._writer is not None and self._writer.dropped > self._reported_drops:
            self._report_drops(self._writer)

    def record_exception(self, activity: str) -> None:
        """Records the exception being handled as an internal error.

        Args:
            activity: What the process was doing when the exception was raised.
        """
        self.record(
            EventName.INTERNAL_ERROR, doing=activity, trace=traceback.format_exc()
        )

    def _write_event(self, event: EventName, fields: dict[str, Any]) -> None:
        message = fields | self._common
        message["message_type"] = event.value
        message["timestamp"] = time.time()
        message["task_level"] = [next(self._numbers)]
        try:
            self._emit(message)
        except (TypeError, ValueError, RecursionError):
            # JSON can't encode one of the fields: log their representations instead of
            # losing the event.
            escaped = {name: ascii(value) for name, value in fields.items()}
            self._emit(escaped | {key: message[key] for key in COMMON_FIELDS})

    def _report_drops(self, writer: LineWriter) -> None:
        dropped = writer.dropped
        if len(writer) < writer.max_pending:
            count = dropped - self._reported_drops
            self._reported_drops = dropped
            self._write_event(EventName.EVENTS_DROPPED, {"count": count})


def _find_standard_output() -> int | None:
    # Descriptor 1 is not necessarily standard output: if that was closed before the
    # process started, the first socket is opened as descriptor 1.
    return None if sys.__stdout__ is None else sys.__stdout__.fileno()
