"""Runs blocking calls of the event loop on a thread."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import Self
from typing import TypeVar

from ..periodic import restart_on_error


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from ..logs import EventLog


# Pause before work that failed unexpectedly is restarted.
RESTART_DELAY_S = 0.5

ResultT = TypeVar("ResultT")


class WorkerThread:
    """Owns a thread for blocking calls and the task that makes them.

    Args:
        name: Name of the thread.
        work: Coroutine function that makes the calls; runs while the context is
            entered.
        log: Event log.
    """

    def __init__(
        self, name: str, work: Callable[[], Awaitable[None]], log: EventLog
    ) -> None:
        self.name = name
        self.work = work
        self.log = log

    def __enter__(self) -> Self:
        self.loop = asyncio.get_running_loop()
        self.threads = ThreadPoolExecutor(1, self.name)
        work = restart_on_error(self.work, self.log, RESTART_DELAY_S)
        self.task = asyncio.create_task(work)
        return self

    def __exit__(self, *_: object) -> None:
        self.task.cancel()
        self.threads.shutdown(wait=False, cancel_futures=True)

    async def call(
        self, function: Callable[..., ResultT], *arguments: object
    ) -> ResultT:
        """Calls a function on the thread."""
        return await self.loop.run_in_executor(self.threads, function, *arguments)
