"""Records the job ids that an agent has admitted as their home, and their answers.

The home of a job is the agent that admits it and dispatches its tasks; the job id
contains its incarnation.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..answer import Answer
from ..answer import answer_error
from ..answer import encode_answer
from ..errors import DispatchError
from ..errors import ErrorKind
from ..job_id import JobId


if TYPE_CHECKING:
    from ..clock import Clock
    from ..messages import PeerAddress


EPOCH_DURATION_S = 600.0
MAX_IDS_PER_EPOCH = 10_000
MAX_KEPT_EPOCHS = 3
MAX_KEPT_ANSWER_BYTES = 8 * 1024 * 1024
ANSWER_RETENTION_S = 900.0


@dataclass(slots=True)
class JobRecord:
    """The home's record of one job id.

    Attributes:
        digest: Digest of the request body that was admitted or refused.
        answer: The encoded final answer, or None while the job runs.
        waiters: Entries that wait for the answer, by incarnation.
    """

    digest: str
    answer: bytes | None = None
    waiters: dict[str, PeerAddress] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """An answer that counts towards ``MAX_KEPT_ANSWER_BYTES``.

    Attributes:
        job_id: The id that was answered.
        kept_at: When the answer was recorded, in seconds of the clock.
        size_bytes: Size of the encoded answer.
    """

    job_id: JobId
    kept_at: float
    size_bytes: int


class AdmissionController:
    """Admits each id at most once, in bounded memory.

    Each id carries the epoch in which it was minted. The records of an epoch are
    dropped together, except those of jobs that still run. Ids of dropped epochs are
    never admitted.

    Attributes:
        epoch: The current epoch, in which new ids are minted.
        epoch_started_at: When it started, in seconds of the clock.
        oldest_epoch: Ids of lower epochs are refused unless they are in ``retained``.
        epochs: The records of each epoch by the nonce of the id.
        retained: Records of jobs that still ran when their epoch was dropped.
        kept: The answers that count towards the size limit, oldest first.
        kept_bytes: Total size of ``kept``.
    """

    def __init__(self, incarnation: str, clock: Clock) -> None:
        self.incarnation = incarnation
        self.clock = clock
        self.epoch = 1
        self.oldest_epoch = 1
        self.epoch_started_at = clock()
        self.epochs: dict[int, dict[str, JobRecord]] = {1: {}}
        self.retained: dict[JobId, JobRecord] = {}
        self.kept: deque[KeptAnswer] = deque()
        self.kept_bytes = 0

    def find(self, job_id: JobId) -> JobRecord | None:
        """Returns the record of an id, or None if there is none."""
        if job_id.epoch < self.oldest_epoch:
            return self.retained.get(job_id)
        return self.epochs.get(job_id.epoch, {}).get(job_id.nonce)

    def find_refusal(self, job_id: JobId) -> DispatchError | None:
        """Returns the error for an id that this home cannot look up, or None."""
        if job_id.incarnation != self.incarnation or job_id.epoch > self.epoch:
            return DispatchError(
                ErrorKind.NO_SUCH_ID,
                "this job id was not issued for the agent that received it",
            )
        if job_id.epoch < self.oldest_epoch and job_id not in self.retained:
            message = "the record of this job id was dropped; the job may have run"
            return DispatchError(ErrorKind.ID_EXPIRED, message)
        return None

    def admit(self, job_id: JobId, digest: str) -> JobRecord:
        """Records a new id as admitted.

        The caller must have checked that ``find`` and ``find_refusal`` return None.
        """
        record = JobRecord(digest)
        self.epochs[job_id.epoch][job_id.nonce] = record
        return record

    def keep_answer(self, job_id: JobId, answer: Answer) -> bytes:
        """Encodes and records the final answer of an admitted id; returns the bytes."""
        encoded = encode_answer(answer)
        record = self.find(job_id)
        if record is not None:
            record.answer = encoded
        if answer.results is not None or job_id in self.retained:
            self.kept.append(KeptAnswer(job_id, self.clock(), len(encoded)))
            self.kept_bytes += len(encoded)
            self._drop_answers()
        return encoded

    def tick(self) -> None:
        """Starts a new epoch when the current one is old or full; drops old answers."""
        self._drop_answers()
        age_s = self.clock() - self.epoch_started_at
        is_full = len(self.epochs[self.epoch]) >= MAX_IDS_PER_EPOCH
        if age_s >= EPOCH_DURATION_S or is_full:
            self._start_epoch()

    def _start_epoch(self) -> None:
        if self.epoch - self.oldest_epoch + 1 >= MAX_KEPT_EPOCHS:
            self._drop_oldest_epoch()
        self.epoch += 1
        self.epochs[self.epoch] = {}
        self.epoch_started_at = self.clock()

    def _drop_oldest_epoch(self) -> None:
        epoch = self.oldest_epoch
        for nonce, record in self.epochs.pop(epoch).items():
            if record.answer is None:
                self.retained[JobId(self.incarnation, epoch, nonce)] = record
        self.oldest_epoch += 1

    def _drop_answers(self) -> None:
        oldest_kept = self.clock() - ANSWER_RETENTION_S
        while self.kept and (
            self.kept_bytes > MAX_KEPT_ANSWER_BYTES
            or self.kept[0].kept_at < oldest_kept
        ):
            kept = self.kept.popleft()
            self.kept_bytes -= kept.size_bytes
            record = self.find(kept.job_id)
            if self.retained.pop(kept.job_id, None) is None and record is not None:
                record.answer = _encode_expired(kept.job_id)


def _encode_expired(job_id: JobId) -> bytes:
    message = "the job completed, but its answer is no longer stored"
    error = DispatchError(ErrorKind.ANSWER_EXPIRED, message)
    return encode_answer(answer_error(str(job_id), error))
