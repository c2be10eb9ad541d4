"""Work that a loop repeats."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from .logs import EventLog


async def repeat_forever(
    interval_s: float, work: Callable[[], None], log: EventLog
) -> None:
    """Calls a function again and again; an exception is logged and ends nothing."""
    while True:
        await asyncio.sleep(interval_s)
        try:
            work()
        except Exception:
            log.record_exception(f"repeating {work.__qualname__}")
