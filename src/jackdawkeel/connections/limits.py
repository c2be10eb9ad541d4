"""Limits on the messages and connections of HTTP clients, and their defaults."""

from __future__ import annotations

from dataclasses import dataclass


KIB = 1024

# Request line and header fields of one message.
MAX_HEAD_BYTES = 32 * KIB
MAX_HEADER_LINES = 128
# Empty lines before a request line, which clients may send after a body.
MAX_EMPTY_LINES = 4
# Chunk sizes, chunk extensions and trailers of one message.
MAX_FRAMING_BYTES = 256 * KIB
MAX_FRAMING_LINE_BYTES = 4 * KIB

# From the first to the last byte of a message, and for the client to take its answer.
MESSAGE_TIMEOUT_S = 30
ANSWER_TIMEOUT_S = 30
# Without a message, before the first one and between two.
IDLE_TIMEOUT_S = 30
# After a refusal, until the client has read it.
LINGER_TIMEOUT_S = 1
MAX_LINGER_BYTES = 256 * KIB


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of one listening address.

    Attributes:
        max_body_bytes: Size of the largest body that is read.
    """

    max_body_bytes: int
