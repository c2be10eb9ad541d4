"""Non-blocking writer of lines to a file descriptor."""

from __future__ import annotations

import atexit
import os
import threading
from collections import deque
from typing import Self


MAX_PENDING_LINES = 50_000
BATCH_INTERVAL_S = 0.05
RETRY_INTERVAL_S = 0.01
CLOSE_TIMEOUT_S = 2.0


class LineWriter:
    """Queues lines, which a dedicated thread writes to a file descriptor.

    If the reader of the descriptor is slow, lines that exceed the queue's bound are
    dropped and counted. After a write error all further lines are dropped.

    Attributes:
        dropped: Number of lines dropped because the queue was full.
        is_broken: Whether there is no descriptor or a write to it has failed.
    """

    def __init__(
        self, descriptor: int | None, max_pending: int = MAX_PENDING_LINES
    ) -> None:
        """Creates the writer; its thread starts with the first line.

        Args:
            descriptor: The file descriptor, or None to drop every line.
            max_pending: Bound of the queue, in lines.
        """
        self.descriptor = descriptor
        self.max_pending = max_pending
        self.dropped = 0
        self.is_broken = descriptor is None
        self._pending: deque[bytes] = deque()
        self._wake = threading.Event()
        self._closing = threading.Event()
        self._thread: threading.Thread | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def __len__(self) -> int:
        return len(self._pending)

    def write(self, line: bytes) -> None:
        """Queues a line, or drops it if the queue is full or the writer is unusable."""
        if self.is_broken or self._closing.is_set():
            return
        if len(self._pending) >= self.max_pending:
            self.dropped += 1
            return
        self._pending.append(line)
        if not self._wake.is_set():
            self._wake.set()
        if self._thread is None:
            self._start()

    def close(self) -> None:
        """Flushes the queue, for at most ``CLOSE_TIMEOUT_S``, and stops the thread."""
        self._closing.set()
        self._wake.set()
        if self._thread is not None:
            self._thread.join(CLOSE_TIMEOUT_S)
            atexit.unregister(self.close)

    def _start(self) -> None:
        # A daemon thread, because a blocked write must not delay the process's exit.
        self._thread = threading.Thread(
            target=self._write_forever, name="log writer", daemon=True
        )
        self._thread.start()
        atexit.register(self.close)

    def _write_forever(self) -> None:
        while not self._closing.is_set():
            self._wake.wait()
            self._wake.clear()
            self._write_pending()
            self._closing.wait(BATCH_INTERVAL_S)
        self._write_pending()

    def _write_pending(self) -> None:
        lines = [self._pending.popleft() for _ in range(len(self._pending))]
        if not lines or self.is_broken:
            return
        try:
            self._write_all(b"".join(lines))
        except OSError:
            self.is_broken = True
            self._pending.clear()

    def _write_all(self, data: bytes) -> None:
        if self.descriptor is None:
            return
        remaining = memoryview(data)
        while remaining:
            try:
                written = os.write(self.descriptor, remaining)
            except BlockingIOError:
                self._closing.wait(RETRY_INTERVAL_S)
                continue
            remaining = remaining[written:]
