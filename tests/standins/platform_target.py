"""Stand-in of a target of the platform: runs tasks under a lease, with faults."""

from __future__ import annotations

import json
import threading
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import Self

import urllib3
from urllib3.exceptions import HTTPError

from .platform_http import NO_ANSWER
from .platform_http import Call
from .platform_http import StandinServer


if TYPE_CHECKING:
    from collections.abc import Callable

    Answer = tuple[int, dict[str, Any]]


MS_PER_S = 1000
STEP_S = 0.005
HEARTBEAT_S = 0.3
MAX_LEASE_S = 1.0
DEFAULT_RUN_S = 0.1


@dataclass(slots=True)
class RunRecord:
    """One run of a task, as it really was.

    Attributes:
        task: The task.
        attempt: Its attempt.
        spec: What it was given.
        cpu: Thousandths of a core that it claims; the stand-in takes all as one core.
        started_at: When it began, in seconds of the machine's monotonic clock.
        ended_at: When it ended; 0 while it runs.
        end_kind: How it ended, in the platform's word.
    """

    task: str
    attempt: int
    spec: str
    cpu: int
    started_at: float
    ended_at: float = 0.0
    end_kind: str = ""


@dataclass(slots=True)
class TargetFaults:
    """What is wrong with the target at the moment.

    Attributes:
        run_s: Run time of each task, in seconds.
        fail_all: Whether each task fails.
        lose_start_answers: The next so many starts are carried out without answer.
        delay_starts: The next so many starts get no answer and are carried out late.
        delay_s: How late they are.
        clock_rate: How fast the target's clock goes in its next life.
    """

    run_s: float = DEFAULT_RUN_S
    fail_all: bool = False
    lose_start_answers: int = 0
    delay_starts: int = 0
    delay_s: float = 0.0
    clock_rate: float = 1.0


@dataclass(slots=True)
class TargetIdentity:
    """How the target announces itself."""

    instance: str
    service: str
    zone: str
    cores: int
    labels: list[str] = field(default_factory=list)


