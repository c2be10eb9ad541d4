"""Decides when an entry runs its scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from ..clock import Clock


# A twelfth of the shortest latency objective of the deployments' queues, 60 ms.
CONTENTION_PAUSE_S = 0.005


class ScheduleTrigger:
    """Coalesces requests to run the scheduler.

    While jobs wait for free capacity, every report of an agent requests a run, and each
    run iterates over all jobs and agents. Therefore runs keep a minimum interval while
    jobs wait.

    Attributes:
        is_planned: Whether a run is planned.
        paused_until: Earliest time of the next run, in seconds of the clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        schedule: Callable[[], bool],
    ) -> None:
        """Creates a trigger without a planned run.

        Args:
            loop: Event loop of the process.
            clock: Clock in seconds.
            schedule: Assigns tasks; returns whether jobs still wait.
        """
        self.loop = loop
        self.clock = clock
        self.schedule = schedule
        self.is_planned = False
        self.paused_until = 0.0

    def plan(self) -> None:
        """Requests a run of the scheduler."""
        if self.is_planned:
            return
        self.is_planned = True
        pause_s = self.paused_until - self.clock()
        if pause_s > 0:
            self.loop.call_later(pause_s, self._run)
        else:
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        self.is_planned = False
        is_contended = self.schedule()
        self.paused_until = self.clock() + CONTENTION_PAUSE_S if is_contended else 0.0
