"""The error kinds and the outcome, HTTP status and retry delay of each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """The outcome of a job, as an answer states it."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUNNING = "running"


class ErrorKind(StrEnum):
    """Every kind of error that an answer can have."""

    BAD_REQUEST = "bad_request"
    NO_SUCH_PATH = "no_such_path"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NO_SUCH_SERVICE = "no_such_service"
    NO_SUCH_ID = "no_such_id"
    NOT_SUBMITTED = "not_submitted"
    NO_SUCH_TICKET = "no_such_ticket"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TOO_LARGE = "head_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    NO_SUCH_QUEUE = "no_such_queue"
    NO_SUCH_JOB = "no_such_job"
    UNSUPPORTED = "unsupported"
    CONFLICT = "conflict"
    SUPERSEDED = "superseded"
    TICKET_CONFLICT = "ticket_conflict"
    OVER_QUOTA = "over_quota"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_BEFORE_START = "deadline_before_start"
    CANCELLED_BEFORE_START = "cancelled_before_start"
    SHUTTING_DOWN = "shutting_down"
    NOT_READY = "not_ready"
    ENTRY_NOT_READY = "entry_not_ready"
    ENTRY_BUSY = "entry_busy"
    STORE_UNAVAILABLE = "store_unavailable"
    TASK_FAILED = "task_failed"
    TASK_UNKNOWN = "task_unknown"
    DEADLINE_EXPIRED = "deadline_expired"
    CANCELLED = "cancelled"
    ANSWER_EXPIRED = "answer_expired"
    HOME_GONE = "home_gone"
    HOME_SILENT = "home_silent"
    ID_EXPIRED = "id_expired"
    TICKET_UNKNOWN = "ticket_unknown"
    EXECUTION_LOST = "execution_lost"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorProperties:
    """Outcome, HTTP status and retry delay of one kind of error.

    Attributes:
        outcome: The outcome in the answer.
        status: The HTTP status.
        final: Whether repeating the request with this id gives no new information.
        retry_after_ms: Delay before the caller should retry, in milliseconds, or None.
    """

    outcome: Outcome
    status: int
    final: bool = True
    retry_after_ms: int | None = None


ERROR_TABLE: dict[ErrorKind, ErrorProperties] = {
    ErrorKind.BAD_REQUEST: ErrorProperties(Outcome.NOT_RUN, 400),
    ErrorKind.NO_SUCH_PATH: ErrorProperties(Outcome.NOT_RUN, 404),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorProperties(Outcome.NOT_RUN, 405),
    ErrorKind.NO_SUCH_SERVICE: ErrorProperties(Outcome.NOT_RUN, 404),
    ErrorKind.NO_SUCH_ID: ErrorProperties(Outcome.NOT_RUN, 404),
    ErrorKind.NOT_SUBMITTED: ErrorProperties(Outcome.UNKNOWN, 404, final=False),
    ErrorKind.NO_SUCH_TICKET: ErrorProperties(Outcome.NOT_RUN, 404),
    ErrorKind.BODY_TOO_LARGE: ErrorProperties(Outcome.NOT_RUN, 413),
    ErrorKind.HEAD_TOO_LARGE: ErrorProperties(Outcome.NOT_RUN, 431),
    ErrorKind.REQUEST_TIMEOUT: ErrorProperties(Outcome.NOT_RUN, 408),
    ErrorKind.NO_SUCH_QUEUE: ErrorProperties(Outcome.NOT_RUN, 404),
    ErrorKind.NO_SUCH_JOB: ErrorProperties(Outcome.NOT_RUN, 410),
    ErrorKind.UNSUPPORTED: ErrorProperties(Outcome.NOT_RUN, 503),
    ErrorKind.CONFLICT: ErrorProperties(Outcome.UNKNOWN, 409, final=False),
    ErrorKind.TICKET_CONFLICT: ErrorProperties(Outcome.NOT_RUN, 409),
    ErrorKind.SUPERSEDED: ErrorProperties(Outcome.NOT_RUN, 409),
    ErrorKind.OVER_QUOTA: ErrorProperties(Outcome.NOT_RUN, 429, retry_after_ms=1000),
    ErrorKind.OVERLOADED: ErrorProperties(Outcome.NOT_RUN, 503, retry_after_ms=1000),
    ErrorKind.NO_TARGET: ErrorProperties(Outcome.NOT_RUN, 503, retry_after_ms=2000),
    ErrorKind.DEADLINE_TOO_SHORT: ErrorProperties(Outcome.NOT_RUN, 503),
    ErrorKind.DEADLINE_BEFORE_START: ErrorProperties(
        Outcome.NOT_RUN, 503, retry_after_ms=1000
    ),
    ErrorKind.CANCELLED_BEFORE_START: ErrorProperties(Outcome.NOT_RUN, 503),
    ErrorKind.SHUTTING_DOWN: ErrorProperties(Outcome.NOT_RUN, 503, retry_after_ms=500),
    ErrorKind.NOT_READY: ErrorProperties(Outcome.NOT_RUN, 503, retry_after_ms=1000),
    ErrorKind.ENTRY_NOT_READY: ErrorProperties(
        Outcome.UNKNOWN, 503, final=False, retry_after_ms=1000
    ),
    ErrorKind.ENTRY_BUSY: ErrorProperties(
        Outcome.UNKNOWN, 504, final=False, retry_after_ms=1000
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorProperties(
        Outcome.NOT_RUN, 503, retry_after_ms=2000
    ),
    ErrorKind.TASK_FAILED: ErrorProperties(Outcome.FAILED, 502),
    ErrorKind.TASK_UNKNOWN: ErrorProperties(Outcome.FAILED, 502),
    ErrorKind.DEADLINE_EXPIRED: ErrorProperties(Outcome.FAILED, 502),
    ErrorKind.CANCELLED: ErrorProperties(Outcome.FAILED, 502),
    ErrorKind.ANSWER_EXPIRED: ErrorProperties(Outcome.FAILED, 502),
    ErrorKind.HOME_GONE: ErrorProperties(Outcome.UNKNOWN, 504),
    ErrorKind.HOME_SILENT: ErrorProperties(
        Outcome.UNKNOWN, 504, final=False, retry_after_ms=1000
    ),
    ErrorKind.ID_EXPIRED: ErrorProperties(Outcome.UNKNOWN, 504),
    ErrorKind.TICKET_UNKNOWN: ErrorProperties(
        Outcome.UNKNOWN, 504, final=False, retry_after_ms=1000
    ),
    ErrorKind.EXECUTION_LOST: ErrorProperties(Outcome.UNKNOWN, 504, final=False),
    ErrorKind.INTERNAL: ErrorProperties(Outcome.UNKNOWN, 500, final=False),
}

OUTCOME_STATUS: dict[Outcome, int] = {
    Outcome.DONE: 200,
    Outcome.FAILED: 502,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
    Outcome.RUNNING: 202,
}


@dataclass(frozen=True, slots=True)
class DispatchError:
    """An error to be reported to a caller or operator.

    Attributes:
        kind: The kind, a key of ``ERROR_TABLE``.
        message: One sentence for the caller or operator.
        retry_after_ms: Delay in milliseconds that overrides that of the table.
    """

    kind: ErrorKind
    message: str
    retry_after_ms: int | None = None


class StartError(Exception):
    """A daemon can't start; its message is one line for the operator."""
