"""Decodes submitted jobs and encodes the responses to their callers."""

from __future__ import annotations

import re
from enum import StrEnum

import msgspec
from result import as_result

from ..decode_errors import DECODE_ERRORS
from ..errors import DispatchError
from ..errors import ErrorKind
from ..scheduling.resources import Resources
from ..scheduling.specification import JobSpec
from ..scheduling.specification import StepSpec
from .wire import WireJob
from .wire import WireStep


JOB_ID = re.compile(r"[0-9a-f]{16}", re.ASCII)
# The platform's limit; see PROTOCOL.md, "Jobs".
MAX_SPEC_BYTES = 4000
# Bounds the memory of one job. The largest expected job has 240 tasks.
MAX_TASKS = 10_000
MAX_STEPS = 1000
# Dependencies of all steps together.
MAX_DEPENDENCIES = 100_000
# Checked on the text of a job, whose decoded values take many times its length.
MAX_OBJECTS = MAX_STEPS + MAX_SPEC_BYTES + 1
MAX_SEPARATORS = MAX_DEPENDENCIES + 20 * MAX_STEPS + MAX_SPEC_BYTES


class PlatformJobState(StrEnum):
    """State of a job as the platform names it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class SubmissionError(Exception):
    """A submission is refused.

    Attributes:
        error: The error that is returned to the caller.
    """

    def __init__(self, kind: ErrorKind, message: str) -> None:
        super().__init__(message)
        self.error = DispatchError(kind, message)


@as_result(SubmissionError)
def decode_job(job_id: str, body: bytes) -> JobSpec:
    """Decodes and validates a submitted job."""
    if not JOB_ID.fullmatch(job_id):
        text = "the job id must be 16 lower-case hexadecimal digits"
        raise SubmissionError(ErrorKind.BAD_REQUEST, text)
    _check_text(body)
    try:
        raw = msgspec.json.decode(body, type=WireJob)
    except DECODE_ERRORS as error:
        raise SubmissionError(ErrorKind.BAD_REQUEST, f"invalid job: {error}") from None
    _check_job(raw)
    steps = tuple(_decode_step(index, step) for index, step in enumerate(raw.steps))
    return JobSpec(job_id, raw.spec, steps)


def encode_state(state: PlatformJobState) -> bytes:
    """Encodes the state of a job."""
    return msgspec.json.encode({"state": state.value})


def encode_pending(count: int) -> bytes:
    """Encodes the number of jobs that have not started."""
    return msgspec.json.encode({"pending": count})


def _check_text(body: bytes) -> None:
    if body.count(b"{") > MAX_OBJECTS or body.count(b",") > MAX_SEPARATORS:
        text = f"a job may have at most {MAX_STEPS} steps"
        text += f" and {MAX_DEPENDENCIES} dependencies"
        raise SubmissionError(ErrorKind.BAD_REQUEST, text)


def _check_job(raw: WireJob) -> None:
    if len(raw.spec.encode()) > MAX_SPEC_BYTES:
        text = f"spec is longer than {MAX_SPEC_BYTES} bytes"
        raise SubmissionError(ErrorKind.BAD_REQUEST, text)
    if not 1 <= len(raw.steps) <= MAX_STEPS:
        text = f"a job must have 1 to {MAX_STEPS} steps"
        raise SubmissionError(ErrorKind.BAD_REQUEST, text)
    if sum(step.count for step in raw.steps) > MAX_TASKS:
        text = f"a job may have at most {MAX_TASKS} tasks"
        raise SubmissionError(ErrorKind.BAD_REQUEST, text)
    if sum(len(step.after) for step in raw.steps) > MAX_DEPENDENCIES:
        text = f"a job may have at most {MAX_DEPENDENCIES} dependencies"
        raise SubmissionError(ErrorKind.BAD_REQUEST, text)
    if not raw.best_effort:
        _reject_unsupported("jobs that are not best-effort")
    if raw.repeat_count or raw.start_at_ms:
        _reject_unsupported("scheduled jobs")


def _decode_step(index: int, raw: WireStep) -> StepSpec:
    _check_step(index, raw)
    return StepSpec(
        count=raw.count,
        demand=Resources(raw.cpu, raw.mem_mb, raw.gpu),
        estimate_ms=raw.estimate_ms,
        after=tuple(raw.after),
        required_label=raw.required_label,
        preferred_rack=raw.affinity,
        same_rack=raw.same_rack,
        max_per_target=raw.max_per_server,
    )


def _check_step(index: int, raw: WireStep) -> None:
    amounts = (raw.cpu, raw.mem_mb, raw.gpu, raw.estimate_ms, raw.max_per_server)
    if raw.count < 1 or min(amounts) < 0:
        text = f"step {index} must have a positive count and no negative amounts"
        raise SubmissionError(ErrorKind.BAD_REQUEST, text)
    if any(not 0 <= earlier < index for earlier in raw.after):
        text = f"step {index} may depend only on earlier steps"
        raise SubmissionError(ErrorKind.BAD_REQUEST, text)
    if raw.gang:
        _reject_unsupported("gangs")
    if raw.long_running or raw.target_ms or raw.fills:
        _reject_unsupported("tasks that run until they are cancelled")


def _reject_unsupported(feature: str) -> None:
    text = f"{feature} are not supported; the job was not started"
    raise SubmissionError(ErrorKind.UNSUPPORTED, text)


def format_task_name(job_id: str, step: int, index: int) -> str:
    """Returns the platform's name of a task.

    The 0 numbers the repetition of the job; the project runs each job once.
    """
    return f"{job_id}.0.{step}.{index}"
