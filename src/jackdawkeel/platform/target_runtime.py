"""Calls of an agent to its target over the platform's HTTP interface."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import msgspec

from ..clock import read_boot_clock
from ..clock import read_running_clock
from ..decode_errors import DECODE_ERRORS
from ..scheduling.leases import TARGET_CLOCK_DRIFT
from ..scheduling.target_runtime import EndedTask
from ..scheduling.target_runtime import EndKind
from ..scheduling.target_runtime import Listing
from ..scheduling.target_runtime import Run
from ..scheduling.target_runtime import RunningTask
from ..scheduling.target_runtime import StartOutcome
from ..scheduling.target_runtime import TargetFailure
from .json_depth import prune_deep_values
from .target_connections import NoResponseError
from .target_connections import NotSentError
from .target_connections import TargetConnections
from .wire import WireFinished
from .wire import WireHold
from .wire import WireHoldResponse
from .wire import WireRunning
from .wire import WireStart
from .wire import WireStop
from .wire import WireTargetResponse


if TYPE_CHECKING:
    from ..setting_values import Address


# The target runs on the same VM and responds within a few milliseconds. A request
# without a response delays the whole job.
RESPONSE_TIMEOUT_S = 0.06
# Rounding of the target's clock, and differences between transmission delays.
CLOCK_TOLERANCE_MS = 20
MS_PER_S = 1000
JSON_HEADERS = {"Content-Type": "application/json"}

START_OUTCOME_BY_REASON = {
    "fence": StartOutcome.STALE_TOKEN,
    "old": StartOutcome.STALE_ATTEMPT,
    "late": StartOutcome.LEASE_EXPIRED,
    "room": StartOutcome.NO_ROOM,
}
LISTING_DECODER = msgspec.json.Decoder(WireHoldResponse)
RUNNING_DECODER = msgspec.json.Decoder(WireRunning)
FINISHED_DECODER = msgspec.json.Decoder(WireFinished)
# The fields of a row of a listing; they have no parts.
MAX_LISTING_DEPTH = 3

END_KIND_BY_NAME = {"done": EndKind.DONE, "failed": EndKind.FAILED}


class TargetClock:
    """Converts times of the local boot clock to the target's clock; thread-safe.

    The target's clock is assumed to have the reported value when the report arrives.
    The transmission delay therefore makes a converted time earlier, never later; only
    the drift of the clocks since then can make it later. The target's clock may not
    count the time that the machine is suspended, so that time isn't counted either.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.clock_ms = 0
        self.recorded_at = 0.0
        self.suspended_s = 0.0

    def record(self, clock_ms: int) -> None:
        """Records the target's clock from a response that has just arrived."""
        with self.lock:
            self.clock_ms = clock_ms
            self.recorded_at = read_boot_clock()
            self.suspended_s = _read_suspended_s()

    def _elapsed_s(self, at: float) -> float:
        suspended_s = max(0.0, _read_suspended_s() - self.suspended_s)
        return at - self.recorded_at - suspended_s

    def to_target_ms(self, at: float) -> int:
        """Converts a time of the boot clock, in seconds, to the target's clock."""
        with self.lock:
            return self.clock_ms + int(self._elapsed_s(at) * MS_PER_S)

    def earliest_ms(self, at: float) -> int:
        """Returns the lowest value that the target's clock can have at a time.

        A target whose clock is lower was restarted since the last report.

        Args:
            at: Time of the boot clock, in seconds.
        """
        with self.lock:
            elapsed_ms = (1 - TARGET_CLOCK_DRIFT) * self._elapsed_s(at) * MS_PER_S
            return self.clock_ms + int(elapsed_ms) - CLOCK_TOLERANCE_MS


