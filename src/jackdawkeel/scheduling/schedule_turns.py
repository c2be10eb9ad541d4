"""When an entry looks at its waiting jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from ..clock import Clock


# A fortieth of the shortest objective of the deployments' queues, 60 ms.
CROWDED_PAUSE_S = 0.005


class ScheduleTurns:
    """Plans one look for all that happens in a turn of the loop.

    Load it answers: while jobs wait for room, every report of an agent gives cause for
    a look, and each look goes over all jobs and agents. Then looks keep a pause.

    Attributes:
        is_planned: Whether a look is planned.
        crowded_until: Until when the next look waits, in seconds of the clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        look: Callable[[], bool],
    ) -> None:
        """Creates the controller.

        Args:
            loop: The process's loop.
            clock: Clock in seconds.
            look: Gives out orders; returns whether jobs still wait.
        """
        self.loop = loop
        self.clock = clock
        self.look = look
        self.is_planned = False
        self.crowded_until = 0.0

    def plan(self) -> None:
        """Has the waiting jobs looked at once, soon."""
        if self.is_planned:
            return
        self.is_planned = True
        pause_s = self.crowded_until - self.clock()
        if pause_s > 0:
            self.loop.call_later(pause_s, self._take)
        else:
            self.loop.call_soon(self._take)

    def _take(self) -> None:
        self.is_planned = False
        is_crowded = self.look()
        self.crowded_until = self.clock() + CROWDED_PAUSE_S if is_crowded else 0.0
