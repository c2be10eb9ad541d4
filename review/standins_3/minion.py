"""A minion as PROTOCOL.md describes it: runs tasks under a lease, and sends beats.

The ``spec`` of a job tells how long its tasks take: ``{"ms": [2000, 500]}`` has one
entry for each step.
"""

from __future__ import annotations

import http.client
import json
import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from .record import Record


MAX_HOLD_MS = 1000
LISTED_ENDS = 500
CHECK_INTERVAL_S = 0.005


@dataclass
class Run:
    """One run of a task; times are those of the record, 0 while it runs."""

    minion: str
    life: int
    labels: tuple[str, ...]
    task: str
    attempt: int
    started_at: float
    work_s: float
    begun_ms: int = 0
    ended_at: float = 0.0
    how: str = ""


class Minion:
    """One address at which a minion lives, crashes and starts again.

    Attributes:
        runs: All runs of all lives.
        drained_at: When a beat with state ``draining`` was first acknowledged, in the
            time of the record; None before.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        labels: list[str],
        host: str,
        port: int,
        admin: str,
        record: Record,
        heartbeat_s: float = 1.5,
    ) -> None:
        self.name = name
        self.instance = f"i-{name}"
        self.service = service
        self.zone = zone
        self.labels = labels
        self.host = host
        self.port = port
        self.admin = admin
        self.record = record
        self.heartbeat_s = heartbeat_s
        self.state = "ready"
        self.remaining_until = 0.0
        self.life = 0
        self.is_up = False
        self.runs: list[Run] = []
        self.drained_at: float | None = None
        self.changed = threading.Condition()
        self.server: Server | None = None
        self.connections: set[Any] = set()
        self.suspended_at: float | None = None
        self.suspended_s = 0.0

    # One life.

    def start(self, first_beat_s: float = 0.0, clock_error_ms: int = 0) -> None:
        """Begins a life, which runs nothing and has seen no generation number.

        Args:
            first_beat_s: Time until its first beat, in seconds.
            clock_error_ms: Error of the machine's time of day, in milliseconds.
        """
        with self.changed:
            self.life += 1
            self.is_up = True
            self.born = int(time.time() * 1000) + clock_error_ms
            self.clock_started_at = time.monotonic()
            self.suspended_s = 0.0
            self.sequence = 0
            self.lease_ms = 0.0
            self.token = 0
            self.running: dict[tuple[str, int], Run] = {}
            self.finished: list[tuple[int, Run]] = []
            self.next_end = 1
            self.over: dict[str, int] = {}
            life = self.life
        self.server = Server((self.host, self.port), self)
        threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        ).start()
        threading.Thread(target=self._work, args=(life,), daemon=True).start()
        threading.Thread(
            target=self._beat, args=(life, first_beat_s), daemon=True
        ).start()
        self.record.add(
            self.name, f"life {life} begins, labels {self.labels}, born {self.born}"
        )

    def crash(self) -> None:
        """Ends the life: its runs end, its port refuses and its channels break."""
        with self.changed:
            if not self.is_up:
                return
            self.is_up = False
            for run in list(self.running.values()):
                self._end(run, "crashed", listed=False)
            self.record.add(self.name, f"life {self.life} crashes")
            self.changed.notify_all()
        assert self.server is not None
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.connections):
            try:
                connection.close()
            except OSError:
                pass

    def drain(self, remaining_s: float) -> None:
        """Announces the end of the minion with the next beats."""
        self.state = "draining"
        self.remaining_until = time.monotonic() + remaining_s
        self.record.add(self.name, "is to leave: its beats say draining")

    def clock_ms(self) -> int:
        """Returns the minion's clock."""
        now = time.monotonic() if self.suspended_at is None else self.suspended_at
        return 1 + int((now - self.clock_started_at - self.suspended_s) * 1000)

    def suspend(self) -> None:
        """Suspends the minion with its machine: its steady clock stands still."""
        with self.changed:
            self.suspended_at = time.monotonic()
            self.record.add(self.name, "its machine is suspended")

    def resume(self) -> None:
        """Resumes it."""
        with self.changed:
            if self.suspended_at is None:
                return
            self.suspended_s += time.monotonic() - self.suspended_at
            self.suspended_at = None
            self.record.add(self.name, "its machine goes on")
            self.changed.notify_all()

    def _wait_until_resumed(self) -> None:
        self.changed.wait_for(lambda: self.suspended_at is None or not self.is_up)

    def _work(self, life: int) -> None:
        while self.is_up and self.life == life:
            time.sleep(CHECK_INTERVAL_S)
            with self.changed:
                if not self.is_up or self.life != life:
                    return
                if self.suspended_at is not None:
                    continue
                self._end_due()

    def _end_due(self) -> None:
        """Ends the runs whose work is done or whose lease has expired, on time.

        It comes before each call, because a lease that has expired can't be renewed.
        """
        now_ms = self.clock_ms()
        for run in list(self.running.values()):
            done_ms = run.begun_ms + 1000 * run.work_s
            end_ms = min(done_ms, self.lease_ms)
            if now_ms >= end_ms:
                how = "done" if done_ms <= self.lease_ms else "lapsed"
                self._end(run, how, late_s=(now_ms - end_ms) / 1000)

    def _end(
        self, run: Run, how: str, listed: bool = True, late_s: float = 0.0
    ) -> None:
        run.how = how
        at = self.record.add(
            self.name, f"run {run.task} attempt {run.attempt} ends {how}"
        )
        run.ended_at = at - late_s
        del self.running[run.task, run.attempt]
        self.over[run.task] = max(self.over.get(run.task, 0), run.attempt)
        if listed:
            self.finished.append((self.next_end, run))
            self.next_end += 1
        self.changed.notify_all()

    def _beat(self, life: int, first_beat_s: float) -> None:
        time.sleep(first_beat_s)
        while self.is_up and self.life == life:
            if self.suspended_at is not None:
                time.sleep(0.02)
                continue
            self._send_beat()
            wake_at = time.monotonic() + self.heartbeat_s
            while self.is_up and self.life == life and time.monotonic() < wake_at:
                time.sleep(0.02)

    def _send_beat(self) -> None:
        self.sequence += 1
        state = self.state
        body: dict[str, Any] = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": 8,
            "state": state,
            "warmupLeftMs": 0,
            "room": {"cpu": 32000, "memMb": 131072, "gpu": 0},
            "labels": self.labels,
            "clockMs": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }
        if state == "draining":
            left_s = self.remaining_until - time.monotonic()
            body["remainingMs"] = int(1000 * max(0.0, left_s))
        try:
            host, _, port = self.admin.rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
            connection.request(
                "POST",
                f"/-/instances/{self.instance}/heartbeat",
                json.dumps(body),
                {"Content-Type": "application/json"},
            )
            status = connection.getresponse().status
            connection.close()
        except OSError as error:
            self.record.add(self.name, f"beat {self.sequence} {state}: no ack, {error}")
            return
        at = self.record.add(
            self.name, f"beat {self.sequence} {state}, labels {self.labels}: {status}"
        )
        if state == "draining" and status == 200 and self.drained_at is None:
            self.drained_at = at

    # Calls of its own machine.

    def answer(self, path: str, instance: str | None, body: dict[str, Any]) -> Any:
        """Returns status and body of the answer; None closes the channel."""
        with self.changed:
            self._wait_until_resumed()
            if not self.is_up:
                return None
            if instance is not None and instance != self.instance:
                return 421, {"clockMs": self.clock_ms()}
            self._end_due()
            match path:
                case "/-/run-start":
                    return self._start_run(body)
                case "/-/run-stop":
                    return self._stop_run(body)
                case "/-/hold":
                    return self._hold(body)
            return 404, {"clockMs": self.clock_ms()}

    def _refuse(self, reason: str) -> Any:
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def _extend(self, body: dict[str, Any]) -> None:
        until = min(body.get("deadlineMs", 0), self.clock_ms() + MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, until)

    def _start_run(self, body: dict[str, Any]) -> Any:
        if body.get("fencingToken", 0) < self.token:
            return self._refuse("fence")
        self.token = body.get("fencingToken", 0)
        key = (body["task"], body["attempt"])
        if key in self.running:
            self._extend(body)
            return 200, {"clockMs": self.clock_ms()}
        if body["attempt"] <= self.over.get(body["task"], 0):
            self._extend(body)
            return self._refuse("old")
        if body["deadlineMs"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(body)
        step = int(body["task"].split(".")[2])
        work_s = json.loads(body["spec"])["ms"][step] / 1000
        at = self.record.add(
            self.name,
            f"run {key[0]} attempt {key[1]} starts, life {self.life},"
            f" labels {self.labels}",
        )
        labels = tuple(self.labels)
        run = Run(self.name, self.life, labels, *key, at, work_s, self.clock_ms())
        self.running[key] = run
        self.runs.append(run)
        return 200, {"clockMs": self.clock_ms()}

    def _stop_run(self, body: dict[str, Any]) -> Any:
        if body.get("fencingToken", 0) < self.token:
            return self._refuse("fence")
        self.token = body.get("fencingToken", 0)
        task, attempt = body["task"], body["attempt"]
        for run in list(self.running.values()):
            if run.task == task and run.attempt <= attempt:
                self._end(run, "stopped")
        self.over[task] = max(self.over.get(task, 0), attempt)
        return 200, {"clockMs": self.clock_ms()}

    def _hold(self, body: dict[str, Any]) -> Any:
        if body.get("fencingToken", 0) < self.token:
            return self._refuse("fence")
        self.token = body.get("fencingToken", 0)
        life = self.life
        if "deadlineMs" in body:
            self._extend(body)
        acked = body.get("ackedThrough", 0)
        self.finished = [row for row in self.finished if row[0] > acked]
        if not self.finished:
            self.changed.wait(min(body.get("waitMs", 0), 2000) / 1000)
            self._wait_until_resumed()
            self._end_due()
        if not self.is_up or self.life != life:
            return None
        now_ms = self.clock_ms()
        return 200, {
            "clockMs": self.clock_ms(),
            "running": [
                [
                    run.task,
                    run.attempt,
                    "",
                    min(99, int((now_ms - run.begun_ms) / (10 * run.work_s))),
                    1000,
                ]
                for run in self.running.values()
            ],
            "finished": [
                [number, run.task, run.attempt, run.how, ""]
                for number, run in self.finished[:LISTED_ENDS]
            ],
            "born": self.born,
        }


class Server(ThreadingHTTPServer):
    """Serves one life of a minion."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def __init__(self, address: tuple[str, int], minion: Minion) -> None:
        self.minion = minion
        super().__init__(address, Handler)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores broken channels."""


class Handler(BaseHTTPRequestHandler):
    """Reads the calls of one channel."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    server: Server

    def setup(self) -> None:
        self.server.minion.connections.add(self.request)
        super().setup()

    def finish(self) -> None:
        self.server.minion.connections.discard(self.request)
        super().finish()

    def do_POST(self) -> None:
        """Answers one call."""
        data = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        answer = self.server.minion.answer(
            self.path, self.headers.get("Expected-Instance"), json.loads(data or b"{}")
        )
        if answer is None:
            self.close_connection = True
            return
        body = json.dumps(answer[1]).encode()
        self.send_response(answer[0])
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
        """Writes no access log."""
