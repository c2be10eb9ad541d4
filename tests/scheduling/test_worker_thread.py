"""Tests of blocking calls on a thread and of the task that makes them."""

from __future__ import annotations

import asyncio
import threading
import unittest

from jackdawkeel.scheduling.worker_thread import WorkerThread
from tests.fakes import make_log


WAIT_S = 20.0


class WorkerThreadTest(unittest.IsolatedAsyncioTestCase):
    async def test_calls_run_on_the_worker_thread_and_return(self) -> None:
        names: list[str] = []
        done = asyncio.Event()

        async def work() -> None:
            names.append(await worker.call(lambda: threading.current_thread().name))
            done.set()

        worker = WorkerThread("blocking", work, make_log())
        with worker:
            await asyncio.wait_for(done.wait(), WAIT_S)
        self.assertTrue(names[0].startswith("blocking"))

    async def test_work_that_fails_is_logged_and_restarted(self) -> None:
        lines: list[bytes] = []
        runs = 0
        again = asyncio.Event()

        async def work() -> None:
            nonlocal runs
            runs += 1
            if runs == 1:
                raise ValueError("unexpected")
            again.set()

        with WorkerThread("blocking", work, make_log(lines)):
            await asyncio.wait_for(again.wait(), WAIT_S)
        self.assertIn(b"unexpected", b"".join(lines))

    async def test_exit_cancels_the_work(self) -> None:
        begun = asyncio.Event()

        async def work() -> None:
            begun.set()
            await asyncio.Event().wait()

        worker = WorkerThread("blocking", work, make_log())
        with worker:
            await asyncio.wait_for(begun.wait(), WAIT_S)
        with self.assertRaises(asyncio.CancelledError):
            await worker.task
