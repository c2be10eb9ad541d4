"""Periodic callbacks and restarted coroutines of an event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from .logs import EventLog


async def run_periodically(
    interval_s: float, work: Callable[[], None], log: EventLog
) -> None:
    """Calls a function after each interval; logs its exceptions and continues."""
    while True:
        await asyncio.sleep(interval_s)
        try:
            work()
        except Exception:
            log.record_exception(f"calling the periodic {work.__qualname__}")


async def restart_on_error(
    work: Callable[[], Awaitable[None]], log: EventLog, delay_s: float
) -> None:
    """Runs a coroutine until it returns; logs an exception and restarts it."""
    while True:
        try:
            await work()
        except Exception:
            log.record_exception(f"running {work.__qualname__}")
            await asyncio.sleep(delay_s)
        else:
            return
