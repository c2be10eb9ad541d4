"""Routing of link messages to the components of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import EventName
from ..messages import AgentLeaving
from ..messages import AgentsQuery
from ..messages import AgentsReply
from ..messages import EntryProbe
from ..messages import EntryProbeReply
from ..messages import FindHome
from ..messages import FindKey
from ..messages import Heartbeat
from ..messages import HomeFound
from ..messages import JobAnswer
from ..messages import JobNews
from ..messages import KeyFound
from ..messages import WrongRecipient


if TYPE_CHECKING:
    from ..messages import Message
    from ..messages import PeerAddress
    from .daemon import Entry


def route_message(entry: Entry, sender: PeerAddress, message: Message) -> None:
    """Passes a message to the component that handles its type."""
    match message:
        case Heartbeat():
            entry.handle_heartbeat(sender, message)
        case JobAnswer():
            entry.forwarder.handle_answer(message)
        case JobNews():
            entry.forwarder.handle_notification(message)
        case WrongRecipient():
            entry.handle_process_ended(message.requested_incarnation)
        case AgentLeaving():
            entry.handle_process_ended(sender.incarnation)
        case _:
            _route_between_entries(entry, sender, message)


def _route_between_entries(entry: Entry, sender: PeerAddress, message: Message) -> None:
    other_entries = entry.other_entries
    match message:
        case EntryProbe():
            other_entries.handle_probe(sender, message)
        case EntryProbeReply():
            other_entries.handle_probe_reply(sender, message)
        case FindHome():
            other_entries.handle_find_home(sender, message)
        case HomeFound():
            other_entries.handle_lookup_reply(message.incarnation, message.link)
        case FindKey():
            other_entries.handle_find_key(sender, message)
        case KeyFound():
            other_entries.handle_lookup_reply(message.key, message.job_id)
        case AgentsQuery():
            other_entries.handle_agents_query(sender, message)
        case AgentsReply():
            other_entries.handle_agents_reply(message)
        case _:
            name = type(message).__name__
            entry.log.record(EventName.MESSAGE_DROPPED, reason=f"unexpected {name}")
