"""The envelope that carries messages over a link, and the union of all messages."""

from __future__ import annotations

import msgspec

from .address import PeerAddress
from .agents import AgentLeaving
from .agents import Heartbeat
from .agents import HeartbeatReply
from .entries import AgentsQuery
from .entries import AgentsReply
from .entries import EntryProbe
from .entries import EntryProbeReply
from .entries import FindHome
from .entries import FindKey
from .entries import HomeFound
from .entries import KeyFound
from .jobs import CancelJob
from .jobs import JobAnswer
from .jobs import JobNews
from .jobs import JobQuery
from .jobs import SubmitJob
from .ownership import JobWithdrawal
from .ownership import OpenJobs
from .ownership import OpenRuns
from .ownership import OwnerInquiry
from .ownership import OwnerReply
from .ownership import ReportRequest
from .scheduling import AgentReport
from .scheduling import OwnerBeat
from .scheduling import StartTasks
from .scheduling import StopTasks
from .tasks import CancelTasks
from .tasks import DispatchTasks
from .tasks import SettleTasks
from .tasks import TaskQuery
from .tasks import TaskReports


PROTOCOL_VERSION = 1


class WrongRecipient(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Reply to an envelope addressed to an incarnation other than the recipient's.

    Attributes:
        requested_incarnation: The incarnation that the envelope was addressed to.
    """

    requested_incarnation: str


Message = (
    Heartbeat
    | HeartbeatReply
    | SubmitJob
    | JobAnswer
    | JobQuery
    | JobNews
    | CancelJob
    | DispatchTasks
    | TaskQuery
    | CancelTasks
    | TaskReports
    | SettleTasks
    | WrongRecipient
    | EntryProbe
    | EntryProbeReply
    | AgentsQuery
    | AgentsReply
    | FindHome
    | HomeFound
    | AgentLeaving
    | FindKey
    | KeyFound
    | StartTasks
    | StopTasks
    | OwnerBeat
    | AgentReport
    | OpenJobs
    | OwnerInquiry
    | OwnerReply
    | JobWithdrawal
    | OpenRuns
    | ReportRequest
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Messages from one sender to one recipient, sent as one unit over a link.

    Attributes:
        version: The protocol version.
        sender: Address of the sending process.
        recipient: Incarnation of the intended recipient; empty for any.
        session: Number of the sender's connection to the recipient; it grows with
            each redial.
        redial: Whether the recipient must replace its own connection to the sender.
        messages: The messages, in order.
    """

    version: int
    sender: PeerAddress
    recipient: str
    session: int
    redial: bool
    messages: list[Message]
