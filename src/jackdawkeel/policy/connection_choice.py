"""What the connections of clients wait for.

Load: thousands of connections that send nothing, little or much, beside callers that
send a message at once and read its answer.
"""

from __future__ import annotations

from enum import Enum


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
