"""The answer to a job request, as callers receive it, and its JSON encoding."""

from __future__ import annotations

import msgspec

from .errors import ERROR_TABLE
from .errors import OUTCOME_STATUS
from .errors import DispatchError
from .errors import ErrorKind
from .errors import Outcome


class TaskCounts(msgspec.Struct, frozen=True):
    """Number of a job's tasks by the state in which they ended."""

    done: int = 0
    failed: int = 0
    unknown: int = 0
    not_started: int = 0


class AnswerError(msgspec.Struct, frozen=True, omit_defaults=True):
    """The error of an answer; an answer with an error has no results.

    Attributes:
        kind: The kind of error.
        message: One sentence for the caller.
        tasks: Number of the job's tasks by state, or None if not reported.
    """

    kind: ErrorKind
    message: str
    tasks: TaskCounts | None = None


class Answer(msgspec.Struct, frozen=True, omit_defaults=True):
    """An answer as the public HTTP interface encodes it.

    Attributes:
        id: The job id, or None if the request was refused before it had one.
        outcome: The outcome of the job.
        final: Whether repeating the request with this id gives no new information.
        results: JSON result of each task, in the order of the tasks; only if done.
        error: The error, for every outcome except done and running.
        retry_after_ms: Delay before the caller should retry, in milliseconds.
    """

    id: str | None
    outcome: Outcome
    final: bool
    results: list[msgspec.Raw] | None = None
    error: AnswerError | None = None
    retry_after_ms: int | None = None


def answer_done(job_id: str, results: list[bytes]) -> Answer:
    """Builds the answer for a job whose tasks are all done."""
    bodies = [msgspec.Raw(result) for result in results]
    return Answer(id=job_id, outcome=Outcome.DONE, final=True, results=bodies)


def answer_running(job_id: str) -> Answer:
    """Builds the answer for a job that has not ended."""
    return Answer(id=job_id, outcome=Outcome.RUNNING, final=False)


def answer_error(
    job_id: str | None, error: DispatchError, tasks: TaskCounts | None = None
) -> Answer:
    """Builds the answer for an error from its row in ``ERROR_TABLE``."""
    row = ERROR_TABLE[error.kind]
    retry_after_ms = error.retry_after_ms
    if retry_after_ms is None:
        retry_after_ms = row.retry_after_ms
    return Answer(
        id=job_id,
        outcome=row.outcome,
        final=row.final,
        error=AnswerError(error.kind, error.message, tasks),
        retry_after_ms=retry_after_ms,
    )


def get_http_status(answer: Answer) -> int:
    """Returns the HTTP status of an answer."""
    if answer.error is not None:
        return ERROR_TABLE[answer.error.kind].status
    return OUTCOME_STATUS[answer.outcome]


def encode_answer(answer: Answer) -> bytes:
    """Encodes an answer as JSON."""
    return msgspec.json.encode(answer)


def decode_answer(body: bytes) -> Answer:
    """Decodes an answer from JSON.

    Raises:
        msgspec.ValidationError: If the body is not an answer.
    """
    return msgspec.json.decode(body, type=Answer)
