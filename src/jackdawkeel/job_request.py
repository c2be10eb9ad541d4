"""Parsing and validation of the jobs that callers submit."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec
from result import Err
from result import Ok
from result import Result

from .decode_errors import DECODE_ERRORS
from .errors import DispatchError
from .errors import ErrorKind


MAX_TASKS = 240
MAX_BODY_BYTES = 8 * 1024 * 1024
# Larger bodies are refused while they are received.
MAX_READ_BYTES = 2 * MAX_BODY_BYTES
MAX_DEADLINE_MS = 3_600_000
DEFAULT_DEADLINE_MS = 60_000
MAX_NAME_LENGTH = 100


class TaskModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One task of a submitted job."""

    payload: msgspec.Raw


class JobModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a submitted job."""

    service: str
    tasks: list[TaskModel]
    team: str | None = None
    deadline_ms: int | None = None
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job whose body has been validated.

    Attributes:
        service: Name of the service that runs the tasks.
        payloads: JSON payload of each task, in the order of the tasks.
        team: Team whose quota is charged, or None.
        deadline_ms: Time from submission to expiry, in milliseconds.
        idempotent: Whether a task that has started may be started again.
        digest: SHA-256 of all fields except the deadline, in hexadecimal; bodies that
            differ only in JSON formatting have equal digests.
    """

    service: str
    payloads: list[bytes]
    team: str | None
    deadline_ms: int
    idempotent: bool
    digest: str


def parse_job_request(body: bytes) -> Result[JobRequest, DispatchError]:
    """Parses and validates the body of a submitted job."""
    if len(body) > MAX_BODY_BYTES:
        message = f"the body is larger than {MAX_BODY_BYTES} bytes"
        return Err(DispatchError(ErrorKind.BODY_TOO_LARGE, message))
    try:
        model = msgspec.json.decode(body, type=JobModel)
    except DECODE_ERRORS as error:
        return Err(_bad_request(f"the body is not a valid job: {error}"))
    violation = _find_violation(model)
    if violation:
        return Err(_bad_request(violation))
    return Ok(
        JobRequest(
            service=model.service,
            payloads=[bytes(task.payload) for task in model.tasks],
            team=model.team,
            deadline_ms=model.deadline_ms or DEFAULT_DEADLINE_MS,
            idempotent=model.idempotent,
            digest=_digest_job(model),
        )
    )


def _find_violation(model: JobModel) -> str:
    if not 1 <= len(model.service) <= MAX_NAME_LENGTH:
        return f"service must have 1 to {MAX_NAME_LENGTH} characters"
    if not 1 <= len(model.tasks) <= MAX_TASKS:
        return f"a job must have 1 to {MAX_TASKS} tasks, not {len(model.tasks)}"
    if model.team is not None and not 1 <= len(model.team) <= MAX_NAME_LENGTH:
        return f"team must have 1 to {MAX_NAME_LENGTH} characters"
    deadline_ms = model.deadline_ms
    if deadline_ms is not None and not 1 <= deadline_ms <= MAX_DEADLINE_MS:
        return f"deadline_ms must be from 1 to {MAX_DEADLINE_MS}"
    return ""


def _digest_job(model: JobModel) -> str:
    payloads = [msgspec.json.decode(task.payload) for task in model.tasks]
    canonical = [model.service, payloads, model.team, model.idempotent]
    encoded = msgspec.json.encode(canonical, order="sorted")
    return hashlib.sha256(encoded).hexdigest()


def _bad_request(message: str) -> DispatchError:
    return DispatchError(ErrorKind.BAD_REQUEST, message)
