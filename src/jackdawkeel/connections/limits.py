"""Limits on the messages and connections of HTTP clients, and their defaults."""

from __future__ import annotations

import resource
from dataclasses import dataclass


KIB = 1024
MIB = 1024 * KIB

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

# Used where the settings don't give the memory and descriptors of the machine.
DEFAULT_MEMORY_BYTES = 1024 * MIB
MAX_DEFAULT_DESCRIPTORS = 4096

# Descriptors of files, and the shares of the others that callers and accepted links
# get; the rest is for outgoing links, the store, targets and the other listeners.
FILE_DESCRIPTORS = 200
CALLER_SHARE = 0.25
LINK_SHARE = 0.4
MIN_CALLER_CONNECTIONS = 16
MIN_LINK_CONNECTIONS = 16
# Heartbeats, readiness checks and metrics come a few times a second.
MAX_INTERNAL_CONNECTIONS = 64
# Share of the memory for messages that have not been handled and answers not taken.
MESSAGE_MEMORY_SHARE = 0.125
# Share of the memory for one body, whose decoded values take several times as much.
BODY_SHARE = 1 / 24
INTERNAL_MESSAGE_MEMORY_BYTES = 4 * MIB
LINK_MEMORY_SHARE = 0.125
# A connection that holds less never gives way to others for its memory.
SMALL_MESSAGE_BYTES = 16 * KIB


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """What one process may use.

    Attributes:
        memory_bytes: Resident memory.
        descriptors: Open descriptors.
    """

    memory_bytes: int
    descriptors: int


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of one listening address.

    Attributes:
        max_connections: Connections that are held.
        memory_bytes: Bytes of messages and answers that all connections hold together,
            without those that hold less than ``SMALL_MESSAGE_BYTES``.
        max_body_bytes: Size of the largest body that is read.
    """

    max_connections: int
    memory_bytes: int
    max_body_bytes: int


@dataclass(frozen=True, slots=True)
class LinkLimits:
    """Limits of the address for other processes.

    Attributes:
        max_connections: Accepted connections that are held.
        memory_bytes: Bytes of incomplete envelopes that all of them hold together.
    """

    max_connections: int
    memory_bytes: int


def read_machine_limits() -> MachineLimits:
    """Returns the limits of a process whose settings give none."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = MAX_DEFAULT_DESCRIPTORS
    if soft_limit != resource.RLIM_INFINITY:
        descriptors = min(descriptors, soft_limit)
    return MachineLimits(DEFAULT_MEMORY_BYTES, descriptors)


def limit_callers(machine: MachineLimits, max_body_bytes: int) -> ListenerLimits:
    """Returns the limits of the address for callers.

    Args:
        machine: Limits of the process.
        max_body_bytes: Size of the largest body that is read if the memory allows it.
    """
    memory_bytes = int(machine.memory_bytes * MESSAGE_MEMORY_SHARE)
    shared = _count_shared_descriptors(machine)
    return ListenerLimits(
        max_connections=max(MIN_CALLER_CONNECTIONS, int(shared * CALLER_SHARE)),
        memory_bytes=memory_bytes,
        max_body_bytes=min(max_body_bytes, int(machine.memory_bytes * BODY_SHARE)),
    )


def limit_internal(max_body_bytes: int) -> ListenerLimits:
    """Returns the limits of an address for checks, metrics or heartbeats.

    Args:
        max_body_bytes: Size of the largest body that is read.
    """
    return ListenerLimits(
        MAX_INTERNAL_CONNECTIONS, INTERNAL_MESSAGE_MEMORY_BYTES, max_body_bytes
    )


def limit_links(machine: MachineLimits) -> LinkLimits:
    """Returns the limits of the address for other processes.

    Args:
        machine: Limits of the process.
    """
    shared = _count_shared_descriptors(machine)
    return LinkLimits(
        max_connections=max(MIN_LINK_CONNECTIONS, int(shared * LINK_SHARE)),
        memory_bytes=int(machine.memory_bytes * LINK_MEMORY_SHARE),
    )


def _count_shared_descriptors(machine: MachineLimits) -> int:
    return max(0, machine.descriptors - FILE_DESCRIPTORS)
