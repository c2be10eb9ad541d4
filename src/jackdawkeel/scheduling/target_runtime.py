"""The narrow interface through which an agent runs tasks on its target.

All calls block with a timeout and run on I/O threads; they change no state of the
agent.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence


class StartOutcome(StrEnum):
    """Outcome of a request to start a run."""

    STARTED = "started"
    """It runs, or the target had already accepted it."""
    STALE_TOKEN = "stale_token"
    """The target has seen a higher fencing token; nothing was done."""
    STALE_ATTEMPT = "stale_attempt"
    """This or a later attempt has ended or was stopped there; nothing was done."""
    LEASE_EXPIRED = "lease_expired"
    """The lease in the request had expired by its arrival; nothing was done."""
    NO_ROOM = "no_room"
    """The target lacks free capacity; nothing was done."""
    UNHEALTHY = "unhealthy"
    """The target accepts no runs at present; nothing was done."""
    OTHER_INCARNATION = "other_incarnation"
    """Another incarnation of the target answered; nothing was done."""
    REJECTED = "rejected"
    """The target rejects it permanently; nothing was done."""
    NOT_SENT = "not_sent"
    """No connection was established; nothing was done."""
    UNKNOWN = "unknown"
    """No conclusive reply; it may run now or later."""


# Outcomes after which an assignment may be sent to the target again.
RETRIED_OUTCOMES = frozenset(
    {
        StartOutcome.STALE_ATTEMPT,
        StartOutcome.STALE_TOKEN,
        StartOutcome.LEASE_EXPIRED,
        StartOutcome.NO_ROOM,
    }
)


class EndKind(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    OTHER = "other"
    """It was stopped, or its lease expired."""


@dataclass(frozen=True, slots=True)
class Run:
    """One attempt at a task."""

    task: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that the target lists as running.

    Attributes:
        run: The run.
        percent: Part of its work that is done, in percent.
    """

    run: Run
    percent: float


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that the target lists as ended.

    Attributes:
        number: Number of the end; it grows within one incarnation of the target.
        run: The run.
        kind: How it ended.
    """

    number: int
    run: Run
    kind: EndKind


@dataclass(frozen=True, slots=True)
class Listing:
    """A target's list of running and ended runs.

    Attributes:
        born_ms: Identifies the incarnation of the target.
        running: All runs that have not ended.
        ended: All ends that were not acknowledged.
    """

    born_ms: int
    running: Sequence[RunningTask]
    ended: Sequence[EndedTask]


class TargetFailure(StrEnum):
    """Why a call returned no result."""

    UNREACHABLE = "unreachable"
    """No connection was established; the target is not at its address."""
    NO_ANSWER = "no_answer"
    """No conclusive reply; it may have taken effect, or may still do so."""
    STALE_TOKEN = "stale_token"
    """The target has seen a higher fencing token; nothing was done."""
    OTHER_INCARNATION = "other_incarnation"
    """Another incarnation of the target answered; nothing was done."""


class TargetRuntime(Protocol):
    """The calls that an agent makes to its target."""

    def start(
        self, run: Run, payload: str, lease_until: float, fencing_token: int
    ) -> StartOutcome:
        """Starts a run with a lease until a time of the boot clock, in seconds."""
        ...

    def stop(self, run: Run, fencing_token: int) -> TargetFailure | None:
        """Stops a run, or prevents its start if it has not arrived; None on success."""
        ...

    def hold(
        self,
        lease_until: float | None,
        fencing_token: int,
        acknowledged: int,
        wait_s: float,
    ) -> Listing | TargetFailure:
        """Renews the lease unless it is None, and waits for the end of a run.

        The target discards ends up to the acknowledged number.
        """
        ...

    def set_instance(self, instance: str) -> None:
        """Sets the target instance that later calls are addressed to."""
        ...

    def close(self) -> None:
        """Closes the connections."""
        ...
