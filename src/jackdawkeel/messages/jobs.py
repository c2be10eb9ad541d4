"""Messages between entries and homes."""

from __future__ import annotations

import msgspec


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """Why an entry will not have a job run; the home records it for the id."""

    kind: str
    message: str
    retry_after_ms: int | None


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """From an entry to a home; a copy of an admitted id only joins its answer.

    With a refusal, an id that is not yet admitted never will be.
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
    """From an entry to a home: what became of a job; admits nothing."""

    job_id: str


class JobNews(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """From a home to an entry: whether a queried job that has no answer is known."""

    job_id: str
    running: bool


class CancelJob(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """From an entry to a home: starts no further task of the job."""

    job_id: str
