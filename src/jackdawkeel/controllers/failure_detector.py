"""Queries executing agents that send no reports and detects their failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages import SettleTasks
from ..messages import TaskQuery


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..messages import Message
    from ..messages import PeerAddress
    from .peers import Peer


# Time without a report after which a dispatch is queried; also the time after which
# an agent that gets no other message is sent the oldest open dispatch number.
QUERY_AFTER_S = 1.0
QUERY_INTERVAL_S = 0.8
# Time without an answer to a query after which an agent counts as ended.
QUERY_TIMEOUT_S = 6.0


class FailureDetector:
    """Queries peers whose reports are overdue and detects those that have failed.

    The connection is replaced before a query is repeated.
    """

    def __init__(
        self,
        *,
        send: Callable[[PeerAddress, Message], None],
        redial: Callable[[str], object],
        find_oldest_open: Callable[[Peer], int],
    ) -> None:
        """Creates a failure detector.

        Args:
            send: Sends a message to a process.
            redial: Replaces the connection to a link address.
            find_oldest_open: Returns the lowest open dispatch number at a peer.
        """
        self.send = send
        self.redial = redial
        self.find_oldest_open = find_oldest_open

    def check_peer(self, peer: Peer, now: float) -> bool:
        """Sends a query or the oldest open dispatch number to a peer if one is due.

        Returns:
            Whether the peer has failed: a query has had no answer for
            ``QUERY_TIMEOUT_S``.
        """
        if (
            peer.query_unanswered_since is not None
            and now - peer.query_unanswered_since > QUERY_TIMEOUT_S
        ):
            return True
        silent = [
            dispatch.number
            for dispatch in peer.outstanding.values()
            if now - dispatch.last_seen_at >= QUERY_AFTER_S
        ]
        if silent and now - peer.last_query_at >= QUERY_INTERVAL_S:
            self._query(peer, silent, now)
        elif peer.unsettled and now - peer.sent_at >= QUERY_AFTER_S:
            oldest_open = self.find_oldest_open(peer)
            peer.record_sent(now)
            self.send(peer.status.address, SettleTasks(oldest_open))
        return False

    def _query(self, peer: Peer, numbers: list[int], now: float) -> None:
        if peer.query_unanswered_since is not None:
            self.redial(peer.status.address.link)
        else:
            peer.query_unanswered_since = now
        peer.last_query_at = now
        peer.record_sent(now)
        oldest_open = self.find_oldest_open(peer)
        self.send(peer.status.address, TaskQuery(oldest_open, numbers))
