"""Routing of link messages to the controllers of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import EventName
from ..messages import AgentLeaving
from ..messages import CancelJob
from ..messages import CancelTasks
from ..messages import DispatchTasks
from ..messages import HeartbeatReply
from ..messages import JobQuery
from ..messages import SettleTasks
from ..messages import SubmitJob
from ..messages import TaskQuery
from ..messages import TaskReports
from ..messages import WrongRecipient


if TYPE_CHECKING:
    from ..messages import Message
    from ..messages import PeerAddress
    from .daemon import Agent


def route_message(agent: Agent, sender: PeerAddress, message: Message) -> None:
    """Passes a message to the controller that handles its type."""
    match message:
        case DispatchTasks():
            agent.execution.handle_dispatch(sender, message)
            if agent.configuration.leaving and sender != agent.address:
                agent.node.send(sender, AgentLeaving(ended=False, unsettled=[]))
        case TaskReports():
            agent.dispatch.handle_reports(sender, message)
        case TaskQuery():
            agent.execution.handle_query(sender, message)
        case CancelTasks():
            agent.execution.handle_cancel(sender, message)
        case AgentLeaving():
            agent.dispatch.handle_leaving(sender, message)
        case SettleTasks():
            agent.execution.handle_settled(sender, message.oldest_open)
        case _:
            _route_entry_message(agent, sender, message)


def _route_entry_message(agent: Agent, sender: PeerAddress, message: Message) -> None:
    match message:
        case SubmitJob():
            agent.home.handle_submit(sender, message)
        case JobQuery():
            agent.home.handle_query(sender, message)
        case CancelJob():
            agent.home.handle_cancel(sender, message)
        case HeartbeatReply():
            agent.apply_heartbeat_reply(sender, message)
        case WrongRecipient():
            agent.entries.replace(message.requested_incarnation, sender)
            agent.dispatch.handle_agent_ended(message.requested_incarnation)
        case _:
            name = type(message).__name__
            agent.log.record(EventName.MESSAGE_DROPPED, reason=f"unexpected {name}")
