"""Starts real processes on loopback addresses and signals them by pid."""

from __future__ import annotations

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
from typing import Self


if TYPE_CHECKING:
    from collections.abc import Callable


REPOSITORY = Path(__file__).resolve().parent.parent.parent
FIRST_PORT = 10_000
FIRST_EPHEMERAL_PORT = 32_768
FIRST_NETWORK = 64
OWN_NETWORKS = 128 * 256
POLL_S = 0.01
DEFAULT_WAIT_S = 20.0
LOG_TAIL_LINES = 20
TASK_EVENT = '"message_type":"task_'


def loopback_host(number: int) -> str:
    """Returns a loopback IP number of a network that only this test process uses.

    Another program beside the tests could otherwise take a port between its choice
    and the start of the process that is to listen there.
    """
    network = os.getpid() % OWN_NETWORKS
    return f"127.{FIRST_NETWORK + network // 256}.{network % 256}.{number}"


def pick_address(host: str) -> str:
    """Returns an address that is free now and that no outgoing connection takes."""
    while True:
        port = random.randrange(FIRST_PORT, FIRST_EPHEMERAL_PORT)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((host, port))
            return f"{host}:{port}"


def wait_until(
    condition: Callable[[], bool], what: str, timeout_s: float = DEFAULT_WAIT_S
) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: If it does not hold in time.
    """
    give_up_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > give_up_at:
            raise TimeoutError(f"waited {timeout_s} s for {what}")
        time.sleep(POLL_S)


def clean_environment() -> dict[str, str]:
    """Returns the environment without settings of the product."""
    return {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("JACKDAWKEEL_")
    }


class ManagedProcess:
    """A Python module that runs as a process of its own, and its log.

    Attributes:
        name: Name of the process and of its log.
        arguments: What follows ``python -m``.
        settings: Environment variables of the process.
        log: Path of its standard output over all restarts.
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
                env=clean_environment() | self.settings,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
            )

    def restart(self) -> None:
        """Kills the process and starts it with the same arguments."""
        self.kill()
        self.start()

    def suspend(self) -> None:
        """Stops the process without ending it."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues the process after a freeze."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks the process to end."""
        self.process.terminate()

    def kill(self) -> None:
        """Ends the process at once, also when it is frozen."""
        self.process.kill()
        self.process.wait()

    def wait(self, timeout_s: float = DEFAULT_WAIT_S) -> int:
        """Waits for the end of the process and returns its exit code."""
        return self.process.wait(timeout_s)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def log_tail(self) -> str:
        """Returns its last events but those of tasks, and its last errors."""
        events = self.log.read_text(errors="replace").splitlines()
        rare = [event for event in events if TASK_EVENT not in event]
        errors = self.error_log.read_text(errors="replace").splitlines()
        lines = [*rare[-LOG_TAIL_LINES:], *errors[-LOG_TAIL_LINES:]]
        return "\n".join([f"--- {self.name}", *lines])
