"""Submits a job under one id, again where its answer was lost."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec
from result import Err
from result import Ok
from result import Result

from ..errors import ErrorKind
from ..settings import MS_PER_S
from .entry_client import CallError
from .entry_client import EntryReply
from .replies import OK_STATUS
from .replies import read_answer


if TYPE_CHECKING:
    from ..answer import Answer
    from .entry_client import EntryClient


MAX_ATTEMPTS = 6
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0


class IdsRequest(msgspec.Struct, frozen=True):
    """The body of ``POST /v1/ids``."""

    service: str
    count: int


class IdsReply(msgspec.Struct, frozen=True):
    """The reply to ``POST /v1/ids``."""

    ids: list[str]


@dataclass(slots=True)
class RetryState:
    """Bounds repeated calls by number and time.

    Attributes:
        deadline: When to give up, on the monotonic clock in seconds.
        attempts_made: RetryState attempts_made.
        may_have_arrived: Whether the entry may have got one of them.
    """

    deadline: float
    attempts_made: int = 0
    may_have_arrived: bool = False

    def remaining_s(self) -> float:
        """Returns the seconds left, or a millisecond."""
        return max(1 / MS_PER_S, self.deadline - time.monotonic())

    def pause(self, retry_after_ms: int | None = None) -> bool:
        """Waits before the next attempt; returns False if there is none."""
        if self.attempts_made >= MAX_ATTEMPTS:
            return False
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** (self.attempts_made - 1))
        if retry_after_ms is not None:
            pause_s = min(MAX_PAUSE_S, retry_after_ms / MS_PER_S)
        if time.monotonic() + pause_s >= self.deadline:
            return False
        time.sleep(pause_s)
        return True


def call_with_retries(
    client: EntryClient, method: str, path: str, body: bytes, retry_state: RetryState
) -> Result[EntryReply, CallError]:
    """Calls until there is a reply that is final, or the retry_state are used up.

    Only for calls that are safe to repeat, such as a job under its id.
    """
    while True:
        retry_state.attempts_made += 1
        call_result = client.call(method, path, retry_state.remaining_s(), body)
        if isinstance(call_result, Err):
            retry_state.may_have_arrived |= call_result.err_value.may_have_arrived
            if not retry_state.pause():
                return call_result
            continue
        retry_state.may_have_arrived = True
        answer = read_answer(call_result.ok_value)
        if answer is None or not _is_retryable(answer):
            return call_result
        if not retry_state.pause(answer.retry_after_ms):
            return call_result


def request_job_id(
    client: EntryClient, service: str, timeout_s: float
) -> Result[str, EntryReply | CallError]:
    """Takes one job id from the entry, which starts nothing."""
    retry_state = RetryState(time.monotonic() + timeout_s)
    body = msgspec.json.encode(IdsRequest(service, 1))
    call_result = call_with_retries(client, "POST", "/v1/ids", body, retry_state)
    if isinstance(call_result, Err):
        return Err(call_result.err_value)
    reply = call_result.ok_value
    if reply.status != OK_STATUS:
        return Err(reply)
    try:
        return Ok(msgspec.json.decode(reply.body, type=IdsReply).ids[0])
    except (msgspec.MsgspecError, UnicodeDecodeError, IndexError):
        return Err(CallError("the reply to /v1/ids holds no id", may_have_arrived=True))


def put_job(
    client: EntryClient, job_id: str, body: bytes, retry_state: RetryState
) -> Result[EntryReply, CallError]:
    """Submits a job under its id, again with the same id if the answer is lost."""
    path = f"/v1/jobs/{quote(job_id, safe='')}"
    return call_with_retries(client, "PUT", path, body, retry_state)


def _is_retryable(answer: Answer) -> bool:
    if answer.final:
        return False
    return answer.error is None or answer.error.kind is not ErrorKind.CONFLICT
