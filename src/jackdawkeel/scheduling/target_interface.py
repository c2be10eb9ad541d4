"""The interface for targets that report to an agent; an adapter implements it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from ..http_messages import HttpRequest
    from .target_report import TargetReport


@dataclass(frozen=True, slots=True)
class TargetInterface:
    """Recognises and decodes requests of a target.

    Attributes:
        match_heartbeat: Returns the id of the target if a request is a heartbeat.
        match_deregistration: Returns the id of the target if a request deregisters it.
        decode_heartbeat: Decodes a heartbeat.
    """

    match_heartbeat: Callable[[HttpRequest], str | None]
    match_deregistration: Callable[[HttpRequest], str | None]
    decode_heartbeat: Callable[[str, bytes], Result[TargetReport, Exception]]
