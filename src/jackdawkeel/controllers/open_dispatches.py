"""Tracks the open dispatches of a home and sends the messages about them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import EventName
from ..messages import CancelTasks
from ..messages import DispatchTasks
from ..messages import TaskDispatch
from .job import Dispatch


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import Message
    from ..messages import PeerAddress
    from .job import Job
    from .peers import Peer


MS_PER_S = 1000


class OpenDispatches:
    """Numbers dispatches and indexes the open ones by number, job and peer.

    A number is never used twice.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        send: Callable[[PeerAddress, Message], None],
    ) -> None:
        self.clock = clock
        self.log = log
        self.send = send
        self.by_number: dict[int, Dispatch] = {}
        self.next_number = 1

    def find_oldest_open(self, peer: Peer) -> int:
        """Returns the lowest open dispatch number at a peer.

        This is the next number to be used if no dispatch is open there.
        """
        return next(iter(peer.outstanding), self.next_number)

    def open(self, job: Job, index: int, peer: Peer) -> TaskDispatch:
        """Opens a dispatch of a task and returns it; the caller sends it."""
        number = self.next_number
        self.next_number += 1
        now = self.clock()
        dispatch = Dispatch(number, job, index, peer, now, now)
        self.by_number[number] = dispatch
        peer.outstanding[number] = dispatch
        job.outstanding[number] = dispatch
        return TaskDispatch(
            number=number,
            job_id=job.job_id,
            index=index,
            service=job.service,
            payload=job.payloads[index],
            deadline_ms=max(1, int((job.expires_at - now) * MS_PER_S)),
        )

    def close(self, dispatch: Dispatch) -> None:
        """Closes a dispatch that has ended or whose outcome cannot be known."""
        del self.by_number[dispatch.number]
        del dispatch.peer.outstanding[dispatch.number]
        dispatch.job.outstanding.pop(dispatch.number, None)
        dispatch.peer.unsettled = True

    def send_batch(self, peer: Peer, tasks: list[TaskDispatch]) -> None:
        """Sends opened dispatches to their peer in one message."""
        self.log.record(
            EventName.TASK_DISPATCHED,
            peer=peer.incarnation,
            job=tasks[0].job_id,
            count=len(tasks),
        )
        peer.record_sent(self.clock())
        message = DispatchTasks(self.find_oldest_open(peer), tasks)
        self.send(peer.status.address, message)

    def cancel(self, job: Job) -> None:
        """Requests that no open dispatch of a job is started."""
        dispatches: dict[str, list[Dispatch]] = {}
        for dispatch in job.outstanding.values():
            dispatches.setdefault(dispatch.peer.incarnation, []).append(dispatch)
        for peer_dispatches in dispatches.values():
            peer = peer_dispatches[0].peer
            numbers = [dispatch.number for dispatch in peer_dispatches]
            message = CancelTasks(self.find_oldest_open(peer), numbers)
            self.send(peer.status.address, message)

    def shift_timers(self, gap_s: float) -> None:
        """Extends timers by a pause of this process, so that no agent seems silent.

        Args:
            gap_s: Duration of the pause in seconds.
        """
        for dispatch in self.by_number.values():
            dispatch.last_seen_at += gap_s
            dispatch.sent_at += gap_s
