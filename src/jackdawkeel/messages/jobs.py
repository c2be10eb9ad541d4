"""Messages between entries and homes."""

from __future__ import annotations

import msgspec


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """The reason why an entry refuses a job; the home records it for the job id."""

    kind: str
    message: str
    retry_after_ms: int | None


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """From an entry to a home: submits a job.

    A repeated submission of an admitted id receives the answer of the first. With a
    refusal, the home refuses an id that it has not admitted yet.
    """

    job_id: str
    digest: str
    service: str
    payloads: list[bytes]
    idempotent: bool
    deadline_ms: int
    refusal: Refusal | None = None


class JobAnswer(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """From a home to an entry: the encoded public answer of a job."""

    job_id: str
    digest: str
    answer: bytes


class JobQuery(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """From an entry to a home: requests the state of a job; admits nothing."""

    job_id: str


class JobNews(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """From a home to an entry: whether a queried job without an answer is running.

    A job that is not running has no record at the home.
    """

    job_id: str
    running: bool


class CancelJob(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """From an entry to a home: cancels a job; no further task of it is started."""

    job_id: str
