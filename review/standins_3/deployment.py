"""A small deployment: the programs of the deploy file, a store, minions and clients."""

from __future__ import annotations

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from tests.standins.platform_store import PlatformStoreStandin

from .minion import Minion
from .minion import Run
from .proxy import ResettingProxy
from .record import Record


if TYPE_CHECKING:
    from collections.abc import Callable


REPOSITORY = Path(__file__).resolve().parents[2]
ZONES = ("north", "middle", "south")
HOST = "queue.example"
PREFIX = "/nights/"
SERVICE = "nights-api"
RETRANSMIT_S = 1.3
MAX_TRIES = 8
STANDARD_SETTINGS = """\
region=east
zones.north=east
zones.middle=east
zones.south=east
bootstrap=true
lossCounts=false
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.bandwidthMbps=1000.0
limits.diskMb=0
discovery=local
ingress=vip
heartbeatMs=1500
policies=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing
faultTolerance.machines=1
faultTolerance.zones=1
faultTolerance.regions=0
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.evacuateMs=5000
bounds.maxHoldMs=1000
bounds.stopTimeoutMs=50
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.status_s=120
bounds.remotePenalty=1.5
bounds.fencingEnforced=true
bounds.leaseMs=3000
bounds.retransmitMs=1300
controlMode=request
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.minTtlMs=1000
"""


def new_host(number: int) -> str:
    """Returns a loopback address in a network that only this process uses."""
    network = os.getpid() % (128 * 256)
    return f"127.{64 + network // 256}.{network % 256}.{number}"


