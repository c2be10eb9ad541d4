"""How a deployment's targets report to an agent; implemented by an adapter."""

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
    """Recognises and decodes the calls of a target.

    Attributes:
        match_heartbeat: Returns the id of a target that sends a heartbeat.
        match_deregistration: Returns the id of a target that leaves.
        decode_heartbeat: Decodes a heartbeat.
    """

    match_heartbeat: Callable[[HttpRequest], str | None]
    match_deregistration: Callable[[HttpRequest], str | None]
    decode_heartbeat: Callable[[str, bytes], Result[TargetReport, Exception]]
