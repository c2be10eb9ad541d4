"""A small deployment for the scripts of the second review, on loopback addresses.

It starts the project's programs with the commands of the deploy file, in front of the
project's stand-in for the platform's store and of the minions in ``minion.py``. All
requests, answers and starts are written to ``record.txt`` of the case.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(REPOSITORY))

from minion import Minion  # noqa: E402
from tests.standins.platform_store import PlatformStoreStandin  # noqa: E402

ZONES = ("north", "middle", "south")
HOST = "queue.example"
PREFIX = "/nights/"
SERVICE = "svc"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of the users' small installations.
BOUNDS = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": 1000,
    "stopTimeoutMs": 50,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "remotePenalty": 1.5,
    "leaseMs": 3000,
    "retransmitMs": 1300,
}


class CannotRun(Exception):
    """The case can't be played; it says nothing about the rule."""


class Record:
    """The record of a case, with the seconds since its start."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = path.open("w")

    def now(self) -> float:
        return time.monotonic() - self.started

    def write(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{self.now():9.3f}  {text}\n")
            self.file.flush()


PICKED: set[int] = set()


def free_port(host: str) -> int:
    """Returns a free port; none is returned twice."""
    while True:
        port = random.randrange(10_000, 32_768)
        if port in PICKED:
            continue
        PICKED.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port


class Program:
    """One of the project's processes, started as the platform starts it."""

    def __init__(self, command: list[str], settings: Path, log: Path) -> None:
        self.command = command
        self.settings = settings
        self.log = log
        self.start()

    def start(self) -> None:
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        kept["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        kept["JACKDAWKEEL_BOOT"] = str(self.settings)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self.command, cwd=REPOSITORY, env=kept, stdin=subprocess.DEVNULL, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        self.process.wait()


class Fleet:
    """Entries, agents with a minion each, and the store."""

    def __init__(self, case: Path, entries: int = 2, agents: int = 3, cpu: int = 32_000,
                 off: int = 0, **minion) -> None:
        self.record = Record(case / "record.txt")
        self.entry_count, self.agent_count, self.cpu = entries, agents, cpu
        # Minions that are off at first: those with the lowest numbers.
        self.off = off
        self.minion_fields = minion
        self.programs: list[Program] = []
        self.entries: list[Program] = []
        self.agents: list[Program] = []
        self.minions: list[Minion] = []
        self.entry_addresses: list[tuple[str, int]] = []
        self.readiness: list[tuple[str, int]] = []
        self.metrics: list[tuple[str, int]] = []
        self.version = 0
        roles = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}
        network = os.getpid() % 30_000
        self.network = f"127.{64 + network // 250}.{network % 250 + 1}"

    def __enter__(self) -> "Fleet":
        self.folder_owner = tempfile.TemporaryDirectory()
        self.folder = Path(self.folder_owner.name)
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start(self) -> None:
        self.store = PlatformStoreStandin()
        self.store.__enter__()
        self.configure()
        self.link_port = free_port(f"{self.network}.31")
        for index in range(self.entry_count):
            self._start_entry(index)
        for index in range(self.agent_count):
            self._start_agent(index)
        self.wait(self._is_ready, "the deployment to be ready", 30)
        self.record.write(f"ready: {self.entry_count} entries, {self.agent_count} agents")

    def __exit__(self, *_: object) -> None:
        for program in self.programs:
            program.signal(signal.SIGCONT)
            program.kill()
        for minion in self.minions:
            minion.close()
        if hasattr(self, "store"):
            self.store.__exit__()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in self.folder.glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self.folder_owner.cleanup()

    def configure(self, *prefixes: str) -> None:
        """Writes a new version of the configuration, as the operator does.

        Args:
            prefixes: The prefixes of its routes; that of the jobs if none is given.
        """
        self.version += 1
        document = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{prefix.strip('/')}", "host": HOST, "prefix": prefix, "type": "non_idempotent",
                    "timeoutMs": 60_000, "service": SERVICE, "priority": 0, "maxAttempts": 2,
                    "stretchFactor": 1.6, "targetLatencyMs": 60,
                }
                for prefix in prefixes or (PREFIX,)
            ],
            "services": [{"name": SERVICE, "validate": True}],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("op/config", json.dumps(document).encode())
        self.record.write(f"operator: version {self.version}, routes {prefixes or (PREFIX,)}")

    def _settings(self, role: str, index: int, host: str, extra: dict[str, object]) -> Path:
        zone = ZONES[index % len(ZONES)]
        fields: dict[str, object] = {
            "nodeName": f"{role}-{zone}-{index}", "role": role, "ip": host, "zone": zone, "region": "all",
            "portRange": f"{self.link_port},{self.link_port + 15}", "bootstrap": "true",
            "seeds": f"{self.network}.31:{self.link_port}", "heartbeatMs": 1500, "controlMode": "request",
            "platform.address": self.store.address, "platform.form": "kv", "platform.minTtlMs": 1000,
        }
        fields |= {f"bounds.{name}": value for name, value in BOUNDS.items()} | extra
        path = self.folder / f"{role}-{index}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in fields.items()))
        return path

    def _run(self, role: str, index: int, settings: Path) -> Program:
        program = Program(self.commands[role], settings, self.folder / f"{role}-{index}.log")
        self.programs.append(program)
        return program

    def _start_entry(self, index: int) -> None:
        host = f"{self.network}.{31 + index}"
        callers, readiness = (host, free_port(host)), (host, free_port(host))
        settings = self._settings("entry", index, host, {
            "machineClass": "edge", "serves": "edge,control",
            "bindAddresses.http": "%s:%d" % callers, "bindAddresses.readiness": "%s:%d" % readiness,
            "bindAddresses.admin": f"{host}:{free_port(host)}",
        })
        self.entry_addresses.append(callers)
        self.readiness.append(readiness)
        self.metrics.append((host, 9105))
        self.entries.append(self._run("entry", index, settings))

    def _start_agent(self, index: int) -> None:
        host = f"{self.network}.{61 + index}"
        admin = (host, free_port(host))
        zone = ZONES[index % len(ZONES)]
        fields = {"labels": ["a", f"r{index}"], "is_off": index < self.off} | self.minion_fields
        minion = Minion(f"i-{index}", SERVICE, zone, host, admin, self.cpu, record=self.record, **fields)
        self.minions.append(minion)
        settings = self._settings("agent", index, host, {
            "machineClass": "side", "serves": "side",
            "bindAddresses.admin": "%s:%d" % admin, "app": minion.address,
        })
        self.agents.append(self._run("agent", index, settings))

    def _is_ready(self) -> bool:
        return all(self._is_entry_ready(index) for index in range(self.entry_count))

    def _is_entry_ready(self, index: int) -> bool:
        try:
            if call(self.readiness[index], "GET", "/-/readyz", timeout=1)[0] != 200:
                return False
            text = call(self.metrics[index], "GET", "/metrics", timeout=1)[1].decode()
        except OSError:
            return False
        lines = [line for line in text.splitlines() if "agents" in line and "usable" in line]
        return bool(lines) and float(lines[0].split()[-1]) == self.agent_count - self.off

    def wait(self, condition, description: str, timeout: float = 20.0) -> None:
        deadline = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRun(f"waited {timeout} s for {description}")
            time.sleep(0.01)

    # Clients.

    def request(self, entry: int, method: str, path: str, body: dict | None = None,
                timeout: float = 30.0, deadline_ms: int | None = None,
                address: tuple[str, int] | None = None) -> tuple[int, str]:
        """Sends one request on a new channel; status 0 stands for no answer.

        The channel leads to the address of the entry, or of a path to it.
        """
        headers = {"Host": HOST, "Deadline-Ms": str(deadline_ms or int(1000 * timeout))}
        self.record.write(f"client -> entry {entry}: {method} {path} {json.dumps(body) if body else ''}")
        try:
            status, data = call(address or self.entry_addresses[entry], method, path, body, headers, timeout)
            text = data.decode(errors="replace")
        except (OSError, http.client.HTTPException) as error:
            status, text = 0, type(error).__name__
        self.record.write(f"client <- entry {entry}: {method} {path} -> {status} {text}")
        return status, text

    def post(self, entry: int, job: str, body: dict, prefix: str = PREFIX, **options) -> "Answer":
        """Submits a job from a thread of its own."""
        return Answer(lambda: self.request(entry, "POST", prefix + job, body, **options))

    def runs(self, job: str = ""):
        """Returns the runs of a job on all minions, in the order of their starts."""
        found = [run for minion in self.minions for run in list(minion.runs) if run.task.startswith(job)]
        return sorted(found, key=lambda run: run.started_at)