def free_port(host: str) -> int:
    """Returns a free port below the range of outgoing connections."""
    while True:
        port = random.randrange(10_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port


class Program:
    """One process of a role, started with the command of the deploy file."""

    def __init__(self, name: str, command: list[str], settings: Path) -> None:
        self.name = name
        self.command = command
        self.settings = settings
        self.log = settings.with_suffix(".log")
        self.start()

    def start(self) -> None:
        """Starts the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["JACKDAWKEEL_BOOT"] = str(self.settings)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self.command,
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def kill(self) -> None:
        """Sends SIGKILL and waits for the end."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def send(self, number: int) -> None:
        """Sends a signal."""
        self.process.send_signal(number)

    def log_text(self) -> str:
        """Returns the log."""
        return self.log.read_text(errors="replace")


class Edge:
    """An entry, with the addresses that clients and the balancer use."""

    def __init__(self, program: Program, http_address: str, readiness: str) -> None:
        self.program = program
        self.address = http_address
        self.readiness = readiness


class Deployment:
    """Three edge machines, some side machines with their minions, and the store."""

    def __init__(
        self, record: Record, labels: list[list[str]], edges: int = 3
    ) -> None:
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.version = 0
        self.edges: list[Edge] = []
        self.sides: list[Program] = []
        self.minions: list[Minion] = []
        self.store = PlatformStoreStandin(new_host(1))
        self.store.__enter__()
        # The way of the first edge machine to the store.
        host = new_host(2)
        self.store_path = ResettingProxy(host, free_port(host), self.store.address)
        self.labels = labels
        self.edge_count = edges
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self.commands = {
            role["on"]: role["run"].split() for role in deploy["roles"].values()
        }

    def __enter__(self) -> Deployment:
        self.put_configuration()
        port = free_port(new_host(31))
        admin_port = free_port(new_host(31))
        seeds = ",".join(f"{new_host(31 + n)}:{admin_port}" for n in range(3))
        for index in range(self.edge_count):
            host = new_host(31 + index)
            ports = {name: f"{host}:{free_port(host)}" for name in ("http", "ready")}
            program = self._start(
                "edge",
                index,
                host,
                f"serves=edge,control\nbindAddresses.http={ports['http']}\n"
                f"bindAddresses.readiness={ports['ready']}\n"
                f"bindAddresses.admin={host}:{admin_port}\n",
                port,
                seeds,
            )
            self.edges.append(Edge(program, ports["http"], ports["ready"]))
        for index, labels in enumerate(self.labels):
            host = new_host(61 + index)
            admin = f"{host}:{admin_port}"
            app_port = free_port(host)
            minion = Minion(
                name=f"minion-{index}",
                service=SERVICE,
                zone=ZONES[index % 3],
                labels=labels,
                host=host,
                port=app_port,
                admin=admin,
                record=self.record,
            )
            minion.start()
            self.minions.append(minion)
            self.sides.append(
                self._start(
                    "side",
                    index,
                    host,
                    f"serves=side\nbindAddresses.admin={admin}\n"
                    f"app={host}:{app_port}\nservice={SERVICE}\n",
                    port,
                    seeds,
                )
            )
        self.wait_until_ready(len(self.labels))
        self.record.add("deployment", "all edge machines are ready")
        return self

    def __exit__(self, *_: object) -> None:
        for program in [edge.program for edge in self.edges] + self.sides:
            if program.process.poll() is None:
                program.send(signal.SIGCONT)
                program.kill()
        for minion in self.minions:
            minion.crash()
        self.store.__exit__()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in Path(self.folder.name).glob("*.log"):
                Path(keep, log.name).write_bytes(log.read_bytes())
        self.folder.cleanup()

    def _start(
        self, kind: str, index: int, host: str, own: str, port: int, seeds: str
    ) -> Program:
        name = f"{kind}-{ZONES[index % 3]}-{index}"
        path = Path(self.folder.name, f"{name}.conf")
        is_first_edge = kind == "edge" and not index
        store = self.store_path.address if is_first_edge else self.store.address
        path.write_text(
            f"nodeName={name}\nrole={kind}\nmachineClass={kind}\nip={host}\n"
            f"zone={ZONES[index % 3]}\nportRange={port},{port + 15}\nseeds={seeds}\n"
            f"platform.address={store}\n{own}{STANDARD_SETTINGS}"
        )
        return Program(name, self.commands[kind], path)

    def put_configuration(self, with_route: bool = True) -> None:
        """Writes the next version of the configuration, as the operator does."""
        self.version += 1
        route = {
            "name": "r-1",
            "host": HOST,
            "prefix": PREFIX,
            "type": "non_idempotent",
            "timeoutMs": 60_000,
            "targetLatencyMs": 1000,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 3,
            "stretchFactor": 2.0,
        }
        other = route | {"name": "r-2", "prefix": "/other/"}
        document = {
            "version": self.version,
            "routes": [route, other] if with_route else [other],
            "services": [{"name": SERVICE, "validate": True}],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("op/config", json.dumps(document).encode())
        names = [row["prefix"] for row in document["routes"]]  # type: ignore[index]
        self.record.add("operator", f"configuration {self.version}, routes {names}")

    def is_ready(self, edge: Edge) -> bool:
        """Returns whether the balancer has the edge machine in rotation."""
        try:
            host, _, port = edge.readiness.rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
            connection.request("GET", "/-/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_until_ready(self, sides: int, timeout_s: float = 25.0) -> None:
        """Waits until every edge machine is ready and has heard of every minion."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if all(self._usable(edge) >= sides for edge in self.edges):
                return
            time.sleep(0.05)
        self.record.add("deployment", "the edge machines did not get ready")
        raise CannotRun

    def _usable(self, edge: Edge) -> float:
        if not self.is_ready(edge):
            return 0
        host = edge.readiness.rpartition(":")[0]
        try:
            connection = http.client.HTTPConnection(host, 9105, timeout=1.0)
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
        except (OSError, http.client.HTTPException):
            return 0
        for line in text.splitlines():
            if "agents" in line and '"usable"' in line and not line.startswith("#"):
                return float(line.split()[-1])
        return 0

    def all_runs(self) -> list[Run]:
        """Returns the runs of all minions, by their start."""
        runs = [run for minion in self.minions for run in list(minion.runs)]
        return sorted(runs, key=lambda run: run.started_at)


class CannotRun(Exception):
    """The case can't run here."""


def make_job(steps: list[dict[str, Any]], work_ms: list[int]) -> dict[str, Any]:
    """Returns the body of a best-effort job whose tasks take this long, by step."""
    return {"spec": json.dumps({"ms": work_ms}), "steps": steps, "bestEffort": True}


def call(
    record: Record,
    who: str,
    address: str,
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = 60.0,
    deadline_ms: int = 60_000,
) -> tuple[int, str]:
    """Sends a client's request on a new channel; 0 stands for no response."""
    record.add(who, f"{method} {path} to {address}")
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    headers = {"Host": HOST, "Deadline-Ms": str(deadline_ms)}
    data = None
    if body is not None:
        headers["Content-Type"] = "application/json"
        data = json.dumps(body)
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read().decode(errors="replace")
        status = response.status
    except (OSError, http.client.HTTPException) as error:
        status, text = 0, repr(error)
    finally:
        connection.close()
    record.add(who, f"{method} {path}: {status} {text[:160]}")
    return status, text


def submit(
    record: Record,
    who: str,
    choose: Callable[[int | None], str],
    home: int,
    job_id: str,
    body: Any,
    budget_s: float = 60.0,
) -> None:
    """Hands a job in, and again after no response, 502 or 504, to any node.

    Args:
        record: The record of the case.
        who: Name of the client.
        choose: Returns the address that a new channel reaches.
        home: Number of the edge machine that the client's hash selects.
        job_id: Id of the job.
        body: The job.
        budget_s: How long the client waits for a response, in seconds.
    """
    for number in range(MAX_TRIES):
        if number:
            time.sleep(RETRANSMIT_S)
        status, _ = call(
            record,
            who,
            choose(None if number else home),
            "POST",
            f"{PREFIX}{job_id}",
            body,
            timeout_s=budget_s,
            deadline_ms=int(1000 * budget_s),
        )
        if status not in (0, 502, 504):
            return


def has_trouble() -> bool:
    """Returns whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def conclude(record: Record, broken: list[str]) -> int:
    """Writes the verdict and returns the exit code."""
    for line in broken:
        record.add("verdict", line)
    verdict = "the rule was BROKEN" if broken else "the rule held"
    record.add("verdict", verdict)
    print(verdict, *broken[:5], sep="\n  ")
    return 1 if broken else 0


def _raise_interrupt(*_: object) -> None:
    raise KeyboardInterrupt


def run_case(path: str, play: Any) -> None:
    """Plays a case and exits with its code; 2 if it couldn't run."""
    record = Record(str(Path(path).resolve().parent / "record.txt"))
    for number in (signal.SIGTERM, signal.SIGINT):
        # The processes of the case are ended, as after any other exception.
        signal.signal(number, _raise_interrupt)
    try:
        code = play(record)
    except CannotRun:
        code = 2
    except (Exception, KeyboardInterrupt) as error:
        record.add("case", f"couldn't run: {error!r}")
        print(f"couldn't run: {error!r}", file=sys.stderr)
        code = 2
    sys.stdout.flush()
    os._exit(code)
