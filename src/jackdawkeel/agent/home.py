"""The home role of an agent: admits a job once, dispatches it and keeps its answer.

The home of a job is the agent that its id names. Only the home admits the job, at
most once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..answer import Answer
from ..answer import answer_error
from ..answer import encode_answer
from ..errors import DispatchError
from ..errors import ErrorKind
from ..events import EventName
from ..job_id import parse_job_id
from ..messages import JobAnswer
from ..messages import JobNews


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..controllers.admission import AdmissionController
    from ..controllers.dispatch import DispatchController
    from ..job_id import JobId
    from ..logs import EventLog
    from ..messages import CancelJob
    from ..messages import JobQuery
    from ..messages import Message
    from ..messages import PeerAddress
    from ..messages import Refusal
    from ..messages import SubmitJob


class Home:
    """Handles the messages of entries about jobs whose ids name this agent."""

    def __init__(
        self,
        *,
        admission: AdmissionController,
        dispatch: DispatchController,
        log: EventLog,
        send: Callable[[PeerAddress, Message], None],
        find_job_refusal: Callable[[SubmitJob], DispatchError | None],
    ) -> None:
        """Creates the home of an agent.

        Args:
            admission: Records of the job ids that were admitted or refused.
            dispatch: Dispatches the tasks of running jobs.
            log: Event log.
            send: Sends a message to a process.
            find_job_refusal: Returns why a new job can't be admitted now, or None.
        """
        self.admission = admission
        self.dispatch = dispatch
        self.log = log
        self.send = send
        self.find_job_refusal = find_job_refusal

    def handle_submit(self, entry: PeerAddress, message: SubmitJob) -> None:
        """Admits or refuses a new id; a repeated submission gets the same answer.

        A submission with the id of an admitted job but another body is a conflict.
        """
        job_id = self._parse_accepted_id(entry, message.job_id, message.digest)
        if job_id is None:
            return
        record = self.admission.find(job_id)
        if record is None:
            self._admit(entry, job_id, message)
            return
        if record.digest and message.digest and record.digest != message.digest:
            text = "this job id was submitted before with a different body"
            error = DispatchError(ErrorKind.CONFLICT, text)
            self._reply_error(entry, message.job_id, message.digest, error)
            return
        if record.answer is not None:
            self._reply(entry, message.job_id, message.digest, record.answer)
            return
        record.waiters[entry.incarnation] = entry

    def handle_query(self, entry: PeerAddress, message: JobQuery) -> None:
        """Replies with the answer of a job, or whether it is known; admits nothing."""
        job_id = self._parse_accepted_id(entry, message.job_id, "")
        if job_id is None:
            return
        record = self.admission.find(job_id)
        if record is not None and record.answer is not None:
            self._reply(entry, message.job_id, record.digest, record.answer)
            return
        self.send(entry, JobNews(message.job_id, record is not None))

    def handle_cancel(self, entry: PeerAddress, message: CancelJob) -> None:
        """Cancels a running job; an unknown id is recorded as refused."""
        job_id = self._parse_accepted_id(entry, message.job_id, "")
        if job_id is None:
            return
        record = self.admission.find(job_id)
        if record is None:
            text = "the job was cancelled before it was submitted"
            self._record_refusal(
                job_id, "", DispatchError(ErrorKind.CANCELLED_BEFORE_START, text)
            )
            record = self.admission.find(job_id)
        else:
            self.dispatch.cancel_job(message.job_id)
        if record is not None and record.answer is not None:
            self._reply(entry, message.job_id, record.digest, record.answer)

    def finish(self, job_id_text: str, answer: Answer) -> None:
        """Stores the final answer of a job and sends it to all waiting entries."""
        job_id = parse_job_id(job_id_text).unwrap()
        encoded = self.admission.keep_answer(job_id, answer)
        record = self.admission.find(job_id)
        self.log.record(
            EventName.JOB_ENDED, job=job_id_text, outcome=answer.outcome.value
        )
        if record is None:
            return
        waiters, record.waiters = record.waiters, {}
        for entry in waiters.values():
            self._reply(entry, job_id_text, record.digest, encoded)

    def _parse_accepted_id(
        self, entry: PeerAddress, text: str, digest: str
    ) -> JobId | None:
        parsed = parse_job_id(text)
        if parsed.is_err():
            self._reply_error(entry, text, digest, parsed.unwrap_err())
            return None
        job_id = parsed.unwrap()
        refusal = self.admission.find_refusal(job_id)
        if refusal is not None:
            self._reply_error(entry, text, digest, refusal)
            return None
        return job_id

    def _admit(self, entry: PeerAddress, job_id: JobId, message: SubmitJob) -> None:
        refusal = _decode_refusal(message.refusal) or self.find_job_refusal(message)
        if refusal is not None:
            encoded = self._record_refusal(job_id, message.digest, refusal)
            self._reply(entry, message.job_id, message.digest, encoded)
            return
        record = self.admission.admit(job_id, message.digest)
        record.waiters[entry.incarnation] = entry
        self.log.record(
            EventName.JOB_ADMITTED, job=message.job_id, tasks=len(message.payloads)
        )
        self.dispatch.start_job(message)

    def _record_refusal(
        self, job_id: JobId, digest: str, error: DispatchError
    ) -> bytes:
        self.admission.admit(job_id, digest)
        answer = answer_error(str(job_id), error)
        self.log.record(EventName.JOB_REFUSED, job=str(job_id), kind=error.kind.value)
        return self.admission.keep_answer(job_id, answer)

    def _reply_error(
        self, entry: PeerAddress, job_id: str, digest: str, error: DispatchError
    ) -> None:
        self._reply(entry, job_id, digest, encode_answer(answer_error(job_id, error)))

    def _reply(
        self, entry: PeerAddress, job_id: str, digest: str, encoded: bytes
    ) -> None:
        self.send(entry, JobAnswer(job_id, digest, encoded))


def _decode_refusal(refusal: Refusal | None) -> DispatchError | None:
    if refusal is None:
        return None
    kind = ErrorKind(refusal.kind)
    return DispatchError(kind, refusal.message, refusal.retry_after_ms)
