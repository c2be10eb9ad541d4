"""Addresses of stand-ins, and what is said of a process that cannot start."""

from __future__ import annotations

import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.standins.fleet import Fleet
from tests.standins.processes import REPOSITORY
from tests.standins.processes import ManagedProcess
from tests.standins.processes import loopback_host
from tests.standins.processes import pick_address


PRINT_OWN_HOST = (
    "from tests.standins.processes import loopback_host; print(loopback_host(1))"
)


class OwnHostTest(unittest.TestCase):
    def test_another_process_has_another_network(self) -> None:
        other = subprocess.run(
            [sys.executable, "-c", PRINT_OWN_HOST],
            cwd=REPOSITORY,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertNotEqual(loopback_host(1), other.stdout.strip())

    def test_addresses_can_be_listened_on(self) -> None:
        host, port = pick_address(loopback_host(1)).rsplit(":", 1)
        with socket.create_server((host, int(port))) as listener:
            self.assertEqual((host, int(port)), listener.getsockname())


class EndedProcessTest(unittest.TestCase):
    def test_process_that_cannot_listen_is_named_at_once(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            socket.create_server((loopback_host(1), 0)) as taken,
        ):
            address = f"{loopback_host(1)}:{taken.getsockname()[1]}"
            arguments = ["tests.standins.target", "--listen", address]
            fleet = Fleet()
            process = ManagedProcess("target-1", arguments, Path(folder))
            fleet.processes.append(process)
            with (
                process,
                self.assertRaisesRegex(AssertionError, "target-1 ended with an error"),
            ):
                fleet.wait_until(lambda: False, "a target")
