"""Connections that wait for their clients, and for how long they may."""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING

from ..policy.connection_choice import ConnectionPhase
from ..policy.connection_choice import choose_largest
from ..policy.connection_choice import choose_oldest
from .limits import ANSWER_TIMEOUT_S
from .limits import IDLE_TIMEOUT_S
from .limits import LINGER_TIMEOUT_S
from .limits import MESSAGE_TIMEOUT_S
from .limits import SMALL_MESSAGE_BYTES


if TYPE_CHECKING:
    from collections.abc import Callable

    from .client_connection import ClientConnection


TIMEOUT_S = {
    ConnectionPhase.NEW: IDLE_TIMEOUT_S,
    ConnectionPhase.KEPT: IDLE_TIMEOUT_S,
    ConnectionPhase.RECEIVING: MESSAGE_TIMEOUT_S,
    ConnectionPhase.ANSWERING: ANSWER_TIMEOUT_S,
    ConnectionPhase.LINGERING: LINGER_TIMEOUT_S,
}
# Phases in which a connection may hold a part of a message or an answer.
LOADED_PHASES = (ConnectionPhase.RECEIVING, ConnectionPhase.ANSWERING)


class WaitingConnections:
    """Waiting connections by phase, the oldest first; used on all threads of a server.

    Attributes:
        by_phase: When each connection entered its phase, in seconds of the clock.
        phases: The phase of each connection.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.lock = Lock()
        self.by_phase: dict[ConnectionPhase, dict[ClientConnection, float]] = {
            phase: {} for phase in ConnectionPhase
        }
        self.phases: dict[ClientConnection, ConnectionPhase] = {}

    def enter(self, connection: ClientConnection, phase: ConnectionPhase) -> None:
        """Puts a connection into a phase, whose time limit starts now."""
        with self.lock:
            self._leave(connection)
            self.phases[connection] = phase
            self.by_phase[phase][connection] = self.clock()

    def leave(self, connection: ClientConnection) -> None:
        """Removes a connection that no longer waits."""
        with self.lock:
            self._leave(connection)

    def _leave(self, connection: ClientConnection) -> None:
        phase = self.phases.pop(connection, None)
        if phase is not None:
            del self.by_phase[phase][connection]

    def find_phase(self, connection: ClientConnection) -> ConnectionPhase | None:
        """Returns the phase of a connection, None if it does not wait."""
        return self.phases.get(connection)

    def list_all(self) -> list[ClientConnection]:
        """Returns all waiting connections."""
        with self.lock:
            return list(self.phases)

    def list_expired(self) -> list[ClientConnection]:
        """Returns the connections that have exceeded the time limit of their phase."""
        now = self.clock()
        expired = []
        with self.lock:
            for phase, entered_at in self.by_phase.items():
                # Connections of a phase share its time limit, so the oldest is first.
                for connection, since in entered_at.items():
                    if now - since < TIMEOUT_S[phase]:
                        break
                    expired.append(connection)
        return expired

    def find_oldest(self) -> ClientConnection | None:
        """Returns the connection that gives way to a new one, or None."""
        with self.lock:
            return choose_oldest(self.by_phase)

    def find_largest(self, current: ClientConnection) -> ClientConnection | None:
        """Returns the connection that gives way for its memory, or None.

        Args:
            current: A connection that may give way too, whether it waits or not.
        """
        with self.lock:
            waiting = (
                connection
                for phase in LOADED_PHASES
                for connection in self.by_phase[phase]
            )
            sizes = ((item.held_bytes, item) for item in (current, *waiting))
            return choose_largest(sizes, SMALL_MESSAGE_BYTES)
