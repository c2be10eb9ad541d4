"""The entries that own an agent's assignments, with the updates to send them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..messages.scheduling import TaskStatus
from ..messages.scheduling import TaskUpdate


if TYPE_CHECKING:
    from ..messages import PeerAddress
    from .task_run import TaskRun


# Ended assignments are recorded so that a resent one does not run again; an entry
# resends an assignment for less than a second.
MAX_ENDED_ASSIGNMENTS = 4000
MAX_UNACKNOWLEDGED_UPDATES = 10_000


@dataclass(slots=True, eq=False)
class Owner:
    """An entry whose assignments an agent runs.

    Attributes:
        address: Address of the entry's process.
        lease_until: When its lease ends, in seconds of the agent's clock.
        last_seen_at: When a message from it last arrived.
        runs: Its assignments that have not ended, by number.
        assignments_through: Highest assignment number received.
        updates: Updates that it has not acknowledged.
        next_sequence: Sequence number of the next update.
        ended: Numbers of recently ended assignments, oldest first.
        sent_through: Sequence number of the last update that was sent.
        is_expired: Whether its lease has expired and its runs are being stopped.
    """

    address: PeerAddress
    lease_until: float
    last_seen_at: float
    runs: dict[int, TaskRun] = field(default_factory=dict)
    assignments_through: int = 0
    updates: deque[TaskUpdate] = field(default_factory=deque)
    next_sequence: int = 1
    ended: dict[int, None] = field(default_factory=dict)
    sent_through: int = 0
    is_expired: bool = False

    def has_seen(self, number: int) -> bool:
        """Returns whether an assignment, or a stop for it, has arrived before."""
        return number in self.runs or number in self.ended

    def record_ended(self, number: int) -> None:
        """Records that an assignment has ended or must never start."""
        self.runs.pop(number, None)
        self.ended[number] = None
        if len(self.ended) > MAX_ENDED_ASSIGNMENTS:
            del self.ended[next(iter(self.ended))]

    def add_update(
        self, number: int, status: TaskStatus, attempt: int, run_ms: float
    ) -> None:
        """Queues an update until the entry acknowledges it."""
        update = TaskUpdate(self.next_sequence, number, status.value, attempt, run_ms)
        self.next_sequence += 1
        self.updates.append(update)
        if len(self.updates) > MAX_UNACKNOWLEDGED_UPDATES:
            self.updates.popleft()

    def collect_updates(self, include_sent: bool) -> list[TaskUpdate]:
        """Returns the updates to send now and marks them as sent.

        Args:
            include_sent: Whether to include updates that were sent but not
                acknowledged.
        """
        first = 0 if include_sent else self.sent_through
        self.sent_through = self.next_sequence - 1
        return [update for update in self.updates if update.sequence > first]

    def acknowledge_through(self, sequence: int) -> None:
        """Removes the updates that the entry has processed."""
        while self.updates and self.updates[0].sequence <= sequence:
            self.updates.popleft()
