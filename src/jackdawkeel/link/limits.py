"""Limits of links that hold for every transport."""

from __future__ import annotations


MAX_ENVELOPE_BYTES = 32 * 1024 * 1024
# Envelopes that a connection queues before it is established.
SEND_BUFFER_ENVELOPES = 64
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
