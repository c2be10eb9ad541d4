"""Signal handlers of the daemons."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from .events import EventName


if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from .logs import EventLog


STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def handle_stop_signals(
    loop: asyncio.AbstractEventLoop, stop: Callable[[], None]
) -> None:
    """Calls a function, which starts the drain, on SIGTERM and SIGINT."""
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop)


def log_reload_signals(loop: asyncio.AbstractEventLoop, log: EventLog) -> None:
    """Logs SIGHUP and does nothing else: changed settings come from the store."""

    def log_reload() -> None:
        log.record(EventName.SETTINGS_RELOADED, reason="SIGHUP")

    loop.add_signal_handler(signal.SIGHUP, log_reload)
