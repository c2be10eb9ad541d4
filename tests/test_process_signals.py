"""Tests of the daemons' signal handlers."""

from __future__ import annotations

import asyncio
import os
import signal
import unittest

from jackdawkeel.events import EventName
from jackdawkeel.logs import EventLog
from jackdawkeel.process_signals import STOP_SIGNALS
from jackdawkeel.process_signals import handle_stop_signals
from jackdawkeel.process_signals import log_reload_signals


WAIT_S = 20.0


class ProcessSignalsTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_stop_signal_calls_the_handler(self) -> None:
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            with self.subTest(number):
                stop_requested = asyncio.Event()
                handle_stop_signals(loop, stop_requested.set)
                os.kill(os.getpid(), number)
                await asyncio.wait_for(stop_requested.wait(), WAIT_S)
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)

    async def test_reload_signal_is_logged_and_does_not_stop_the_process(self) -> None:
        loop = asyncio.get_running_loop()
        lines: list[bytes] = []
        log = EventLog("entry", "0" * 16, "north", lines.append)
        log_reload_signals(loop, log)
        os.kill(os.getpid(), signal.SIGHUP)
        async with asyncio.timeout(WAIT_S):
            while EventName.SETTINGS_RELOADED.value.encode() not in b"".join(lines):
                await asyncio.sleep(0)
        loop.remove_signal_handler(signal.SIGHUP)
