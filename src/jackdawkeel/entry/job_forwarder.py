"""Forwards jobs from an entry to their homes and the answers back to callers.

The home of a job is the agent that admits it; the job's id names that agent.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..answer import Answer
from ..answer import answer_error
from ..answer import answer_running
from ..answer import decode_answer
from ..errors import DispatchError
from ..errors import ErrorKind
from ..messages import CancelJob
from ..messages import JobQuery


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..messages import JobAnswer
    from ..messages import JobNews
    from ..messages import Message
    from ..messages import PeerAddress
    from ..messages import SubmitJob


# Time without a report on a submitted job after which its home is queried.
QUERY_AFTER_S = 1.0
RESEND_INTERVAL_S = 0.8
# A call whose due reply is missing for this time is answered with HOME_SILENT.
HOME_REPLY_TIMEOUT_S = 6.0
# A longer gap between two ticks means that this process was paused.
MAX_CLOCK_GAP_S = 1.0


@dataclass(slots=True, eq=False)
class PendingCall:
    """A caller's request that waits for the home's answer. Times are in seconds.

    Attributes:
        message: The message sent: a submission, query or cancellation.
        home: The home of the job.
        answer: Resolves with the answer.
        last_confirmed_at: When the home last reported on the job, or the start of
            the call.
        last_sent_at: When the entry last sent a message for this call.
        awaiting_reply_since: When the wait for a due reply began; None if no reply is
            due.
    """

    message: SubmitJob | JobQuery | CancelJob
    home: PeerAddress
    answer: asyncio.Future[Answer]
    last_confirmed_at: float
    last_sent_at: float
    awaiting_reply_since: float | None = None


@dataclass(slots=True)
class PendingCalls:
    """The pending calls about one job id."""

    calls: list[PendingCall] = field(default_factory=list)


class JobForwarder:
    """Tracks pending calls and queries homes that have not reported for a while."""

    def __init__(
        self,
        *,
        clock: Clock,
        send: Callable[[PeerAddress, Message], None],
        redial: Callable[[str], object],
        adjust_forwarded: Callable[[str, int], None],
    ) -> None:
        """Creates a forwarder without pending calls.

        Args:
            clock: Clock in seconds.
            send: Sends a message to a process.
            redial: Replaces the connection to a link address.
            adjust_forwarded: Called with the incarnation of a home and the change in
                the number of calls that are pending there.
        """
        self.clock = clock
        self.send = send
        self.redial = redial
        self.adjust_forwarded = adjust_forwarded
        self.pending_by_job: dict[str, PendingCalls] = {}
        self.last_tick_at = clock()

    async def call(
        self, home: PeerAddress, message: SubmitJob | JobQuery | CancelJob
    ) -> Answer:
        """Sends a message about a job to its home and waits for the answer."""
        now = self.clock()
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        pending = PendingCall(message, home, future, now, now)
        if not _is_submission(message):
            pending.awaiting_reply_since = now
        self.pending_by_job.setdefault(message.job_id, PendingCalls()).calls.append(
            pending
        )
        self.adjust_forwarded(home.incarnation, 1)
        self.send(home, message)
        try:
            return await future
        finally:
            self._remove_call(pending)

    def handle_answer(self, message: JobAnswer) -> None:
        """Completes the calls that an answer applies to.

        A submission accepts only an answer for its own digest. A query or a
        cancellation accepts any answer about its job, except a conflict, which
        concerns one submission only.
        """
        answer = decode_answer(message.answer)
        is_conflict = (
            answer.error is not None and answer.error.kind is ErrorKind.CONFLICT
        )
        for call in self._list_calls(message.job_id):
            digest = getattr(call.message, "digest", None)
            if digest is None and is_conflict:
                continue
            if digest is None or digest == message.digest:
                _set_answer(call, answer)

    def handle_notification(self, message: JobNews) -> None:
        """Handles a notification that a home runs a job, or has no record of it.

        Queries are answered with it. Submissions and cancellations are sent again if
        the home has no record of the job.
        """
        now = self.clock()
        for call in self._list_calls(message.job_id):
            call.last_confirmed_at = now
            call.awaiting_reply_since = None
            if isinstance(call.message, JobQuery):
                _set_answer(call, _answer_query(message))
            elif not message.running:
                call.last_sent_at = now
                self.send(call.home, call.message)

    def handle_home_ended(self, incarnation: str) -> None:
        """Answers the calls whose home process has ended.

        The outcome of their jobs is unknown, as only the home has the record.
        """
        message = "the home of this id has ended; the job may have run"
        error = DispatchError(ErrorKind.HOME_GONE, message)
        for call in self._list_all_calls():
            if call.home.incarnation == incarnation:
                _set_answer(call, answer_error(call.message.job_id, error))

    def tick(self) -> None:
        """Queries homes that are silent, and redials their links before each retry.

        After a gap between ticks, which means that this process was paused, the
        timeouts of all calls are extended.
        """
        now = self.clock()
        elapsed_s = now - self.last_tick_at
        self.last_tick_at = now
        for call in self._list_all_calls():
            if elapsed_s > MAX_CLOCK_GAP_S:
                call.last_confirmed_at += elapsed_s
                call.awaiting_reply_since = None
            self._check_call(call, now)

    def _check_call(self, call: PendingCall, now: float) -> None:
        if call.awaiting_reply_since is None:
            if now - call.last_confirmed_at >= QUERY_AFTER_S:
                call.awaiting_reply_since = now
                call.last_sent_at = now
                self.send(call.home, JobQuery(call.message.job_id))
            return
        if now - call.awaiting_reply_since >= HOME_REPLY_TIMEOUT_S:
            message = "the home of this id does not reply; the job may be running"
            error = DispatchError(ErrorKind.HOME_SILENT, message)
            _set_answer(call, answer_error(call.message.job_id, error))
        elif now - call.last_sent_at >= RESEND_INTERVAL_S:
            call.last_sent_at = now
            self.redial(call.home.link)
            self.send(call.home, call.message)
            if _is_submission(call.message):
                self.send(call.home, JobQuery(call.message.job_id))

    def _list_calls(self, job_id: str) -> list[PendingCall]:
        calls = self.pending_by_job.get(job_id)
        return [] if calls is None else list(calls.calls)

    def _list_all_calls(self) -> list[PendingCall]:
        return [call for calls in self.pending_by_job.values() for call in calls.calls]

    def _remove_call(self, call: PendingCall) -> None:
        self.adjust_forwarded(call.home.incarnation, -1)
        calls = self.pending_by_job[call.message.job_id]
        calls.calls.remove(call)
        if not calls.calls:
            del self.pending_by_job[call.message.job_id]


def _is_submission(message: SubmitJob | JobQuery | CancelJob) -> bool:
    return not isinstance(message, JobQuery | CancelJob)


def _set_answer(call: PendingCall, answer: Answer) -> None:
    if not call.answer.done():
        call.answer.set_result(answer)


def _answer_query(message: JobNews) -> Answer:
    if message.running:
        return answer_running(message.job_id)
    error = DispatchError(
        ErrorKind.NOT_SUBMITTED, "no job was submitted under this id so far"
    )
    return answer_error(message.job_id, error)
