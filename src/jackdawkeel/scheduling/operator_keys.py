"""Where operators keep their intent in the store, and how it is decoded."""

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
        prefix: Start of all of them.
        configuration_key: Key of the configuration document.
        decode_configuration: Decodes that document.
        parse_evacuation_key: Returns the availability zone that a key takes out.
    """

    prefix: bytes
    configuration_key: bytes
    decode_configuration: Callable[[bytes], Result[QueueConfiguration, Exception]]
    parse_evacuation_key: Callable[[bytes], str | None]
