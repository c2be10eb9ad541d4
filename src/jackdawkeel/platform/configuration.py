"""Decodes the keys that operators write to the store."""

from __future__ import annotations

import msgspec
from result import as_result

from ..decode_errors import DECODE_ERRORS
from ..scheduling.specification import Limits
from ..scheduling.specification import Queue
from ..scheduling.specification import QueueConfiguration
from .wire import WireConfiguration
from .wire import WireRoute


OPERATOR_PREFIX = b"op/"
CONFIGURATION_KEY = b"op/config"
EVACUATION_PREFIX = b"op/evacuate/"


class ConfigurationError(Exception):
    """The configuration can't be decoded; the message is one line."""


@as_result(ConfigurationError)
def decode_configuration(value: bytes) -> QueueConfiguration:
    """Decodes the configuration document.

    Returns:
        The queues and limits, or a ``ConfigurationError``.
    """
    try:
        raw = msgspec.json.decode(value, type=WireConfiguration)
    except DECODE_ERRORS as error:
        raise ConfigurationError(str(error)) from None
    return QueueConfiguration(
        version=raw.version,
        queues=tuple(_decode_route(route) for route in raw.routes),
        limits=Limits(raw.limits.max_body_bytes),
    )


def parse_evacuation_key(key: bytes) -> str | None:
    """Returns the availability zone that a key evacuates, or None for other keys."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX).decode(errors="replace")


def _decode_route(raw: WireRoute) -> Queue:
    return Queue(
        name=raw.name,
        host=raw.host,
        prefix=raw.prefix,
        service=raw.service,
        priority=raw.priority,
        max_attempts=raw.max_attempts,
        stretch_factor=raw.stretch_factor,
        objective_ms=raw.target_latency_ms,
    )
