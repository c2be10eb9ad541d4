"""A minion for the scripts of the second review, as PROTOCOL.md, "Running tasks", says.

A task runs for as long as its ``spec`` says (``run_ms=N``). The minion guards its room,
keeps the highest fencing token, runs everything under one lease, lists ends until they
are acknowledged, and pings its agent about every ``heartbeatMs``.
"""

from __future__ import annotations

import http.client
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

MAX_HOLD_MS = 1000
HEARTBEAT_S = 1.5


class Run:
    """A run of a task, with times of the monotonic clock; ended_at is 0 while it runs."""

    def __init__(self, minion, task, attempt, cpu, spec, now) -> None:
        self.minion, self.task, self.attempt, self.cpu, self.spec = minion, task, attempt, cpu, spec
        self.started_at, self.ended_at, self.how = now, 0.0, ""
        self.labels = list(minion.labels)
        # How long it stood still with its machine.
        self.paused_s = 0.0
        self.run_s = int(spec.partition("run_ms=")[2].split(";")[0] or 100) / 1000


class Minion:
    def __init__(self, name, service, zone, host, agent, cpu, labels, record,
                 task_cpu: int = 1000, heartbeat_s: float = HEARTBEAT_S, first_ping_s: float = 0.0,
                 is_off: bool = False) -> None:
        self.name, self.service, self.zone, self.agent = name, service, zone, agent
        self.cpu, self.labels, self.record = cpu, labels, record
        self.task_cpu, self.heartbeat_s = task_cpu, heartbeat_s
        self.runs: list[Run] = []
        self.changed = threading.Condition()
        self.is_closed = False
        self.first_ping_s = first_ping_s
        # How far the machine's time of day is ahead of the true time.
        self.ahead_ms = 0
        self.orders = None
        self.late_s = lambda: 4.0
        # When a ping that says draining was first acknowledged; 0 before.
        self.drain_acked_at = 0.0
        self.is_down = is_off
        self.state = "ready"
        self.host = host
        self.port = 0
        self.channels: set[socket.socket] = set()
        self._boot()
        self._listen()
        self.address = f"{host}:{self.port}"
        if is_off:
            self.server.shutdown()
            self.server.server_close()
        for work in (self._end_runs, self._ping):
            threading.Thread(target=work, daemon=True).start()

    # Lives.

    def _boot(self) -> None:
        self.born = int(time.time() * 1000) + self.ahead_ms
        self.booted_at = time.monotonic()
        self.sequence = 0
        self.lease_ms = 0.0
        self.token = 0
        self.running: dict[tuple[str, int], Run] = {}
        self.ended: list[tuple[int, Run]] = []
        self.next_end = 1
        self.barred: dict[str, int] = {}

    def _listen(self) -> None:
        minion = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self) -> None:
                super().setup()
                minion.channels.add(self.connection)

            def finish(self) -> None:
                minion.channels.discard(self.connection)
                super().finish()

            def log_message(self, *_: object) -> None:
                pass

            def do_POST(self) -> None:
                length = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(length) or b"{}")
                answer = minion.handle(self.path, self.headers, body)
                if answer is None:
                    self.close_connection = True
                    return
                status, fields = answer
                data = json.dumps(fields).encode()
                head = f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                try:
                    self.wfile.write(head.encode() + data)
                except OSError:
                    self.close_connection = True

        ThreadingHTTPServer.daemon_threads = True
        ThreadingHTTPServer.allow_reuse_address = True
        ThreadingHTTPServer.request_queue_size = 64
        self.server = ThreadingHTTPServer((self.host, self.port), Handler)
        self.server.handle_error = lambda *_: None
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def crash(self) -> None:
        """Everything on it ends and its address refuses channels until ``restart``."""
        with self.changed:
            self.is_down = True
            for run in self.running.values():
                run.ended_at, run.how = time.monotonic(), "crashed"
            self.running.clear()
            self.changed.notify_all()
        self.server.shutdown()
        self.server.server_close()
        for channel in list(self.channels):
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.record.write(f"minion {self.name}: crashed")

    def restart(self, labels: list[str] | None = None) -> None:
        """A new boot under the same id, perhaps of another kind."""
        with self.changed:
            self._boot()
            self.labels = labels or self.labels
            self.state = "ready"
            self.is_down = False
        self._listen()
        self.record.write(f"minion {self.name}: new boot, labels {self.labels}, born {self.born}")

    def suspend(self) -> None:
        """Stands still with its machine until ``resume``; called from one thread."""
        self.changed.acquire()
        self.suspended_at = time.monotonic()
        self.record.write(f"minion {self.name}: suspended")

    def resume(self) -> None:
        """Goes on; its steady clock has not counted the time."""
        stood_s = time.monotonic() - self.suspended_at
        self.booted_at += stood_s
        for run in self.running.values():
            run.paused_s += stood_s
        self.changed.release()
        self.record.write(f"minion {self.name}: goes on after {stood_s:.3f} s")

    def close(self) -> None:
        self.is_closed = True
        if not self.is_down:
            self.server.shutdown()
            self.server.server_close()

    def clock_ms(self) -> int:
        return 1 + int((time.monotonic() - self.booted_at) * 1000)

    # Orders that get no answer; ``orders`` decides what happens to each call.

    def _may_lose(self, path: str, body: dict) -> str:
        """Returns "", "lost" (carried out, no answer) or "late" (carried out later)."""
        return self.orders(path, body) if self.orders else ""

    def _carry_out_late(self, path: str, body: dict, boot: float) -> None:
        def work() -> None:
            with self.changed:
                if not self.is_down and boot == self.booted_at:
                    self._carry_out(path, body)

        timer = threading.Timer(self.late_s(), work)
        timer.daemon = True
        timer.start()

    # Runs.

    def _end_runs(self) -> None:
        while not self.is_closed:
            time.sleep(0.004)
            with self.changed:
                now = time.monotonic()
                for run in list(self.running.values()):
                    if self.clock_ms() > self.lease_ms:
                        self._end(run, "lapsed")
                    elif now - run.started_at - run.paused_s >= run.run_s:
                        self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        run.ended_at, run.how = time.monotonic(), how
        del self.running[run.task, run.attempt]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.attempt)
        self.ended.append((self.next_end, run))
        self.next_end += 1
        self.record.write(f"minion {self.name}: {run.task} run {run.attempt} ended {how}")
        self.changed.notify_all()

    def handle(self, path: str, headers, body: dict):
        with self.changed:
            if self.is_down:
                return None
            if headers.get("Expected-Instance", self.name) != self.name:
                return 421, {"clockMs": self.clock_ms()}
            if path not in ("/-/run-start", "/-/run-stop", "/-/hold"):
                return 404, {}
            fate = self._may_lose(path, body)
            if fate == "late":
                self._carry_out_late(path, body, self.booted_at)
                return None
            answer = self._carry_out(path, body)
            return None if fate == "lost" else answer

    def _carry_out(self, path: str, body: dict):
        if body.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = body.get("fencingToken", 0)
        if path == "/-/run-start":
            return self._start(body)
        if path == "/-/run-stop":
            return self._stop(body)
        return self._hold(body)

    def _extend(self, body: dict) -> None:
        asked = min(body.get("deadlineMs") or 0, self.clock_ms() + MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, asked)

    def _start(self, body: dict):
        key = (body["task"], body["attempt"])
        if key in self.running:
            self._extend(body)
            return 200, {"clockMs": self.clock_ms()}
        reason = ""
        if body["attempt"] <= self.barred.get(body["task"], 0):
            reason = "old"
        elif body["deadlineMs"] <= self.clock_ms():
            return 409, {"clockMs": self.clock_ms(), "reason": "late"}
        elif sum(run.cpu for run in self.running.values()) + self.task_cpu > self.cpu:
            reason = "room"
        self._extend(body)
        if reason:
            return 409, {"clockMs": self.clock_ms(), "reason": reason}
        run = Run(self, *key, self.task_cpu, body["spec"], time.monotonic())
        self.running[key] = run
        self.runs.append(run)
        self.record.write(f"minion {self.name} {self.labels}: start of {run.task} run {run.attempt}")
        return 200, {"clockMs": self.clock_ms()}

    def _stop(self, body: dict):
        key = (body["task"], body["attempt"])
        self.barred[key[0]] = max(self.barred.get(key[0], 0), key[1])
        if key in self.running:
            self._end(self.running[key], "stopped")
        return 200, {"clockMs": self.clock_ms()}

    def _hold(self, body: dict):
        self._extend(body)
        self.ended = [row for row in self.ended if row[0] > body["ackedThrough"]]
        if not self.ended and body.get("waitMs"):
            self.changed.wait(min(2000, body["waitMs"]) / 1000)
        if self.is_down:
            return None
        now = time.monotonic()
        running = [[run.task, run.attempt, "", min(99, int(100 * (now - run.started_at - run.paused_s) / run.run_s)), run.cpu]
                   for run in self.running.values()]
        ended = [[number, run.task, run.attempt, run.how, ""] for number, run in self.ended[:500]]
        return 200, {"clockMs": self.clock_ms(), "born": self.born, "running": running, "finished": ended}

    # Pings.

    def drain(self) -> None:
        """Says from now on that it drains; it goes on serving."""
        with self.changed:
            self.state = "draining"

    def ping(self) -> int:
        """Sends one ping; returns the status, 0 without an answer."""
        with self.changed:
            self.sequence += 1
            body = {
                "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "capacity": 8, "state": self.state, "warmupLeftMs": 0,
                "room": {"cpu": self.cpu, "memMb": 131072, "gpu": 0}, "labels": self.labels,
                "clockMs": self.clock_ms(), "sequence": self.sequence, "born": self.born,
            }
        connection = http.client.HTTPConnection(*self.agent, timeout=1)
        try:
            connection.request("POST", f"/-/instances/{self.name}/heartbeat", json.dumps(body).encode(),
                               {"Content-Type": "application/json"})
            status = connection.getresponse().status
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        if status == 200 and body["state"] == "draining":
            self.drain_acked_at = self.drain_acked_at or time.monotonic()
        self.record.write(f"minion {self.name}: ping {body['state']} {self.labels} born {body['born']} -> {status}")
        return status

    def _ping(self) -> None:
        next_at = time.monotonic()
        while not self.is_closed:
            time.sleep(0.02)
            if self.is_down:
                next_at = time.monotonic() + self.first_ping_s
            elif time.monotonic() >= next_at:
                is_acked = self.ping() == 200
                next_at = time.monotonic() + (self.heartbeat_s if is_acked else 0.3)
