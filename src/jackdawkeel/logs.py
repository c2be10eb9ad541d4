"""The event log of a process: one line of JSON an event, in eliot's form."""

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
    """The part of a file that eliot needs, over a function."""

    def __init__(self, write: Callable[[bytes], object]) -> None:
        self.write = write

    def flush(self) -> None:
        """Does nothing, because every line is handed on at once."""


class EventLog:
    """Records the events of one process.

    Each line has ``timestamp`` (wall clock, in seconds since 1970), ``message_type``
    (the event), ``process``, ``incarnation`` (short), ``availability_zone``,
    ``task_uuid`` (the whole incarnation) and ``task_level`` (the number of the line).
    Lines are queued and written by a thread, so recording neither blocks nor fails.

    Attributes:
        process: The role of the process, such as ``agent``.
        incarnation: The incarnation of the process.
        availability_zone: Where it runs.
    """

    def __init__(
        self,
        process: str,
        incarnation: str,
        availability_zone: str,
        write: Callable[[bytes], object] | None = None,
    ) -> None:
        """Creates the log.

        Args:
            process: The role of the process.
            incarnation: The incarnation of the process.
            availability_zone: Where it runs.
            write: Takes each line as bytes; standard output if None.
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
        # eliot.log_message costs several times as much, for a UUID and an action.
        self._emit = eliot.FileDestination(file=_CallbackFile(write))

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def close(self) -> None:
        """Writes what is queued; it is also called at the exit of the process."""
        if self._writer is not None:
            self._writer.close()

    def record(self, event: EventName, **fields: Any) -> None:
        """Records an event.

        Args:
            event: What happened.
            **fields: Further JSON values; the names of the common fields are taken.
        """
        self._write_event(event, fields)
        if self._writer is not None and self._writer.dropped > self._reported_drops:
            self._report_drops(self._writer)

    def record_exception(self, activity: str) -> None:
        """Records the exception that is being handled as an internal error."""
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
            # A field that JSON can't carry is worth less than the event.
            escaped = {name: ascii(value) for name, value in fields.items()}
            self._emit(escaped | {key: message[key] for key in COMMON_FIELDS})

    def _report_drops(self, writer: LineWriter) -> None:
        dropped = writer.dropped
        if len(writer) < writer.max_pending:
            count = dropped - self._reported_drops
            self._reported_drops = dropped
            self._write_event(EventName.EVENTS_DROPPED, {"count": count})


def _find_standard_output() -> int | None:
    # A number alone won't do: if standard output was closed before the start, the
    # first socket gets its number.
    return None if sys.__stdout__ is None else sys.__stdout__.fileno()
