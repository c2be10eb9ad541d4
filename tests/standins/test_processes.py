"""Loopback addresses of the stand-ins, and the error for a process that cannot start.

Two test runs on one machine must not choose the same addresses. If a process fails to
start, the wait must fail with its name before the timeout.
"""

from __future__ import annotations

import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.standins.fleet import Fleet
from tests.standins.fleet import find_incarnations
from tests.standins.fleet import find_reporting_agents
from tests.standins.processes import REPOSITORY
from tests.standins.processes import ManagedProcess
from tests.standins.processes import loopback_host
from tests.standins.processes import pick_address


PRINT_LOOPBACK_HOST = (
    "from tests.standins.processes import loopback_host; print(loopback_host(1))"
)


class LoopbackHostTest(unittest.TestCase):
    def test_each_process_uses_its_own_network(self) -> None:
        other = subprocess.run(
            [sys.executable, "-c", PRINT_LOOPBACK_HOST],
            cwd=REPOSITORY,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertNotEqual(loopback_host(1), other.stdout.strip())

    def test_picked_address_accepts_a_listener(self) -> None:
        host, port = pick_address(loopback_host(1)).rsplit(":", 1)
        with socket.create_server((host, int(port))) as listener:
            self.assertEqual((host, int(port)), listener.getsockname())


class ExitedProcessTest(unittest.TestCase):
    def test_wait_fails_early_with_name_of_exited_process(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            socket.create_server((loopback_host(1), 0)) as listener,
        ):
            address = f"{loopback_host(1)}:{listener.getsockname()[1]}"
            arguments = ["tests.standins.target", "--listen", address]
            fleet = Fleet()
            process = ManagedProcess("target-1", arguments, Path(folder))
            fleet.processes.append(process)
            with (
                process,
                self.assertRaisesRegex(AssertionError, "target-1 ended with an error"),
            ):
                fleet.wait_until(lambda: False, "a target")


class FleetLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def write(self, name: str, *lines: str) -> Path:
        """Writes a log; the last line may be incomplete."""
        path = self.folder / name
        path.write_text("".join(lines))
        return path

    def test_a_process_that_has_logged_nothing_yet_has_no_incarnation(self) -> None:
        started = self.write("a", '{"task_uuid":"1"}\n', '{"task_uuid":"2"}\n', '{"ta')
        empty = self.write("b")
        self.assertEqual({"2"}, find_incarnations([started]))
        self.assertIsNone(find_incarnations([started, empty]))

    def test_agents_of_an_earlier_process_of_an_entry_do_not_count(self) -> None:
        log = self.write(
            "entry",
            '{"message_type":"agent_heard","agent":"1"}\n',
            '{"message_type":"process_started"}\n',
            '{"message_type":"agent_heard","agent":"2"}\n',
        )
        self.assertEqual({"2"}, find_reporting_agents(log))
