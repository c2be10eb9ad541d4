"""Decodes the heartbeats and deregistrations of targets."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec
from result import as_result

from ..decode_errors import DECODE_ERRORS
from ..scheduling.resources import Resources
from ..scheduling.target_report import TargetReport
from .wire import WireHeartbeat


if TYPE_CHECKING:
    from ..http_messages import HttpRequest


HEARTBEAT_PATH = re.compile(r"/-/instances/([^/]+)/heartbeat")
DEREGISTER_PATH = re.compile(r"/-/instances/([^/]+)/deregister")
READY_STATE = "ready"
DRAINING_STATE = "draining"


class HeartbeatError(Exception):
    """A heartbeat can't be decoded; the message is one line."""


def match_heartbeat(request: HttpRequest) -> str | None:
    """Returns the id of the target if the request is a heartbeat, else None."""
    return _match_instance(HEARTBEAT_PATH, request)


def match_deregistration(request: HttpRequest) -> str | None:
    """Returns the id of the target if the request is a deregistration, else None."""
    return _match_instance(DEREGISTER_PATH, request)


def _match_instance(pattern: re.Pattern[str], request: HttpRequest) -> str | None:
    match = pattern.fullmatch(request.path)
    return match.group(1) if match and request.method == "POST" else None


@as_result(HeartbeatError)
def decode_heartbeat(instance: str, body: bytes) -> TargetReport:
    """Decodes the heartbeat of a target instance."""
    try:
        raw = msgspec.json.decode(body, type=WireHeartbeat)
    except DECODE_ERRORS as error:
        raise HeartbeatError(str(error)) from None
    if raw.state not in (READY_STATE, DRAINING_STATE):
        raise HeartbeatError(f"unknown target state {raw.state!a}")
    return TargetReport(
        instance=instance,
        born_ms=raw.born,
        sequence=raw.sequence,
        service=raw.service,
        availability_zone=raw.zone,
        labels=tuple(raw.labels),
        capacity=Resources(raw.room.cpu, raw.room.mem_mb, raw.room.gpu),
        is_draining=raw.state == DRAINING_STATE,
        remaining_s=None if raw.remaining_ms is None else raw.remaining_ms / 1000,
    )
