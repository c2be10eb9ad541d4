"""The narrow interface through which an agent runs tasks on its target.

All calls block, with timeouts, and run on I/O threads; they touch no state.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence


class StartOutcome(StrEnum):
    """What became of an assignment to start a run."""

    STARTED = "started"
    """It runs, or the target had it already."""
    STALE_TOKEN = "stale_token"
    """The target has seen a higher fencing token; nothing was done."""
    STALE_ATTEMPT = "stale_attempt"
    """This or a later attempt has ended or was stopped there; nothing was done."""
    LEASE_EXPIRED = "lease_expired"
    """The lease in the order had run out on arrival; nothing was done."""
    NO_ROOM = "no_room"
    """The target lacks room; nothing was done."""
    UNHEALTHY = "unhealthy"
    """The target takes nothing at present; nothing was done."""
    OTHER_INCARNATION = "other_incarnation"
    """Another incarnation of the target answered; nothing was done."""
    REJECTED = "rejected"
    """The target will never run it; nothing was done."""
    NOT_SENT = "not_sent"
    """No connection was made; nothing was done."""
    UNKNOWN = "unknown"
    """No answer; it may run now or later."""


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
        percent: Part of its work that is done.
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
    """What a target says that it runs, and what has ended.

    Attributes:
        born_ms: Names the incarnation of the target.
        running: All that runs.
        ended: All ends that were not acknowledged.
    """

    born_ms: int
    running: Sequence[RunningTask]
    ended: Sequence[EndedTask]


class TargetFailure(StrEnum):
    """Why a call gave no result."""

    UNREACHABLE = "unreachable"
    """No connection was made; the target is not there."""
    NO_ANSWER = "no_answer"
    """It may have taken effect, or may still do so."""
    STALE_TOKEN = "stale_token"
    """The target has seen a higher fencing token; nothing was done."""
    OTHER_INCARNATION = "other_incarnation"
    """Another incarnation of the target answered; nothing was done."""


class TargetRuntime(Protocol):
    """The calls that an agent makes to its target."""

    def start(
        self, run: Run, payload: str, lease_until: float, fencing_token: int
    ) -> StartOutcome:
        """Starts a run; the lease ends at a time of the boot clock, in seconds."""
        ...

    def stop(self, run: Run, fencing_token: int) -> TargetFailure | None:
        """Ends a run, and bars one that has not arrived; None if it was taken."""
        ...

    def hold(
        self,
        lease_until: float | None,
        fencing_token: int,
        acknowledged: int,
        wait_s: float,
    ) -> Listing | TargetFailure:
        """Renews the lease unless it is None, and waits for an end.

        Ends up to the acknowledged number are forgotten by the target.
        """
        ...

    def set_instance(self, instance: str) -> None:
        """Sets which target is meant by later calls."""
        ...

    def close(self) -> None:
        """Closes the connections."""
        ...
