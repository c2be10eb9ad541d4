"""Starts processes on loopback addresses and sends them signals."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import Self


if TYPE_CHECKING:
    from collections.abc import Callable


REPOSITORY = Path(__file__).resolve().parent.parent.parent
FIRST_PORT = 10_000
FIRST_EPHEMERAL_PORT = 32_768
# Test processes use the networks 127.64.0.0/24 to 127.191.255.0/24.
FIRST_SECOND_OCTET = 64
NETWORK_COUNT = 128 * 256
POLL_INTERVAL_S = 0.01
DEFAULT_WAIT_S = 20.0
LOG_TAIL_LINES = 20
TASK_EVENT_PREFIX = '"message_type":"task_'


def loopback_host(number: int) -> str:
    """Returns a loopback address in a /24 network that only this test process uses.

    On a shared address, another program could bind the port between ``pick_address``
    and the start of the process that listens on it.
    """
    network = os.getpid() % NETWORK_COUNT
    return f"127.{FIRST_SECOND_OCTET + network // 256}.{network % 256}.{number}"


def pick_address(host: str) -> str:
    """Returns an address with a free port below the ephemeral port range.

    Outgoing connections get ports of the ephemeral range and so cannot occupy it.
    """
    while True:
        port = random.randrange(FIRST_PORT, FIRST_EPHEMERAL_PORT)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((host, port))
            return f"{host}:{port}"


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float = DEFAULT_WAIT_S
) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: If the condition does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {timeout_s} s for {description}")
        time.sleep(POLL_INTERVAL_S)


def environment_without_settings() -> dict[str, str]:
    """Returns the environment without the ``JACKDAWKEEL_`` variables."""
    return {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("JACKDAWKEEL_")
    }


class ManagedProcess:
    """A Python module that runs in its own process, with a log file.

    Attributes:
        name: Name of the process, also used for the log files.
        arguments: Module name and arguments that follow ``python -m``.
        settings: Environment variables of the process.
        log: Path of its standard output; restarts append to it.
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        folder: Path,
        settings: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.settings = settings or {}
        self.log = folder / f"{name}.log"
        self.error_log = folder / f"{name}.err"
        self.start()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.kill()

    def start(self) -> None:
        """Starts the process."""
        with self.log.open("ab") as output, self.error_log.open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=REPOSITORY,
                env=environment_without_settings() | self.settings,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
            )

    def restart(self) -> None:
        """Kills the process and starts it with the same arguments."""
        self.kill()
        self.start()

    def suspend(self) -> None:
        """Suspends the process with SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Sends SIGTERM to the process."""
        self.process.terminate()

    def kill(self) -> None:
        """Kills the process, even if it is suspended, and waits for its end."""
        self.process.kill()
        self.process.wait()

    def wait(self, timeout_s: float = DEFAULT_WAIT_S) -> int:
        """Waits for the end of the process and returns its exit code."""
        return self.process.wait(timeout_s)

    @property
    def is_running(self) -> bool:
        """Whether the process is still running."""
        return self.process.poll() is None

    def log_tail(self) -> str:
        """Returns its last events, except those of tasks, and its last errors."""
        events = self.log.read_text(errors="replace").splitlines()
        other_events = [event for event in events if TASK_EVENT_PREFIX not in event]
        errors = self.error_log.read_text(errors="replace").splitlines()
        lines = [*other_events[-LOG_TAIL_LINES:], *errors[-LOG_TAIL_LINES:]]
        return "\n".join([f"--- {self.name}", *lines])


def read_events(log: Path) -> list[dict[str, Any]]:
    """Returns the complete events in the log of a process."""
    lines = log.read_bytes().splitlines(keepends=True)
    return [json.loads(line) for line in lines if line.endswith(b"\n")]
