"""Merges the event logs of several processes into one timeline."""

from __future__ import annotations

import json
from dataclasses import dataclass
from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from ..logs import COMMON_FIELDS


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


UNKNOWN = "-"


class LogLine(msgspec.Struct, frozen=True):
    """Fields common to all lines of an event log."""

    timestamp: float
    message_type: str
    process: str = UNKNOWN
    incarnation: str = UNKNOWN
    availability_zone: str = UNKNOWN


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """One event of one process.

    Attributes:
        time: Time of logging, by the wall clock of that process.
        line: Fields common to all events.
        fields: The event's own fields.
    """

    time: datetime
    line: LogLine
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class MergedEvents:
    """The events of several logs, ordered by time.

    Attributes:
        events: The events; those with equal times keep the order of the logs.
        damaged_lines: Number of lines that are not valid events.
    """

    events: list[LoggedEvent]
    damaged_lines: int


def merge_events(logs: Iterable[Iterable[bytes]]) -> MergedEvents:
    """Parses the lines of all logs and sorts their events by time."""
    events: list[LoggedEvent] = []
    damaged_lines = 0
    for log in logs:
        for line in log:
            if not line.strip():
                continue
            event = parse_event(line)
            if event is None:
                damaged_lines += 1
            else:
                events.append(event)
    events.sort(key=lambda event: event.time)
    return MergedEvents(events, damaged_lines)


def parse_event(line: bytes) -> LoggedEvent | None:
    """Parses a line of an event log; returns None if it is not a valid event.

    Text that a log collector adds before the event, such as a host name, is ignored.
    """
    try:
        start = max(0, line.find(b"{"))
        fields = msgspec.json.decode(line[start:], type=dict[str, Any])
        common = msgspec.convert(fields, type=LogLine)
        time = datetime.fromtimestamp(common.timestamp, UTC)
    except (ValueError, OverflowError, OSError, RecursionError):
        return None
    other_fields = {
        name: item for name, item in fields.items() if name not in COMMON_FIELDS
    }
    return LoggedEvent(time, common, other_fields)


def has_value(event: LoggedEvent, value: str) -> bool:
    """Returns whether a field is equal to the value, or is a list that contains it."""
    return any(
        value in item if isinstance(item, list) else value == item
        for item in event.fields.values()
    )


def render_event(event: LoggedEvent) -> str:
    """Formats an event as one line: time, process, event name, fields."""
    line = event.line
    process = f"{line.process}/{line.incarnation}@{line.availability_zone}"
    words = [
        format_time(event.time),
        _format_text(process),
        _format_text(line.message_type),
    ]
    if event.fields:
        words.append(format_fields(event.fields))
    return " ".join(words)


def format_time(time: datetime) -> str:
    """Formats a time in UTC, to the microsecond."""
    return time.isoformat(timespec="microseconds").replace("+00:00", "Z")


def format_fields(fields: Mapping[str, object]) -> str:
    """Formats fields as ``name=value``, separated by spaces, on one line."""
    return " ".join(
        f"{_format_text(key)}={_format_value(item)}" for key, item in fields.items()
    )


def _format_value(value: object) -> str:
    if isinstance(value, str):
        return _format_text(value)
    return json.dumps(value)


def _format_text(text: str) -> str:
    is_plain = text.isprintable() and not set(text) & set(" \"'=")
    return text if is_plain and text else json.dumps(text)
