"""The store keys that operators write, and how to decode them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from .specification import QueueConfiguration


@dataclass(frozen=True, slots=True)
class OperatorKeys:
    """The keys that operators write.

    Attributes:
        prefix: Common prefix of all keys.
        configuration_key: Key of the configuration document.
        decode_configuration: Decodes that document.
        parse_evacuation_key: Returns the availability zone that a key evacuates, or
            None.
    """

    prefix: bytes
    configuration_key: bytes
    decode_configuration: Callable[[bytes], Result[QueueConfiguration, Exception]]
    parse_evacuation_key: Callable[[bytes], str | None]
