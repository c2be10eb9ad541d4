"""A small deployment on loopback addresses: store, entries, agents, minions, clients.

Entries and agents run as the deploy file says, from a settings file, with the libraries
and the package in ``target/deps``. All stand-ins use only the standard library.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.client import HTTPConnection
from http.client import HTTPException
from pathlib import Path

from proxy import Cuts
from proxy import Proxy
from store import Store


ROOT = Path(__file__).resolve().parent.parent.parent
HERE = Path(__file__).resolve().parent
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
ZONES = ("zone-a", "zone-b", "zone-c")
GRACE_S = 6
RESEND_S = 1.3
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": GRACE_S, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
    "evacuateMs": 5000, "recoveryS": 12, "maxHoldMs": 1000, "stopTimeoutMs": 50,
    "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "remotePenalty": 1.5, "noticeMs": 4500,
    "fencingEnforced": "true", "leaseMs": 3000, "retransmitMs": 1300,
}


class CannotRun(Exception):
    """The case could not be run; this says nothing about the rule."""


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path):
        self.began_at = time.monotonic()
        self.file = open(path, "w", buffering=1)
        self.lock = threading.Lock()

    def write(self, text, at=None):
        at = time.monotonic() if at is None else at
        with self.lock:
            self.file.write(f"{at - self.began_at:9.3f}  {text}\n")


class Deployment:
    """Starts everything on entry and ends it on exit.

    Args:
        record: File for what happens.
        entries: Number of entries.
        agents: Number of agents, each with its minion.
        slots: Cores of each minion; a task of the cases takes one.
        labels: Labels of each minion, by index.
        validate: Whether the minions reject what does not fit.
        proxied: Whether the connections to entries, links and the store go through
            proxies, which obey ``cuts``.
        memory_mb: Limit of the memory of a process, for its settings.
    """

    def __init__(
        self,
        record,
        entries=2,
        agents=3,
        slots=4,
        labels=None,
        validate=True,
        proxied=False,
        memory_mb=300,
    ):
        self.memory_mb = memory_mb
        self.proxied = proxied
        self.cuts = Cuts()
        self.advertised = {}
        self.record = record
        self.entry_count = entries
        self.agent_count = agents
        self.slots = slots
        self.labels = labels or ["a,r1"] * agents
        self.validate = validate
        self.processes = {}
        self.settings = {}
        self.entries = []
        self.agents = []
        self.out_of_rotation = set()
        self.version = 0
        self.closed = threading.Event()
        self.launching = threading.Lock()

    # Addresses.

    def pick_address(self, number):
        host = f"127.{self.net[0]}.{self.net[1]}.{number}"
        while True:
            port = random.randrange(10_000, 32_000)
            with socket.socket() as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    continue
            return host, port

    def __enter__(self):
        if not (ROOT / "target/deps/jackdawkeel").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self.net = (random.randrange(64, 192), random.randrange(1, 255))
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        with self.launching:
            self.closed.set()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        for log in sorted(self.folder.glob("*.err")):
            text = log.read_text(errors="replace").strip()
            if text:
                self.record.write(f"stderr of {log.stem}: {text[-2000:]}")
        self.temporary.cleanup()

    def _start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.run = {role: row["run"].split() for role, row in deploy["roles"].items()}
        host, port = self.pick_address(1)
        self.store = Store(f"{host}:{port}")
        self.put_configuration()
        self.link_port = self.pick_address(11)[1]
        # A seed may be stale; one that is not would lead past the proxies.
        seed = 250 if self.proxied else 11
        seeds = f"127.{self.net[0]}.{self.net[1]}.{seed}:{self.link_port}"
        for index in range(self.entry_count):
            self._define_entry(index, seeds)
        for index in range(self.agent_count):
            self._define_agent(index, seeds)
        for agent in self.agents:
            self.start_minion(agent)
        for node in [*self.entries, *self.agents]:
            self.start_process(node["name"])
        self.wait_until(self.is_ready, "the entries to know all agents", 30)
        threading.Thread(target=self._check_readiness, daemon=True).start()

    def _define(self, name, role, ip, extra):
        zones = {f"zones.{zone}": "region-1" for zone in ZONES}
        settings = {
            "nodeName": name, "role": role, "ip": ip, "region": "region-1",
            "portRange": f"{self.link_port},{self.link_port + 15}",
            "bootstrap": "true", "lossCounts": "false", "heartbeatMs": 1500,
            "limits.cores": 2, "limits.memoryMb": self.memory_mb, "limits.maxFds": 4100,
            "discovery": "local", "ingress": "vip", "controlMode": "request",
            "platform.address": self.store.address, "platform.form": "kv",
            "platform.writesPerS": 400, "platform.readsPerS": 2000,
            "platform.historyS": 20, "platform.valueBytes": 1048576,
            "platform.minTtlMs": 1000,
        } | zones | {f"bounds.{key}": value for key, value in BOUNDS.items()} | extra
        if self.proxied:
            self._add_proxies(name, ip, settings)
        path = self.folder / f"{name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in settings.items()))
        self.settings[name] = (role, path)

    def _open_proxy(self, ip, upstream, **machines):
        host, port = self.pick_address(int(ip.rpartition(".")[2]))
        Proxy(self.cuts, (host, port), upstream, **machines)
        return host, port

    def _add_proxies(self, name, ip, settings):
        host, _, port = self.store.address.rpartition(":")
        store = self._open_proxy(ip, (host, int(port)), target="store", source=ip)
        settings["platform.address"] = f"{store[0]}:{store[1]}"
        link = self._open_proxy(ip, (ip, self.link_port), target=ip, may_fall_silent=True)
        self.advertised[name] = f"{link[0]}:{link[1]}"

    def _define_entry(self, index, seeds):
        number = 11 + index
        (ip, http), (_, ready) = self.pick_address(number), self.pick_address(number)
        name, zone = f"entry-{index}", ZONES[index % 3]
        reached = http
        if self.proxied:
            # Clients have one name, whatever their addresses are.
            machines = {"target": f"{ip} callers", "source": "clients"}
            reached = self._open_proxy(ip, (ip, http), **machines)[1]
        self.entries.append({"name": name, "ip": ip, "http": reached, "ready": ready})
        self._define(name, "entry", ip, {
            "zone": zone, "machineClass": "edge", "serves": "edge,control",
            "bindAddresses.http": f"{ip}:{http}",
            "bindAddresses.readiness": f"{ip}:{ready}",
            "bindAddresses.admin": f"{ip}:{self.pick_address(number)[1]}",
            "seeds": seeds,
        })

    def _define_agent(self, index, seeds):
        number = 61 + index
        (ip, admin), (_, app) = self.pick_address(number), self.pick_address(number)
        name, zone = f"agent-{index}", ZONES[index % 3]
        self.agents.append({
            "name": name, "minion": f"i-{index}", "zone": zone, "labels": self.labels[index],
            "admin": f"{ip}:{admin}", "app": f"{ip}:{app}",
        })
        self._define(name, "agent", ip, {
            "zone": zone, "machineClass": "side", "serves": "side",
            "bindAddresses.admin": f"{ip}:{admin}", "app": f"{ip}:{app}",
            "seeds": seeds,
        })

    # Processes.

    def _launch(self, name, command, extra):
        keep = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in keep if key in os.environ} | extra
        with self.launching:
            # A timer of a case may come late; nothing starts while all is ended.
            if self.closed.is_set():
                return
            self._open_process(name, command, env)

    def _open_process(self, name, command, env):
        output = open(self.folder / f"{name}.log", "ab")
        errors = open(self.folder / f"{name}.err", "ab")
        with output, errors:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                stdout=output, stderr=errors,
            )

    def start_process(self, name):
        """Starts an entry or an agent with the command of the deploy file."""
        role, path = self.settings[name]
        extra = {"PYTHONPATH": "target/deps", "JACKDAWKEEL_BOOT": str(path)}
        if name in self.advertised:
            extra["JACKDAWKEEL_ADVERTISE"] = self.advertised[name]
        self._launch(name, self.run[role], extra)
        self.record.write(f"start {name}")

    def start_minion(self, agent, first_ping_ms=0, slots=None):
        """Starts one boot of a minion, with as many cores as slots."""
        command = [
            sys.executable, str(HERE / "minion.py"),
            "--listen", agent["app"], "--admin", agent["admin"],
            "--id", agent["minion"], "--service", SERVICE, "--zone", agent["zone"],
            "--labels", agent["labels"], "--slots", str(slots or self.slots),
            "--first-ping-ms", str(first_ping_ms),
            "--log", str(self.folder / f"{agent['minion']}.runs"),
        ]
        if not self.validate:
            command.append("--unguarded")
        self._launch(agent["minion"], command, {})

    def signal(self, name, number):
        """Sends a signal to a process of the deployment."""
        self.processes[name].send_signal(number)
        self.record.write(f"{signal.Signals(number).name} to {name}")

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    # The operator and the platform.

    def put_configuration(self, **route):
        self.version += 1
        row = {
            "name": "q-1", "host": HOST, "prefix": PREFIX, "service": SERVICE,
            "priority": 0, "maxAttempts": 3, "stretchFactor": 2.0,
            "targetLatencyMs": 1000, "timeoutMs": 60000,
        }
        document = {
            "version": self.version,
            "routes": [row | route],
            "services": [{"name": SERVICE, "validate": self.validate}],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("op/config", json.dumps(document).encode())

    def _get(self, entry, path, timeout_s=1.0):
        connection = HTTPConnection(entry["ip"], entry["ready"], timeout=timeout_s)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read().decode()
        except (OSError, HTTPException):
            return 0, ""
        finally:
            connection.close()

    def is_ready(self):
        for entry in self.entries:
            if self._get(entry, "/-/readyz")[0] != 200:
                return False
            lines = self._get(entry, "/metrics")[1].splitlines()
            usable = [x for x in lines if "agents" in x and "usable" in x]
            if not usable or float(usable[0].split()[-1]) != self.agent_count:
                return False
        return True

    def _check_readiness(self):
        """Takes entries out of rotation after two misses, as the platform does."""
        misses = {entry["name"]: 0 for entry in self.entries}

        def check(entry):
            name = entry["name"]
            if self._get(entry, "/-/readyz")[0] == 200:
                misses[name] = 0
                if name in self.out_of_rotation:
                    self.out_of_rotation.discard(name)
                    self.record.write(f"platform: {name} is back in rotation")
                return
            misses[name] += 1
            if misses[name] == 2:
                self.out_of_rotation.add(name)
                self.record.write(f"platform: {name} is out of rotation")

        while not self.closed.wait(1.0):
            for entry in self.entries:
                threading.Thread(target=check, args=(entry,), daemon=True).start()

    def choose_entry(self, home, other_than=None):
        """Returns the entry to which the platform forwards a client's new channel.

        Args:
            home: Index of the entry that the hash of the client selects.
            other_than: Index of an entry that a retry must not reach; None for any.
        """
        order = [(home + step) % len(self.entries) for step in range(len(self.entries))]
        for index in order:
            name = self.entries[index]["name"]
            if index != other_than and name not in self.out_of_rotation:
                return index
        return home

    # Clients.

    def call(self, method, job, entry, body=None, deadline_ms=30_000):
        """Sends a client's request and returns status and body; status 0 for none."""
        node = self.entries[entry]
        self.record.write(f"client: {method} {job} to {node['name']}")
        connection = HTTPConnection(node["ip"], node["http"], timeout=deadline_ms / 1000)
        headers = {"Host": HOST, "Deadline-Ms": str(deadline_ms)}
        headers["Content-Type"] = "application/json"
        try:
            connection.request(method, PREFIX + job, body, headers)
            response = connection.getresponse()
            status, text = response.status, response.read().decode()
        except (OSError, HTTPException) as error:
            status, text = 0, str(error)
        finally:
            connection.close()
        self.record.write(f"client: {method} {job} at {node['name']} -> {status} {text}")
        return status, text

    def post_quietly(self, job, entry, body, deadline_ms=30_000):
        """Submits a job without a line in the record; returns the status, 0 for none."""
        node = self.entries[entry]
        connection = HTTPConnection(node["ip"], node["http"], timeout=deadline_ms / 1000)
        headers = {"Host": HOST, "Deadline-Ms": str(deadline_ms)}
        headers["Content-Type"] = "application/json"
        try:
            connection.request("POST", PREFIX + job, body, headers)
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, HTTPException):
            return 0
        finally:
            connection.close()

    def call_in_background(self, *arguments, **options):
        """The same on a thread; returns the list that gets status and body."""
        result = []

        def work():
            result.extend(self.call(*arguments, **options))

        threading.Thread(target=work, daemon=True).start()
        return result

    # Runs.

    def events(self):
        """Returns what the minions have logged, by time."""
        rows = []
        for path in self.folder.glob("*.runs"):
            lines = path.read_bytes().splitlines(keepends=True)
            rows += [json.loads(x) for x in lines if x.endswith(b"\n")]
        return sorted(rows, key=lambda row: row["at"])

    def starts(self, job):
        return [
            row for row in self.events()
            if row["event"] == "start" and row["task"].startswith(job)
        ]

    def write_runs(self):
        """Copies the minions' logs to the record."""
        for row in self.events():
            if row["event"] == "ping":
                continue
            fields = {k: v for k, v in row.items() if k not in ("at", "event", "minion")}
            self.record.write(f"minion {row['minion']}: {row['event']} {fields}", row["at"])

    def wait_until(self, condition, what, timeout_s=10):
        until = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"waited {timeout_s} s for {what}")
            time.sleep(0.02)


def make_id():
    return f"{random.randrange(16**16):016x}"


def make_body(run_ms, steps):
    """Returns a best-effort job; each task runs for ``run_ms`` on one core."""
    rows = [{"cpu": 1000, "memMb": 64, "estimateMs": run_ms} | step for step in steps]
    return json.dumps({"spec": str(run_ms), "bestEffort": True, "steps": rows})


def run_case(folder, case):
    """Runs a case and returns the exit code of its script.

    Args:
        folder: Folder of the case.
        case: Called with the record and whether to cause the disruption; returns why
            the rule was broken, or None.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(has_trouble)}")
    try:
        broken = case(record, has_trouble)
    except CannotRun as error:
        record.write(f"could not run: {error}")
        print(f"could not run: {error}")
        return 2
    except Exception as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    verdict = f"rule broken: {broken}" if broken else "rule held"
    record.write(verdict)
    print(verdict)
    return 1 if broken else 0
