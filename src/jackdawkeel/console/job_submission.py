"""Submits a job under one id and retries if the answer is lost."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec
from result import Err
from result import Ok
from result import Result

from ..decode_errors import DECODE_ERRORS
from ..errors import ErrorKind
from ..settings import MS_PER_S
from .entry_client import CallError
from .entry_client import EntryResponse
from .responses import OK_STATUS
from .responses import read_answer


if TYPE_CHECKING:
    from ..answer import Answer
    from .entry_client import EntryClient


MAX_ATTEMPTS = 6
FIRST_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0


class IdsRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/ids``."""

    service: str
    count: int


class IdsResponse(msgspec.Struct, frozen=True):
    """Response to ``POST /v1/ids``."""

    ids: list[str]


@dataclass(slots=True)
class RetryState:
    """Limits the attempts of a call in number and time, and counts them.

    Attributes:
        deadline: Time after which no attempt starts, on the monotonic clock in seconds.
        attempts_made: Number of attempts so far.
        may_have_arrived: Whether the entry may have received one of the attempts.
    """

    deadline: float
    attempts_made: int = 0
    may_have_arrived: bool = False

    def remaining_s(self) -> float:
        """Returns the seconds until the deadline, but at least one millisecond."""
        return max(1 / MS_PER_S, self.deadline - time.monotonic())

    def wait_before_retry(self, retry_after_ms: int | None = None) -> bool:
        """Waits before the next attempt; returns False if attempts or time run out.

        Args:
            retry_after_ms: Wait that the entry requests, in milliseconds; None for
                exponential backoff. Both are limited to ``MAX_RETRY_DELAY_S``.
        """
        if self.attempts_made >= MAX_ATTEMPTS:
            return False
        delay_s = min(
            MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2 ** (self.attempts_made - 1)
        )
        if retry_after_ms is not None:
            delay_s = min(MAX_RETRY_DELAY_S, retry_after_ms / MS_PER_S)
        if time.monotonic() + delay_s >= self.deadline:
            return False
        time.sleep(delay_s)
        return True


def call_with_retries(
    client: EntryClient, method: str, path: str, body: bytes, retry_state: RetryState
) -> Result[EntryResponse, CallError]:
    """Calls an entry until a response is final, or attempts or time run out.

    Only for calls that are safe to repeat, such as submitting a job under its id.
    """
    while True:
        retry_state.attempts_made += 1
        call_result = client.call(method, path, retry_state.remaining_s(), body)
        if isinstance(call_result, Err):
            retry_state.may_have_arrived |= call_result.err_value.may_have_arrived
            if not retry_state.wait_before_retry():
                return call_result
            continue
        retry_state.may_have_arrived = True
        answer = read_answer(call_result.ok_value)
        if answer is None or not _is_retryable(answer):
            return call_result
        if not retry_state.wait_before_retry(answer.retry_after_ms):
            return call_result


def request_job_id(
    client: EntryClient, service: str, timeout_s: float
) -> Result[str, EntryResponse | CallError]:
    """Requests a new job id from the entry; this starts no task."""
    retry_state = RetryState(time.monotonic() + timeout_s)
    body = msgspec.json.encode(IdsRequest(service, 1))
    call_result = call_with_retries(client, "POST", "/v1/ids", body, retry_state)
    if isinstance(call_result, Err):
        return Err(call_result.err_value)
    response = call_result.ok_value
    if response.status != OK_STATUS:
        return Err(response)
    try:
        return Ok(msgspec.json.decode(response.body, type=IdsResponse).ids[0])
    except (*DECODE_ERRORS, IndexError):
        return Err(
            CallError("the reply to /v1/ids contains no id", may_have_arrived=True)
        )


def put_job(
    client: EntryClient, job_id: str, body: bytes, retry_state: RetryState
) -> Result[EntryResponse, CallError]:
    """Submits a job under its id; retries with the same id if the answer is lost."""
    path = f"/v1/jobs/{quote(job_id, safe='')}"
    return call_with_retries(client, "PUT", path, body, retry_state)


def _is_retryable(answer: Answer) -> bool:
    if answer.final:
        return False
    return answer.error is None or answer.error.kind is not ErrorKind.CONFLICT
