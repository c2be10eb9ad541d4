"""Message bodies of the platform's interfaces, with the platform's field names.

Only this package uses these types; its functions convert them to the project's own.
"""

from __future__ import annotations

from typing import Annotated

import msgspec


# Larger integers are not exact in all JSON implementations.
MAX_INTEGER = 2**53 - 1
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# The error for a negative amount of a job names the step instead.
JobAmount = Annotated[int, msgspec.Meta(le=MAX_INTEGER)]


class WireStep(msgspec.Struct, frozen=True, rename="camel"):
    """A step of a submitted job; a step is a group of equal tasks."""

    count: JobAmount
    cpu: JobAmount = 0
    mem_mb: JobAmount = 0
    gpu: JobAmount = 0
    estimate_ms: JobAmount = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    # Name of the rack that stores the data of the step.
    affinity: str = ""
    max_per_server: JobAmount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


class WireJob(msgspec.Struct, frozen=True, rename="camel"):
    """The body of a submission."""

    spec: str
    steps: list[WireStep]
    best_effort: bool = False
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    long_running: bool = False


class WireCapacity(msgspec.Struct, frozen=True, rename="camel"):
    """The resources that a target offers."""

    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class WireHeartbeat(msgspec.Struct, frozen=True, rename="camel"):
    """Heartbeat of a target: its state and its capacity."""

    service: str
    zone: str
    state: str
    room: WireCapacity
    sequence: Amount
    labels: list[str] = []
    born: Amount = 0
    remaining_ms: Amount | None = None


class WireStart(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    """Request to start a task."""

    task: str
    attempt: int
    spec: str
    # End of the lease of all tasks on the target, by the target's clock.
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""


class WireStop(msgspec.Struct, frozen=True, rename="camel"):
    """Request to stop a task."""

    task: str
    attempt: int
    fencing_token: int


class WireHold(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    """Request to renew the lease and to list running and ended tasks."""

    fencing_token: int
    acked_through: int
    wait_ms: int
    # End of the lease of all tasks on the target, by the target's clock.
    deadline_ms: int | None = None


class WireTargetResponse(msgspec.Struct, frozen=True, rename="camel"):
    """Fields common to all responses of a target: its clock, and a refusal's reason."""

    clock_ms: Amount = 0
    reason: str = ""


class WireRunning(msgspec.Struct, frozen=True, array_like=True):
    """A running task in a ``WireHoldResponse``; its load may follow."""

    task: str
    attempt: Amount
    checkpoint: msgspec.Raw
    # Percentage of its work that is done.
    percent: float


class WireFinished(msgspec.Struct, frozen=True, array_like=True):
    """An ended task in a ``WireHoldResponse``; its checkpoint may follow."""

    # Sequence number of the end.
    number: Amount
    task: str
    attempt: Amount
    how: str


class WireHoldResponse(msgspec.Struct, frozen=True, rename="camel"):
    """Response to ``WireHold``: running tasks, and ended ones not yet acknowledged."""

    clock_ms: Amount = 0
    # Each row is decoded as ``WireRunning``, so that the others are valid without it.
    running: list[msgspec.Raw] = []
    # Each row is decoded as ``WireFinished``.
    finished: list[msgspec.Raw] = []
    born: Amount = 0


class WireRoute(msgspec.Struct, frozen=True, rename="camel"):
    """A queue in the operators' configuration."""

    name: str
    host: str
    prefix: str
    service: str
    priority: JobAmount = 0
    max_attempts: JobAmount = 1
    stretch_factor: float = 1.0
    target_latency_ms: JobAmount = 0


class WireLimits(msgspec.Struct, frozen=True, rename="camel"):
    """Limits in the operators' configuration."""

    max_body_bytes: int = 0


class WireConfiguration(msgspec.Struct, frozen=True, rename="camel"):
    """The operators' configuration."""

    version: int
    routes: list[WireRoute] = []
    limits: WireLimits = WireLimits()


class WireItem(msgspec.Struct, frozen=True, rename="camel"):
    """A key of the store, or a change of a key."""

    key: str = ""
    value: bytes = b""
    revision: int = 0
    deleted: bool = False
    as_of: int = 0


class WireRangePage(msgspec.Struct, frozen=True, rename="camel"):
    """A page of the result of reading a prefix."""

    items: list[WireItem] = []
    more_pages: bool = False
    as_of: int = 0


class WireWatchResponse(msgspec.Struct, frozen=True, rename="camel"):
    """Response to a watch request."""

    events: list[WireItem] = []
    as_of: int = 0


class WireCondition(msgspec.Struct, frozen=True):
    """Condition of a transaction; revision 0 requires that the key is missing."""

    key: str
    revision: int


class WireWrite(msgspec.Struct, frozen=True, omit_defaults=True):
    """Write operation of a transaction."""

    key: str
    value: bytes
    lease: int = 0


class WireTransaction(msgspec.Struct, frozen=True):
    """Writes that are applied together if all conditions hold."""

    expected: list[WireCondition]
    writes: list[WireWrite]
    remove: list[str] = []


class WireTransactionResponse(msgspec.Struct, frozen=True):
    """Result of a transaction; if a condition failed, the keys as they are."""

    revision: int = 0
    items: list[WireItem] = []


class WireLease(msgspec.Struct, frozen=True, rename="camel"):
    """A lease, in requests and responses."""

    lease: int = 0
    ttl_ms: int = 0
