"""Typed messages between the processes of the dispatcher.

An entry serves callers and operators, an agent runs tasks on the target beside it.
The home of a job is the agent that admits it and dispatches its tasks.
"""

from __future__ import annotations

from .address import PeerAddress
from .agents import AgentConfiguration
from .agents import AgentDescription
from .agents import AgentLeaving
from .agents import AgentLoad
from .agents import Heartbeat
from .agents import HeartbeatReply
from .agents import PeerLoad
from .agents import PeerStatus
from .entries import AgentObservation
from .entries import AgentsQuery
from .entries import AgentsReply
from .entries import EntryProbe
from .entries import EntryProbeReply
from .entries import FindHome
from .entries import FindKey
from .entries import HomeFound
from .entries import KeyFound
from .envelope import PROTOCOL_VERSION
from .envelope import Envelope
from .envelope import Message
from .envelope import WrongRecipient
from .jobs import CancelJob
from .jobs import JobAnswer
from .jobs import JobNews
from .jobs import JobQuery
from .jobs import Refusal
from .jobs import SubmitJob
from .tasks import CancelTasks
from .tasks import DispatchTasks
from .tasks import SettleTasks
from .tasks import TaskDispatch
from .tasks import TaskQuery
from .tasks import TaskReport
from .tasks import TaskReports


__all__ = [
    "PROTOCOL_VERSION",
    "AgentConfiguration",
    "AgentDescription",
    "AgentLeaving",
    "AgentLoad",
    "AgentObservation",
    "AgentsQuery",
    "AgentsReply",
    "CancelJob",
    "CancelTasks",
    "DispatchTasks",
    "EntryProbe",
    "EntryProbeReply",
    "Envelope",
    "FindHome",
    "FindKey",
    "Heartbeat",
    "HeartbeatReply",
    "HomeFound",
    "JobAnswer",
    "JobNews",
    "JobQuery",
    "KeyFound",
    "Message",
    "PeerAddress",
    "PeerLoad",
    "PeerStatus",
    "Refusal",
    "SettleTasks",
    "SubmitJob",
    "TaskDispatch",
    "TaskQuery",
    "TaskReport",
    "TaskReports",
    "WrongRecipient",
]
