"""Which part of an entry takes which message."""

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
    """Hands a message to the part that it is for."""
    match message:
        case Heartbeat():
            entry.handle_heartbeat(sender, message)
        case JobAnswer():
            entry.forwarder.handle_answer(message)
        case JobNews():
            entry.forwarder.handle_news(message)
        case WrongRecipient():
            entry.handle_gone(message.wanted)
        case AgentLeaving():
            entry.handle_gone(sender.incarnation)
        case _:
            _route_between_entries(entry, sender, message)


def _route_between_entries(entry: Entry, sender: PeerAddress, message: Message) -> None:
    others = entry.others
    match message:
        case EntryProbe():
            others.handle_probe(sender, message)
        case EntryProbeReply():
            others.handle_probe_reply(sender, message)
        case FindHome():
            others.handle_find_home(sender, message)
        case HomeFound():
            others.handle_found(message.incarnation, message.link)
        case FindKey():
            others.handle_find_key(sender, message)
        case KeyFound():
            others.handle_found(message.key, message.job_id)
        case AgentsQuery():
            others.handle_agents_query(sender, message)
        case AgentsReply():
            others.handle_agents_reply(message)
        case _:
            name = type(message).__name__
            entry.log.record(EventName.MESSAGE_DROPPED, reason=f"unexpected {name}")
