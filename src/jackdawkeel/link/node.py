"""The link node of a process: sends and receives typed messages.

Every process listens on one socket and dials one connection per peer and session. No
transport resends a message, so a message arrives at most once.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Self

import msgspec

from ..backoff import add_jitter
from ..decode_errors import DECODE_ERRORS
from ..events import EventName
from ..messages import PROTOCOL_VERSION
from ..messages import Envelope
from ..messages import Message
from ..messages import PeerAddress
from ..messages import WrongRecipient
from .address import is_link_address


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..logs import EventLog
    from .transport import Connection
    from .transport import Transport


# Per link; beyond it the oldest batch is dropped.
MAX_PENDING_BATCHES = 10_000
SEND_RETRY_DELAY_S = 0.005
# Batches that encode to more are split, at most down to single messages.
ENVELOPE_SPLIT_BYTES = 1024 * 1024
# Bounds the volume of the log, whatever peers send.
MAX_LOGGED_DROPS_PER_S = 20
REDIAL_INTERVAL_S = 0.2
# Pause between two redials of a silent peer. On the platform it doubles until a message
# of the peer arrives: under high load, connections that are replaced too early never
# come up, and the redials of all processes keep the load high.
MIN_REDIAL_PAUSE_S = 0.4
MAX_REDIAL_PAUSE_S = 3.0
REDIAL_JITTER = 0.25
IDLE_LINK_TIMEOUT_S = 120.0


@dataclass(slots=True)
class Batch:
    """Messages for one recipient that are sent in one envelope."""

    recipient: str
    messages: list[Message]


@dataclass(slots=True)
class OutboundLink:
    """The state of the link to one address.

    Attributes:
        destination: Link address of the peer.
        session: Number of the current connection; grows with each redial.
        connection: The current connection; None before the first message and after
            an idle one was closed.
        batches: Batches that the connection has not accepted yet, oldest first.
        request_redial: Whether the next envelope asks the peer to replace its own
            connection.
        dialled_at: When the connection was opened, in seconds of the clock.
        last_used_at: When an envelope was last sent, in seconds of the clock.
        redial_pause_s: Pause after the next redial.
        next_redial_at: Earliest time of the next redial, in seconds of the clock; 0
            after a message of the peer.
        is_retry_planned: Whether sending is tried again soon, because the connection
            accepted no more envelopes.
    """

    destination: str
    session: int = 0
    connection: Connection | None = None
    batches: deque[Batch] = field(default_factory=deque)
    request_redial: bool = False
    dialled_at: float = 0.0
    last_used_at: float = 0.0
    redial_pause_s: float = MIN_REDIAL_PAUSE_S
    next_redial_at: float = 0.0
    is_retry_planned: bool = False


class LinkNode:
    """Owns the listening socket and the connections to the peers."""

    def __init__(
        self,
        *,
        listen: str,
        address: PeerAddress,
        clock: Clock,
        log: EventLog,
        transport: Transport,
        deliver: Callable[[PeerAddress, Message], None],
        max_redial_pause_s: float = MIN_REDIAL_PAUSE_S,
    ) -> None:
        """Creates the node; entering the context opens the listening socket.

        Entering raises ``StartError`` if the address can't be listened on.

        Args:
            listen: Link address to listen on, ``tcp://IP:PORT``.
            address: Address of this process, as peers know it.
            clock: Clock in seconds.
            log: Event log.
            transport: Sockets of the links; the same at all peers.
            deliver: Called on the event loop with the sender of a message and the
                message.
            max_redial_pause_s: Longest pause between two redials of a silent peer, in
                seconds.
        """
        self.max_redial_pause_s = max_redial_pause_s
        self.listen = listen
        self.address = address
        self.clock = clock
        self.log = log
        self.deliver = deliver
        self.transport = transport
        self.source_ip = listen.removeprefix("tcp://").rpartition(":")[0]
        self.links: dict[str, OutboundLink] = {}
        self.latest_sessions: dict[str, int] = {}
        self.unsent_messages: dict[tuple[str, str], list[Message]] = {}
        self.flush_scheduled = False
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        self.drop_second = 0
        self.logged_drops = 0
        self.envelopes_sent = 0
        self.envelopes_received = 0
        self.decoder = msgspec.msgpack.Decoder(Envelope)
        self.encoder = msgspec.msgpack.Encoder()

    def __enter__(self) -> Self:
        self.loop = asyncio.get_running_loop()
        self.listener = self.transport.listen(
            self.listen, self.receive, self._record_dropped
        )
        return self

    def __exit__(self, *_: object) -> None:
        self._flush()
        for link in self.links.values():
            if link.connection is not None:
                link.connection.close()
                link.connection = None
            link.batches.clear()
        self.listener.close()

    def send(self, recipient: PeerAddress, message: Message) -> None:
        """Sends a message.

        Messages to one recipient from the same iteration of the event loop share an
        envelope, which is split above ``ENVELOPE_SPLIT_BYTES``. Messages to this
        process itself are delivered without a socket.
        """
        if recipient.incarnation == self.address.incarnation:
            self.loop.call_soon(self._deliver_guarded, self.address, message)
            return
        if not is_link_address(recipient.link):
            # It comes from a message or the store.
            self._record_dropped("invalid_address", recipient.link)
            return
        key = (recipient.link, recipient.incarnation)
        self.unsent_messages.setdefault(key, []).append(message)
        self.sent[type(message).__name__] += 1
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.loop.call_soon(self._flush)

    def redial(self, destination: str) -> bool:
        """Replaces the connection and asks the peer to replace its own.

        Does nothing if the connection was opened within ``REDIAL_INTERVAL_S``, or
        during the pause after an earlier redial that the peer has not answered; returns
        whether it was replaced.
        """
        if not is_link_address(destination):
            return False
        link = self._find_link(destination)
        now = self.clock()
        if now < max(link.next_redial_at, link.dialled_at + REDIAL_INTERVAL_S):
            return False
        link.next_redial_at = now + add_jitter(link.redial_pause_s, REDIAL_JITTER)
        link.redial_pause_s = min(2 * link.redial_pause_s, self.max_redial_pause_s)
        self._dial(link)
        link.request_redial = True
        self.log.record(EventName.LINK_REDIALED, peer=destination, session=link.session)
        return True

    def is_refused(self, destination: str) -> bool:
        """Returns whether no process listened there when it was last tried."""
        link = self.links.get(destination)
        if link is None or link.connection is None:
            return False
        return link.connection.is_refused

    def close_idle_links(self) -> None:
        """Closes connections that sent nothing for ``IDLE_LINK_TIMEOUT_S``."""
        now = self.clock()
        for link in self.links.values():
            if (
                link.connection is not None
                and now - link.last_used_at > IDLE_LINK_TIMEOUT_S
            ):
                link.connection.close()
                link.connection = None
                link.batches.clear()

    def _find_link(self, destination: str) -> OutboundLink:
        link = self.links.get(destination)
        if link is None:
            link = self.links[destination] = OutboundLink(destination)
        return link

    def _dial(self, link: OutboundLink) -> None:
        if link.connection is not None:
            link.connection.close()
        link.session += 1
        link.dialled_at = self.clock()
        session = link.session

        def schedule_replacement() -> None:
            self.loop.call_soon_threadsafe(self._replace_lost_connection, link, session)

        link.connection = self.transport.dial(
            self.source_ip, link.destination, schedule_replacement
        )

    def _replace_lost_connection(self, link: OutboundLink, session: int) -> None:
        if link.session != session or link.connection is None:
            return
        wait_s = link.dialled_at + REDIAL_INTERVAL_S - self.clock()
        if wait_s > 0:
            self.loop.call_later(wait_s, self._replace_lost_connection, link, session)
            return
        self._dial(link)
        self._send_pending(link)

    def _flush(self) -> None:
        self.flush_scheduled = False
        unsent_messages, self.unsent_messages = self.unsent_messages, {}
        for (destination, recipient), messages in unsent_messages.items():
            link = self._find_link(destination)
            if link.connection is None:
                self._dial(link)
            if len(link.batches) >= MAX_PENDING_BATCHES:
                link.batches.popleft()
                self._record_dropped("backlog", destination)
            link.batches.append(Batch(recipient, messages))
            self._send_pending(link)

    def _send_pending(self, link: OutboundLink) -> None:
        while link.batches and link.connection is not None:
            batch = link.batches[0]
            body = self._encode(link, batch)
            is_too_large = body is None or len(body) > ENVELOPE_SPLIT_BYTES
            if is_too_large and len(batch.messages) > 1:
                _split_first_batch(link.batches)
                continue
            if body is not None and not link.connection.send(body):
                self._plan_retry(link)
                return
            link.batches.popleft()
            if body is None:
                name = type(batch.messages[0]).__name__
                self._record_dropped("unencodable", link.destination, name)
                continue
            link.request_redial = False
            link.last_used_at = self.clock()
            self.envelopes_sent += 1

    def _plan_retry(self, link: OutboundLink) -> None:
        if link.is_retry_planned:
            return
        link.is_retry_planned = True

        def retry() -> None:
            link.is_retry_planned = False
            self._send_pending(link)

        self.loop.call_later(SEND_RETRY_DELAY_S, retry)

    def _encode(self, link: OutboundLink, batch: Batch) -> bytes | None:
        """Returns the encoded envelope, or None if a number in it is too large."""
        envelope = Envelope(
            version=PROTOCOL_VERSION,
            sender=self.address,
            recipient=batch.recipient,
            session=link.session,
            redial=link.request_redial,
            messages=batch.messages,
        )
        try:
            return self.encoder.encode(envelope)
        except OverflowError:
            return None

    def receive(self, body: bytes) -> bool:
        """Handles one encoded envelope; a malformed one is dropped.

        Returns:
            Whether it is one of this version of the protocol.
        """
        try:
            envelope = self.decoder.decode(body)
        except DECODE_ERRORS as error:
            self._record_dropped("damaged", "", str(error))
            return False
        if envelope.version != PROTOCOL_VERSION:
            peer = envelope.sender.link
            self._record_dropped("version", peer, f"version {envelope.version}")
            return False
        self.envelopes_received += 1
        if self._is_stale(envelope):
            return True
        self._record_running(envelope.sender.link)
        if envelope.redial:
            self._redial_on_request(envelope.sender.link)
        if envelope.recipient not in ("", self.address.incarnation):
            self.send(envelope.sender, WrongRecipient(envelope.recipient))
            return True
        for message in envelope.messages:
            self.received[type(message).__name__] += 1
            self._deliver_guarded(envelope.sender, message)
        return True

    def _deliver_guarded(self, sender: PeerAddress, message: Message) -> None:
        try:
            self.deliver(sender, message)
        except Exception:
            name = type(message).__name__
            self.log.record_exception(f"handling {name} from {sender.link}")

    def _is_stale(self, envelope: Envelope) -> bool:
        sender = envelope.sender.incarnation
        highest = self.latest_sessions.get(sender, 0)
        if envelope.session < highest:
            details = f"session {envelope.session} is older than {highest}"
            self._record_dropped("old_session", envelope.sender.link, details)
            return True
        self.latest_sessions[sender] = envelope.session
        return False

    def _record_running(self, peer: str) -> None:
        link = self.links.get(peer)
        if link is not None:
            link.redial_pause_s = MIN_REDIAL_PAUSE_S
            link.next_redial_at = 0.0
            if link.connection is not None:
                link.connection.retry()

    def _record_dropped(self, reason: str, peer: str, details: str = "") -> None:
        self.dropped[reason] += 1
        second = int(self.clock())
        if second != self.drop_second:
            self.drop_second = second
            self.logged_drops = 0
        if self.logged_drops >= MAX_LOGGED_DROPS_PER_S:
            return
        self.logged_drops += 1
        self.log.record(
            EventName.MESSAGE_DROPPED, reason=reason, peer=peer, details=details
        )

    def _redial_on_request(self, destination: str) -> None:
        link = self.links.get(destination)
        if link is None or link.connection is None:
            return
        if self.clock() - link.dialled_at >= REDIAL_INTERVAL_S:
            self._dial(link)


def _split_first_batch(batches: deque[Batch]) -> None:
    first = batches.popleft()
    middle = len(first.messages) // 2
    batches.appendleft(Batch(first.recipient, first.messages[middle:]))
    batches.appendleft(Batch(first.recipient, first.messages[:middle]))
