"""What a link node needs of a transport: NNG sockets or plain TCP streams.

The project's own daemons use NNG. The processes on the users' platform use streams on
the event loop, because NNG hands each message from thread to thread, which costs
several context switches a message.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Callable


class Listener(Protocol):
    """A socket that receives the envelopes of all peers."""

    def close(self) -> None:
        """Stops listening and closes the accepted connections."""


class Connection(Protocol):
    """An outgoing connection, which carries the envelopes of one session.

    Attributes:
        is_refused: Whether no process listened at the last attempt to connect, if the
            transport can tell.
    """

    is_refused: bool

    def send(self, body: bytes) -> bool:
        """Sends an envelope unless that blocks; returns whether it was accepted."""

    def retry(self) -> None:
        """Tries at once to connect, if it has not; the peer is known to run."""

    def close(self) -> None:
        """Closes the connection; envelopes that were not sent yet are lost."""


@dataclass(frozen=True, slots=True)
class Transport:
    """How a link node receives envelopes and connects to its peers.

    Attributes:
        listen: Listens on a link address. Each envelope is passed to the second
            argument, which returns whether it is valid; the third one is called with
            the reason, the peer and details if a connection can't be accepted, or is
            closed because of its data or a limit. Raises ``StartError``.
        dial: Connects from an IP to a link address in the background. The third
            argument is called when an established connection is lost, on any thread.
    """

    listen: Callable[
        [str, Callable[[bytes], bool], Callable[[str, str, str], None]], Listener
    ]
    dial: Callable[[str, str, Callable[[], None]], Connection]