class PlatformTargetRuntime:
    """Calls one target; thread-safe, and never retries a request.

    Args:
        address: Address at which the target accepts requests of its agent.
    """

    def __init__(self, address: Address) -> None:
        self.connections = TargetConnections(address)
        self.clock = TargetClock()
        self.headers = dict(JSON_HEADERS)

    def set_instance(self, instance: str) -> None:
        """Sets the instance of the target to which later calls are addressed."""
        self.headers = JSON_HEADERS | {"Expected-Instance": instance}

    def close(self) -> None:
        """Closes the connections."""
        self.connections.close()

    def start(
        self, run: Run, payload: str, lease_until: float, fencing_token: int
    ) -> StartOutcome:
        """Starts a run under a lease.

        Args:
            run: The task and the attempt to start.
            payload: The payload of the task.
            lease_until: End of the lease on the boot clock, in seconds.
            fencing_token: Token of this agent; the target refuses it if it has seen
                a higher one.

        Returns:
            The outcome; ``UNKNOWN`` also if the target was restarted, since its next
            incarnation may have started the run under a longer lease.
        """
        earliest_clock_ms = self.clock.earliest_ms(read_boot_clock())
        body = WireStart(
            task=run.task,
            attempt=run.attempt,
            spec=payload,
            deadline_ms=self.clock.to_target_ms(lease_until),
            fencing_token=fencing_token,
        )
        try:
            status, data = self._post("/-/run-start", body, RESPONSE_TIMEOUT_S)
        except NotSentError:
            return StartOutcome.NOT_SENT
        except NoResponseError:
            return StartOutcome.UNKNOWN
        answer = self._record_clock(data)
        if status == 200:
            is_restarted = answer.clock_ms < earliest_clock_ms
            return StartOutcome.UNKNOWN if is_restarted else StartOutcome.STARTED
        if status == 409:
            return START_OUTCOME_BY_REASON.get(answer.reason, StartOutcome.REJECTED)
        if status in (429, 503):
            return StartOutcome.UNHEALTHY
        if status == 421:
            return StartOutcome.OTHER_INCARNATION
        if status >= 500:
            return StartOutcome.UNKNOWN
        return StartOutcome.REJECTED

    def stop(self, run: Run, fencing_token: int) -> TargetFailure | None:
        """Stops a run, or prevents its start if the start request is still in transit.

        Returns:
            None if the target accepted the request, else why it failed.
        """
        body = WireStop(run.task, run.attempt, fencing_token)
        try:
            status, data = self._post("/-/run-stop", body, RESPONSE_TIMEOUT_S)
        except NotSentError:
            return TargetFailure.UNREACHABLE
        except NoResponseError:
            return TargetFailure.NO_ANSWER
        return _classify_failure(status, self._record_clock(data))

    def hold(
        self,
        lease_until: float | None,
        fencing_token: int,
        acknowledged: int,
        wait_s: float,
    ) -> Listing | TargetFailure:
        """Renews the lease and waits until a run ends, at most ``wait_s`` seconds.

        Args:
            lease_until: End of the lease on the boot clock, in seconds; None leaves
                the lease as it is.
            fencing_token: Token of this agent.
            acknowledged: Number of the last end that the agent has processed; the
                target discards its records of ends up to this number.
            wait_s: Longest wait, in seconds.
        """
        deadline_ms = None
        if lease_until is not None:
            deadline_ms = self.clock.to_target_ms(lease_until)
        body = WireHold(
            deadline_ms=deadline_ms,
            fencing_token=fencing_token,
            acked_through=acknowledged,
            wait_ms=int(wait_s * MS_PER_S),
        )
        try:
            status, data = self._post("/-/hold", body, wait_s + RESPONSE_TIMEOUT_S)
        except NotSentError:
            return TargetFailure.UNREACHABLE
        except NoResponseError:
            return TargetFailure.NO_ANSWER
        if status != 200:
            failure = _classify_failure(status, self._record_clock(data))
            return failure or TargetFailure.NO_ANSWER
        reply = _decode_listing(data)
        if reply is None:
            return TargetFailure.NO_ANSWER
        self.clock.record(reply.clock_ms)
        return Listing(
            born_ms=reply.born,
            running=[row for row in map(_decode_running, reply.running) if row],
            ended=[row for row in map(_decode_ended, reply.finished) if row],
        )

    def _post(
        self, path: str, body: msgspec.Struct, timeout_s: float
    ) -> tuple[int, bytes]:
        return self.connections.post(
            path, msgspec.json.encode(body), self.headers, timeout_s
        )

    def _record_clock(self, data: bytes) -> WireTargetResponse:
        try:
            answer = msgspec.json.decode(data, type=WireTargetResponse)
        except DECODE_ERRORS:
            return WireTargetResponse()
        if answer.clock_ms:
            self.clock.record(answer.clock_ms)
        return answer


def _read_suspended_s() -> float:
    """Returns how long the machine has been suspended since it was booted."""
    return read_boot_clock() - read_running_clock()


def _classify_failure(status: int, answer: WireTargetResponse) -> TargetFailure | None:
    if status == 200:
        return None
    if status == 421:
        return TargetFailure.OTHER_INCARNATION
    if answer.reason == "fence":
        return TargetFailure.STALE_TOKEN
    return TargetFailure.NO_ANSWER


def _decode_listing(data: bytes) -> WireHoldResponse | None:
    try:
        return LISTING_DECODER.decode(data)
    except RecursionError:
        data = prune_deep_values(data, MAX_LISTING_DEPTH)
    except DECODE_ERRORS:
        return None
    try:
        return LISTING_DECODER.decode(data)
    except DECODE_ERRORS:
        return None


def _decode_running(row: msgspec.Raw) -> RunningTask | None:
    try:
        raw = RUNNING_DECODER.decode(row)
    except DECODE_ERRORS:
        return None
    return RunningTask(Run(raw.task, raw.attempt), raw.percent)


def _decode_ended(row: msgspec.Raw) -> EndedTask | None:
    try:
        raw = FINISHED_DECODER.decode(row)
    except DECODE_ERRORS:
        return None
    kind = END_KIND_BY_NAME.get(raw.how, EndKind.OTHER)
    return EndedTask(raw.number, Run(raw.task, raw.attempt), kind)
