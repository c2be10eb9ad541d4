"""Starts tasks on a target over HTTP and classifies their results."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec
from urllib3 import Timeout
from urllib3.exceptions import HTTPError
from urllib3.exceptions import IncompleteRead
from urllib3.util import parse_url

from ..decode_errors import DECODE_ERRORS
from ..task_state import TaskState
from .connection import Attempt
from .connection import PermitExpiredError
from .connection import PermittedConnectionPool
from .connection import current_attempt


if TYPE_CHECKING:
    from types import TracebackType

    from urllib3.response import BaseHTTPResponse

    from ..clock import Clock


CONNECT_TIMEOUT_S = 2.0
POOL_WAIT_TIMEOUT_S = 1
MAX_RESULT_BYTES = 4 * 1024 * 1024
READ_CHUNK_BYTES = 64 * 1024
DEFAULT_PORT = 80
NO_CONTENT = 204


@dataclass(frozen=True, slots=True)
class TargetResult:
    """The result of calling the target for one task.

    Attributes:
        state: Any state but running.
        body: The target's JSON body, byte for byte, if the state is done.
        reason: The reason in one sentence if the state is not done.
        elapsed_s: Time from sending the request to the end of the call, in seconds;
            0 if the request was not sent.
    """

    state: TaskState
    body: bytes
    reason: str
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """The final state of a task, with its body or the reason."""

    state: TaskState
    body: bytes = b""
    reason: str = ""


class ResultTooLargeError(Exception):
    """The body of a response is larger than ``MAX_RESULT_BYTES``."""


class TargetClient:
    """Calls one target from many threads; each request is sent at most once.

    A permit is the right to start a task until a given time.

    Args:
        url: The target's URL; only http is supported.
        connections: Maximum number of open connections.
        clock: Clock by which permits expire, in seconds.

    Raises:
        ValueError: If the URL is not an http URL with a host.
    """

    def __init__(self, url: str, connections: int, clock: Clock) -> None:
        parsed = parse_url(url)
        if parsed.scheme != "http" or not parsed.host:
            raise ValueError(f"the target must be an http URL with a host: {url}")
        self.clock = clock
        self.path = (parsed.path or "").rstrip("/")
        self.pool = PermittedConnectionPool(
            parsed.host,
            parsed.port or DEFAULT_PORT,
            maxsize=connections,
            block=True,
            retries=False,
        )

    def __enter__(self) -> TargetClient:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.pool.close()

    def call(
        self,
        job_id: str,
        index: int,
        service: str,
        payload: bytes,
        permit_expires_at: float,
        timeout_s: float,
    ) -> TargetResult:
        """Starts a task and waits for its end; blocks the calling thread.

        Args:
            job_id: Id of the job.
            index: Position of the task in the job.
            service: Name of the service.
            payload: JSON payload of the task.
            permit_expires_at: When the permit expires, in seconds of the clock.
            timeout_s: Maximum time to wait for the task's end, in seconds.
        """
        attempt = Attempt(self.clock, permit_expires_at)
        token = current_attempt.set(attempt)
        headers = {
            "Task-Id": f"{job_id}/{index}",
            "Content-Type": "application/json",
            "Accept-Encoding": "identity",
        }
        path = f"{self.path}/tasks/{quote(service, safe='')}"
        try:
            outcome = self._exchange(path, headers, payload, timeout_s)
        except PermitExpiredError:
            outcome = CallOutcome(
                TaskState.NOT_STARTED, reason="the permit has expired"
            )
        except (HTTPError, OSError, ValueError) as error:
            outcome = _classify_error(attempt, error)
        finally:
            current_attempt.reset(token)
        sent_at = attempt.sent_at
        elapsed_s = 0.0 if sent_at is None else self.clock() - sent_at
        return TargetResult(outcome.state, outcome.body, outcome.reason, elapsed_s)

    def _exchange(
        self, path: str, headers: dict[str, str], payload: bytes, timeout_s: float
    ) -> CallOutcome:
        deadline_at = self.clock() + timeout_s
        response = self.pool.urlopen(
            "POST",
            path,
            body=payload,
            headers=headers,
            retries=False,
            redirect=False,
            timeout=Timeout(total=timeout_s, connect=min(timeout_s, CONNECT_TIMEOUT_S)),
            pool_timeout=POOL_WAIT_TIMEOUT_S,
            preload_content=False,
            decode_content=False,
        )
        try:
            return self._classify_response(response, deadline_at)
        finally:
            response.release_conn()

    def _classify_response(
        self, response: BaseHTTPResponse, deadline_at: float
    ) -> CallOutcome:
        if not 200 <= response.status < 300:
            self._discard_body(response, deadline_at)
            reason = f"the target responded with status {response.status}"
            return CallOutcome(TaskState.FAILED, reason=reason)
        try:
            body = self._read_body(response, deadline_at)
        except ResultTooLargeError:
            reason = f"the result is larger than {MAX_RESULT_BYTES} bytes"
            return CallOutcome(TaskState.FAILED, reason=reason)
        return _classify_body(body, has_framing(response))

    def _read_body(self, response: BaseHTTPResponse, deadline_at: float) -> bytes:
        body = bytearray()
        try:
            while chunk := response.read1(READ_CHUNK_BYTES):
                body += chunk
                if len(body) > MAX_RESULT_BYTES:
                    raise ResultTooLargeError
                if self.clock() > deadline_at:
                    raise TimeoutError("the response exceeded the timeout")
        except BaseException:
            response.close()
            raise
        return bytes(body)

    def _discard_body(self, response: BaseHTTPResponse, deadline_at: float) -> None:
        """Reads the rest of the response, so that the connection can be reused."""
        with suppress(HTTPError, OSError, ResultTooLargeError):
            self._read_body(response, deadline_at)


def has_framing(response: BaseHTTPResponse) -> bool:
    """Returns whether the protocol marks the end of the body.

    Without such framing, the body ends where the connection is closed.
    """
    if response.status == NO_CONTENT:
        return True
    if response.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return True
    return "Content-Length" in response.headers


def _classify_body(body: bytes, is_framed: bool) -> CallOutcome:
    """Classifies the body of a 2xx response that was read to its end.

    A body with framing is complete, so invalid JSON is a failure of the target. A
    body without framing may be truncated: invalid JSON is unknown, and so is a bare
    number, which may have lost digits.

    Args:
        body: The body of the response.
        is_framed: Whether the response has framing.
    """
    try:
        value = msgspec.json.decode(body)
    except DECODE_ERRORS:
        if is_framed:
            return CallOutcome(TaskState.FAILED, reason="the result is not valid JSON")
        return CallOutcome(TaskState.UNKNOWN, reason="the result may be truncated")
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and not is_framed:
        return CallOutcome(TaskState.UNKNOWN, reason="the result may be truncated")
    return CallOutcome(TaskState.DONE, body=body)


def _classify_error(attempt: Attempt, error: Exception) -> CallOutcome:
    """Classifies a failed call by whether any of the request may have been sent."""
    if attempt.sent_at is None:
        reason = f"the request was not sent to the target: {type(error).__name__}"
        return CallOutcome(TaskState.NOT_STARTED, reason=reason)
    if isinstance(error, IncompleteRead):
        return CallOutcome(TaskState.UNKNOWN, reason="the result is truncated")
    reason = f"the target's response was lost: {type(error).__name__}"
    return CallOutcome(TaskState.UNKNOWN, reason=reason)
