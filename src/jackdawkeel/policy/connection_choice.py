"""Which client connection gives way when connections or their memory run out.

Load: thousands of connections that send nothing, little or much, beside callers that
send a message at once and read its answer.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import TypeVar


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


Connection = TypeVar("Connection")


class ConnectionPhase(Enum):
    """What a connection waits for."""

    # The client reads a refusal.
    LINGERING = "lingering"
    # The first message.
    NEW = "new"
    # The rest of a message.
    RECEIVING = "receiving"
    # The client reads an answer.
    ANSWERING = "answering"
    # The next message.
    KEPT = "kept"


# A client that has taken its answers is the most likely to be an ordinary one.
YIELD_ORDER = (
    ConnectionPhase.LINGERING,
    ConnectionPhase.NEW,
    ConnectionPhase.RECEIVING,
    ConnectionPhase.ANSWERING,
    ConnectionPhase.KEPT,
)


def choose_oldest(
    by_phase: Mapping[ConnectionPhase, Iterable[Connection]],
) -> Connection | None:
    """Returns the connection that gives way to a new one, or None.

    Args:
        by_phase: Connections in the order in which they entered the phase.
    """
    for phase in YIELD_ORDER:
        oldest = next(iter(by_phase[phase]), None)
        if oldest is not None:
            return oldest
    return None


def choose_largest(
    held_bytes: Iterable[tuple[int, Connection]], min_bytes: int
) -> Connection | None:
    """Returns the connection that gives way to others for its memory, or None.

    Args:
        held_bytes: Bytes that each connection holds, and the connection.
        min_bytes: A connection that holds less is never chosen.
    """
    largest, chosen = min_bytes - 1, None
    for size, connection in held_bytes:
        if size > largest:
            largest, chosen = size, connection
    return chosen