class PlatformTargetStandin:
    """Serves an agent on loopback and sends it heartbeats.

    Attributes:
        runs: Every run of this and former lives, in order.
        faults: What is wrong with it.
        state: The state in its heartbeats.
        acknowledged_drains: Heartbeats with ``draining`` that were acknowledged.
        drain_acknowledged_at: When the first was; infinity before.
    """

    def __init__(self, identity: TargetIdentity, agent_address: str) -> None:
        self.identity = identity
        self.agent_address = agent_address
        self.faults = TargetFaults()
        self.state = "ready"
        self.acknowledged_drains = 0
        self.drain_acknowledged_at = float("inf")
        self.runs: list[RunRecord] = []
        self.changed = threading.Condition()
        self.stopped = threading.Event()
        self._begin_life()
        self.server = StandinServer(self._handle, "127.0.0.1")
        self.address = self.server.address
        self.threads = [
            threading.Thread(target=self._advance, daemon=True),
            threading.Thread(target=self._send_heartbeats, daemon=True),
        ]

    def __enter__(self) -> Self:
        self.server.__enter__()
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        self.server.__exit__()

    def crash(self) -> None:
        """Ends all that runs and begins a new life under the same id."""
        with self.changed:
            for record in self.running.values():
                record.ended_at = time.monotonic()
                record.end_kind = "crashed"
            self._begin_life()

    def _begin_life(self) -> None:
        self.born = int(time.time() * MS_PER_S)
        self.began_at = time.monotonic()
        self.clock_rate = self.faults.clock_rate
        self.sequence = 0
        self.lease_until = 0.0
        self.fence = 0
        self.running: dict[tuple[str, int], RunRecord] = {}
        self.ended: list[tuple[int, RunRecord]] = []
        self.next_end = 1
        self.barred: dict[str, int] = {}

    def _clock_ms(self) -> int:
        age_s = time.monotonic() - self.began_at
        return 1 + int(self.clock_rate * age_s * MS_PER_S)

    def _advance(self) -> None:
        while not self.stopped.wait(STEP_S):
            with self.changed:
                now = time.monotonic()
                for record in list(self.running.values()):
                    if self._clock_ms() > self.lease_until:
                        self._end(record, "lapsed")
                    elif now - record.started_at >= self.faults.run_s:
                        self._end(record, "failed" if self.faults.fail_all else "done")

    def _end(self, record: RunRecord, end_kind: str) -> None:
        record.ended_at = time.monotonic()
        record.end_kind = end_kind
        del self.running[record.task, record.attempt]
        self.barred[record.task] = max(self.barred.get(record.task, 0), record.attempt)
        self.ended.append((self.next_end, record))
        self.next_end += 1
        self.changed.notify_all()

    def _send_heartbeats(self) -> None:
        pool = urllib3.PoolManager(retries=False)
        while not self.stopped.wait(HEARTBEAT_S):
            self.sequence += 1
            state = self.state
            url = (
                f"http://{self.agent_address}/-/instances/"
                f"{self.identity.instance}/heartbeat"
            )
            body = json.dumps(self._describe(state)).encode()
            try:
                answer = pool.request("POST", url, body=body, timeout=1.0)
            except HTTPError:
                continue
            if state == "draining" and answer.status == 200:
                self.acknowledged_drains += 1
                now = time.monotonic()
                self.drain_acknowledged_at = min(self.drain_acknowledged_at, now)

    def _describe(self, state: str) -> dict[str, Any]:
        room = {"cpu": self.identity.cores * 1000, "memMb": 65536, "gpu": 0}
        return {
            "service": self.identity.service,
            "address": self.address,
            "zone": self.identity.zone,
            "version": "v1",
            "capacity": 8,
            "state": state,
            "warmupLeftMs": 0,
            "room": room,
            "labels": self.identity.labels,
            "clockMs": self._clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }

    def _handle(self, call: Call) -> Answer:
        routes: dict[str, Callable[[dict[str, Any]], Answer]] = {
            "/-/run-start": self._handle_start,
            "/-/run-stop": self._stop,
            "/-/hold": self._hold,
        }
        with self.changed:
            handle = routes.get(call.path)
            if handle is None:
                return 404, {}
            expected = call.headers.get("expected-instance", self.identity.instance)
            if expected != self.identity.instance:
                return 421, {}
            return handle(call.body)

    def _handle_start(self, body: dict[str, Any]) -> Answer:
        if self.faults.delay_starts:
            self.faults.delay_starts -= 1
            timer = threading.Timer(self.faults.delay_s, self._start_late, [body])
            timer.daemon = True
            timer.start()
            return NO_ANSWER, {}
        answer = self._start(body)
        if self.faults.lose_start_answers:
            self.faults.lose_start_answers -= 1
            return NO_ANSWER, {}
        return answer

    def _start_late(self, body: dict[str, Any]) -> None:
        with self.changed:
            self._start(body)

    def _start(self, body: dict[str, Any]) -> Answer:
        reason = self._find_conflict(body)
        if reason:
            return 409, {"clockMs": self._clock_ms(), "reason": reason}
        self._extend_lease(body)
        key = (body["task"], body["attempt"])
        if key not in self.running:
            record = RunRecord(*key, body["spec"], 1000, time.monotonic())
            self.running[key] = record
            self.runs.append(record)
        return 200, {"clockMs": self._clock_ms()}

    def _find_conflict(self, body: dict[str, Any]) -> str:
        if body["fencingToken"] < self.fence:
            return "fence"
        self.fence = body["fencingToken"]
        if (body["task"], body["attempt"]) in self.running:
            return ""
        if body["attempt"] <= self.barred.get(body["task"], 0):
            return "old"
        if body["deadlineMs"] <= self._clock_ms():
            return "late"
        if len(self.running) >= self.identity.cores:
            return "room"
        return ""

    def _extend_lease(self, body: dict[str, Any]) -> None:
        longest = self._clock_ms() + MAX_LEASE_S * MS_PER_S
        until = min(body.get("deadlineMs", 0), longest)
        self.lease_until = max(self.lease_until, until)

    def _stop(self, body: dict[str, Any]) -> Answer:
        if body["fencingToken"] < self.fence:
            return 409, {"clockMs": self._clock_ms(), "reason": "fence"}
        task, attempt = body["task"], body["attempt"]
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        record = self.running.get((task, attempt))
        if record is not None:
            self._end(record, "stopped")
        return 200, {"clockMs": self._clock_ms()}

    def _hold(self, body: dict[str, Any]) -> Answer:
        if body["fencingToken"] < self.fence:
            return 409, {"clockMs": self._clock_ms(), "reason": "fence"}
        self.fence = body["fencingToken"]
        self._extend_lease(body)
        self.ended = [item for item in self.ended if item[0] > body["ackedThrough"]]
        if not self.ended:
            self.changed.wait(body.get("waitMs", 0) / MS_PER_S)
        now = time.monotonic()
        running = [
            [
                record.task,
                record.attempt,
                "",
                int(100 * (now - record.started_at) / self.faults.run_s),
                0,
            ]
            for record in self.running.values()
        ]
        ended = [
            [number, record.task, record.attempt, record.end_kind, ""]
            for number, record in self.ended
        ]
        lists = {"running": running, "finished": ended, "born": self.born}
        return 200, {"clockMs": self._clock_ms()} | lists
