"""Decodes and answers HTTP requests of callers and of the load balancer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from ..answer import answer_error
from ..answer import encode_answer
from ..errors import ERROR_TABLE
from ..errors import DispatchError
from ..errors import ErrorKind
from ..http_messages import HttpResponse
from ..job_request import MAX_BODY_BYTES
from ..scheduling.caller_calls import CallerCall
from ..scheduling.caller_calls import CancelCall
from ..scheduling.caller_calls import PendingCall
from ..scheduling.caller_calls import StateCall
from ..scheduling.caller_calls import SubmitCall
from ..scheduling.job import Job
from ..scheduling.job import JobResult
from .submissions import PlatformJobState
from .submissions import decode_job
from .submissions import encode_pending
from .submissions import encode_state


if TYPE_CHECKING:
    from ..http_messages import HttpRequest
    from ..scheduling.specification import Queue
    from ..scheduling.specification import QueueConfiguration


READINESS_PATH = "/-/readyz"
# Applies to submissions without a Deadline-Ms header.
DEFAULT_DEADLINE_S = 30.0
MAX_DEADLINE_S = 3600.0
MS_PER_S = 1000

STATE_BY_RESULT = {
    JobResult.COMPLETED: PlatformJobState.COMPLETED,
    JobResult.FAILED: PlatformJobState.FAILED,
    JobResult.CANCELLED: PlatformJobState.CANCELLED,
}


def is_readiness_check(request: HttpRequest) -> bool:
    """Returns whether a request is the load balancer's readiness check."""
    return request.path == READINESS_PATH


def decode_call(
    request: HttpRequest, configuration: QueueConfiguration | None
) -> Result[CallerCall, DispatchError]:
    """Decodes a caller's request, or returns the error with which it is refused."""
    if configuration is None:
        text = (
            "this entry has not read its configuration and the other entries' jobs yet"
        )
        return Err(DispatchError(ErrorKind.NOT_READY, text))
    host = request.headers.get("Host", "").partition(":")[0]
    queue = configuration.find_queue(host, request.path)
    if queue is None:
        return Err(
            DispatchError(
                ErrorKind.NO_SUCH_QUEUE, "no queue is configured for this host and path"
            )
        )
    job_id = request.path.removeprefix(queue.prefix)
    if request.method == "POST":
        limit = configuration.limits.max_body_bytes or MAX_BODY_BYTES
        return _decode_submission(request, queue, job_id, limit)
    if request.method == "GET":
        return Ok(StateCall(job_id) if job_id else PendingCall(queue))
    if request.method == "DELETE" and job_id:
        return Ok(CancelCall(job_id))
    text = f"method {request.method} is not allowed on this path"
    return Err(DispatchError(ErrorKind.METHOD_NOT_ALLOWED, text))


def _decode_submission(
    request: HttpRequest, queue: Queue, job_id: str, max_body_bytes: int
) -> Result[CallerCall, DispatchError]:
    if len(request.body) > max_body_bytes:
        text = f"the request body is longer than {max_body_bytes} bytes"
        return Err(DispatchError(ErrorKind.BODY_TOO_LARGE, text))
    deadline_s = _parse_deadline_s(request.headers.get("Deadline-Ms"))
    if deadline_s is None:
        text = "Deadline-Ms must be a positive number of milliseconds"
        return Err(DispatchError(ErrorKind.BAD_REQUEST, text))
    return (
        decode_job(job_id, request.body)
        .map(lambda spec: SubmitCall(queue, spec, deadline_s))
        .map_err(lambda error: error.error)
    )


def _parse_deadline_s(text: str | None) -> float | None:
    if text is None:
        return DEFAULT_DEADLINE_S
    try:
        deadline_ms = float(text)
    except ValueError:
        return None
    if not 0 < deadline_ms < float("inf"):
        return None
    return min(deadline_ms / MS_PER_S, MAX_DEADLINE_S)


def build_job_response(job: Job) -> HttpResponse:
    """Builds the response to the submission of a job that has ended."""
    if job.error is not None:
        return build_error_response(job.error, job.spec.job_id)
    return build_state_response(job)


def build_state_response(job: Job) -> HttpResponse:
    """Builds the response to a query for a job's state."""
    if job.error is not None:
        state = PlatformJobState.CANCELLED
    elif job.result is not None:
        state = STATE_BY_RESULT[job.result]
    else:
        state = PlatformJobState.RUNNING if job.has_begun else PlatformJobState.QUEUED
    return HttpResponse(200, encode_state(state))


def build_pending_response(count: int) -> HttpResponse:
    """Builds the response to a query for the number of jobs not yet started."""
    return HttpResponse(200, encode_pending(count))


def build_error_response(
    error: DispatchError, job_id: str | None = None
) -> HttpResponse:
    """Builds the response to a request that failed."""
    row = ERROR_TABLE[error.kind]
    retry_after_ms = error.retry_after_ms or row.retry_after_ms
    body = encode_answer(answer_error(job_id, error))
    return HttpResponse(row.status, body, retry_after_ms=retry_after_ms)


def build_readiness_response(is_ready: bool) -> HttpResponse:
    """Builds the response to the load balancer's readiness check."""
    return HttpResponse(200 if is_ready else 503, b"{}")
