"""Tests of the event log and of the writer behind it."""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
import threading
import time
import unittest
from typing import Any

from jackdawkeel.events import EventName
from jackdawkeel.line_writer import LineWriter
from jackdawkeel.logs import EventLog
from tests.standins.processes import wait_until


INCARNATION = "0123456789abcdef"
TIMEOUT_S = 10.0
MAX_WRITES_S = 1.0
PIPE_FILLING_LINES = 3_000
LONG_LINE = b"x" * 100 + b"\n"

RECORD_TWO_EVENTS = """
import time
from jackdawkeel.events import EventName
from jackdawkeel.logs import EventLog
log = EventLog("agent", "0123456789abcdef", "west-1")
log.record(EventName.READY)
time.sleep(0.1)
log.record(EventName.PROCESS_STOPPED)
"""


class EventLogTest(unittest.TestCase):
    """Every event is logged as one JSON line, whatever its fields are."""

    def setUp(self) -> None:
        self.lines: list[bytes] = []
        self.log = EventLog("agent", INCARNATION, "west-1", self.append_line)

    def append_line(self, line: bytes) -> None:
        """Keeps a line; eliot's first write is empty and is ignored."""
        if line:
            self.lines.append(line)

    def record(self, **fields: Any) -> dict[str, Any]:
        """Records one event and returns its decoded line."""
        self.lines.clear()
        self.log.record(EventName.TASK_STARTED, **fields)
        self.assertEqual(len(self.lines), 1)
        self.assertEqual(self.lines[0].count(b"\n"), 1)
        message: dict[str, Any] = json.loads(self.lines[0])
        return message

    def test_line_has_common_fields(self) -> None:
        before = time.time()
        message = self.record(job="j.1.n", index=3)
        self.assertLessEqual(before, message.pop("timestamp"))
        expected: dict[str, Any] = {"job": "j.1.n", "index": 3, "process": "agent"}
        expected |= {"incarnation": "01234567", "availability_zone": "west-1"}
        expected |= {"task_uuid": INCARNATION, "task_level": [1]}
        self.assertEqual(message, expected | {"message_type": "task_started"})

    def test_lines_are_numbered(self) -> None:
        levels = [self.record()["task_level"] for _ in range(3)]
        self.assertEqual(levels, [[1], [2], [3]])

    def test_fields_without_json_form_do_not_lose_the_event(self) -> None:
        loop: list[Any] = []
        loop.append(loop)
        cases: list[Any] = [object(), 2**80, "\ud800", {1: 2}, b"\xff", {"a"}, loop]
        cases += [float("nan"), "line\nbreak", ValueError("x")]
        for value in cases:
            with self.subTest(value=ascii(value)):
                message = self.record(odd=value)
                self.assertEqual(message["message_type"], "task_started")
                self.assertEqual(message["process"], "agent")
                self.assertIn("odd", message)

    def test_fields_do_not_replace_common_fields(self) -> None:
        message = self.record(process="other", timestamp=0, odd=object())
        self.assertEqual(message["process"], "agent")
        self.assertGreater(message["timestamp"], 0)


class StandardOutputTest(unittest.TestCase):
    """Events are written to standard output, whose failure does no harm."""

    def run_process(self, redirect: str) -> subprocess.CompletedProcess[str]:
        """Runs a process that records two events, with a redirection of its output."""
        command = f'exec "$0" -c "$1" {redirect}'
        words = ["bash", "-c", command, sys.executable, RECORD_TWO_EVENTS]
        return subprocess.run(
            words, capture_output=True, text=True, timeout=30, check=False
        )

    def test_events_are_written_before_the_exit(self) -> None:
        done = self.run_process("")
        events = [json.loads(line)["message_type"] for line in done.stdout.splitlines()]
        self.assertEqual(events, ["ready", "process_stopped"])

    def test_failed_output_does_not_affect_the_process(self) -> None:
        for redirect in (">&-", "> /dev/full", "> >(exec true)"):
            with self.subTest(redirect=redirect):
                done = self.run_process(redirect)
                self.assertEqual((done.returncode, done.stderr), (0, ""))


class LineWriterTest(unittest.TestCase):
    """Writing never blocks; lines that can't be written are dropped."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(self.close_pipe)

    def close_pipe(self) -> None:
        """Closes both ends of the pipe, if still open."""
        for descriptor in (self.reader, self.writer):
            with contextlib.suppress(OSError):
                os.close(descriptor)

    def close_and_read(self, writer: LineWriter) -> bytes:
        """Closes the writer while a thread reads the pipe; returns the data read."""
        received = bytearray()

        def read() -> None:
            while data := os.read(self.reader, 65536):
                received.extend(data)

        thread = threading.Thread(target=read)
        thread.start()
        writer.close()
        os.close(self.writer)
        thread.join(TIMEOUT_S)
        return bytes(received)

    def test_lines_arrive_in_order(self) -> None:
        with LineWriter(self.writer) as writer:
            for number in range(100):
                writer.write(b"%d\n" % number)
        text = os.read(self.reader, 10_000).decode()
        self.assertEqual(text.split(), [str(number) for number in range(100)])

    def test_slow_reader_drops_lines_without_blocking(self) -> None:
        writer = LineWriter(self.writer, max_pending=100)
        began = time.monotonic()
        for _ in range(PIPE_FILLING_LINES):
            writer.write(LONG_LINE)
            time.sleep(0)
        self.assertLess(time.monotonic() - began, MAX_WRITES_S)
        self.assertGreater(writer.dropped, 0)
        kept = PIPE_FILLING_LINES - writer.dropped
        self.assertEqual(self.close_and_read(writer), LONG_LINE * kept)

    def test_closed_reader_breaks_the_writer_silently(self) -> None:
        os.close(self.reader)
        with LineWriter(self.writer) as writer:

            def write_and_check_broken() -> bool:
                writer.write(LONG_LINE)
                return writer.is_broken

            wait_until(write_and_check_broken, "the writer to break", TIMEOUT_S)
            writer.write(LONG_LINE)
            self.assertEqual(len(writer), 0)

    def test_non_blocking_descriptor_gets_every_line(self) -> None:
        os.set_blocking(self.writer, False)
        writer = LineWriter(self.writer)
        for _ in range(PIPE_FILLING_LINES):
            writer.write(LONG_LINE)
        received = self.close_and_read(writer)
        self.assertEqual(len(received), PIPE_FILLING_LINES * len(LONG_LINE))

    def test_without_a_descriptor_lines_are_dropped(self) -> None:
        with LineWriter(None) as writer:
            writer.write(LONG_LINE)
            self.assertEqual(len(writer), 0)