class Reset:
    """A path to an entry that resets each channel once it carries a request."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.address = self.socket.getsockname()
        threading.Thread(target=self._work, daemon=True).start()

    def _work(self) -> None:
        while True:
            try:
                channel, _ = self.socket.accept()
            except OSError:
                return
            channel.recv(65536)
            channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            channel.close()

    def close(self) -> None:
        self.socket.close()


class Answer:
    """The answer to a request that is sent in the background."""

    def __init__(self, send) -> None:
        self.value: tuple[int, str] | None = None
        self.at = 0.0

        def work() -> None:
            value = send()
            self.at = time.monotonic()
            self.value = value

        self.thread = threading.Thread(target=work, daemon=True)
        self.thread.start()

    def result(self, timeout: float = 60.0) -> tuple[int, str]:
        self.thread.join(timeout)
        if self.value is None:
            raise CannotRun("a request has no answer")
        return self.value


def call(address, method, path, body=None, headers=None, timeout=5.0) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        data = json.dumps(body).encode() if body is not None else None
        sent = dict(headers or {})
        if data is not None:
            sent["Content-Type"] = "application/json"
        connection.request(method, path, data, sent)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def step(count: int = 1, cpu: int = 1000, **fields) -> dict:
    return {"count": count, "cpu": cpu, "memMb": 64} | fields


def job(run_ms: int, *steps: dict) -> dict:
    """Returns the body of a best-effort job whose tasks each take a time."""
    return {"spec": f"run_ms={run_ms}", "bestEffort": True, "steps": list(steps)}


def play(case: str, check) -> None:
    """Runs a check: it returns what broke the rule, or an empty text."""
    random.seed()
    # The time limit of the script; the processes are ended on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = check(Path(case).resolve().parent)
    except CannotRun as error:
        print(f"could not run: {error}")
        sys.exit(2)
    except OSError as error:
        print(f"could not run: {error}")
        sys.exit(2)
    print(f"RULE BROKEN: {broken}" if broken else "the rule held")
    sys.exit(1 if broken else 0)
