"""Stand-in for a platform target: runs tasks under a lease, with fault injection."""

from __future__ import annotations

import json
import threading
import time
import zlib
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import Self

import urllib3
from urllib3.exceptions import HTTPError

from .platform_http import NO_ANSWER
from .platform_http import Request
from .platform_http import StandinServer


if TYPE_CHECKING:
    from collections.abc import Callable

    Answer = tuple[int, dict[str, Any]]


MS_PER_S = 1000
RUN_CHECK_INTERVAL_S = 0.005
HEARTBEAT_INTERVAL_S = 0.3
MAX_LEASE_S = 1.0
MAX_CRC32 = 2**32
DEFAULT_RUN_S = 0.1


@dataclass(slots=True)
class RunRecord:
    """One run of a task at this target.

    Attributes:
        task: Name of the task.
        attempt: Number of the attempt.
        spec: Specification in the start request.
        cpu: CPU claim, in thousandths of a core; the stand-in counts each task as one
            core.
        started_at: Start time, in seconds of the machine's monotonic clock.
        ended_at: End time on the same clock; 0 while the task runs.
        end_kind: How it ended, as named by the platform, or ``crashed``; empty while
            the task runs.
        crashed_target: Whether it has crashed the target.
        is_deadly: Whether it runs until it crashes the target or is stopped.
        suspended_s: How long it has been suspended with the target, in seconds.
    """

    task: str
    attempt: int
    spec: str
    cpu: int
    started_at: float
    ended_at: float = 0.0
    end_kind: str = ""
    crashed_target: bool = False
    is_deadly: bool = False
    suspended_s: float = 0.0


@dataclass(slots=True)
class TargetFaults:
    """Faults and run time of the target; may be changed at any time.

    Attributes:
        run_s: Run time of each task, in seconds.
        fail_all: Whether each task fails.
        lose_start_answers: Number of starts still to take effect without an answer.
        delay_starts: Number of starts still to get no answer and take effect after
            ``delay_s``.
        delay_s: Delay of those starts, in seconds.
        retain_starts: Number of starts still to get no answer and take effect only at
            ``release_starts``.
        ignore_stops: Whether stops have no effect and get no answer.
        deadly_tasks: Tasks that crash the target ``crash_delay_s`` after their start.
        deadly_share: Share of the other tasks, by a hash of their names, that do so.
        crash_delay_s: Time from the start of such a task to the crash, in seconds.
        restart_s: Time from such a crash to the next incarnation, in seconds; the
            target refuses connections meanwhile.
        clock_rate: Speed of the target's clock relative to real time, from its next
            incarnation on.
    """

    run_s: float = DEFAULT_RUN_S
    fail_all: bool = False
    lose_start_answers: int = 0
    delay_starts: int = 0
    delay_s: float = 0.0
    retain_starts: int = 0
    ignore_stops: bool = False
    deadly_tasks: frozenset[str] = frozenset()
    deadly_share: float = 0.0
    crash_delay_s: float = 0.01
    restart_s: float = 1.0
    clock_rate: float = 1.0

    def is_deadly(self, task: str) -> bool:
        """Returns whether a task crashes the target."""
        is_chosen = zlib.crc32(task.encode()) < self.deadly_share * MAX_CRC32
        return is_chosen or task in self.deadly_tasks


@dataclass(slots=True)
class TargetIdentity:
    """Fixed fields of the target's heartbeats."""

    instance: str
    service: str
    zone: str
    cores: int
    labels: list[str] = field(default_factory=list)


class PlatformTargetStandin:
    """Serves an agent's requests and sends it heartbeats.

    An incarnation lasts until ``crash``; the next one has no tasks, a new clock and a
    new birth time under the same instance id.

    Attributes:
        runs: Runs of all incarnations, in order of their start.
        is_down: Whether it has crashed and not restarted yet.
        suspended_at: Since when it has been suspended with its machine, in seconds of
            the monotonic clock; None if it is not.
        retained: Bodies of starts that have not taken effect yet.
        faults: Injected faults.
        state: State that the heartbeats report.
        ends_at: When the target ends, as the heartbeats report it, in seconds of the
            monotonic clock; None if they don't.
        acknowledged_drains: Number of acknowledged heartbeats with state ``draining``.
        drain_acknowledged_at: Time of the first acknowledgement, in seconds of the
            monotonic clock; infinity before.
    """

    def __init__(self, identity: TargetIdentity, agent_address: str) -> None:
        self.identity = identity
        self.agent_address = agent_address
        self.faults = TargetFaults()
        self.state = "ready"
        self.ends_at: float | None = None
        self.acknowledged_drains = 0
        self.drain_acknowledged_at = float("inf")
        self.runs: list[RunRecord] = []
        self.retained: list[dict[str, Any]] = []
        self.changed = threading.Condition()
        self.stopped = threading.Event()
        self.is_down = False
        self.suspended_at: float | None = None
        self._start_incarnation()
        self.server = StandinServer(self._handle, "127.0.0.1")
        self.address = self.server.address
        self.threads = [
            threading.Thread(target=self._end_due_runs, daemon=True),
            threading.Thread(target=self._send_heartbeats, daemon=True),
        ]

    def __enter__(self) -> Self:
        self.server.__enter__()
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopped.set()
        self.resume()
        for thread in self.threads:
            thread.join()
        self.server.__exit__()

    def crash(self) -> None:
        """Ends all running tasks and starts a new incarnation under the same id."""
        with self.changed:
            self._end_incarnation()
            self._start_incarnation()

    def suspend(self) -> None:
        """Suspends the target: its tasks, its clock, and its replies."""
        with self.changed:
            if self.suspended_at is None:
                self.suspended_at = time.monotonic()

    def resume(self) -> None:
        """Resumes the suspended target, whose clock has not counted the time."""
        with self.changed:
            if self.suspended_at is None:
                return
            suspended_s = time.monotonic() - self.suspended_at
            self.suspended_at = None
            self.incarnation_started_at += suspended_s
            for record in self.running.values():
                record.suspended_s += suspended_s
            self.changed.notify_all()

    def _wait_until_resumed(self) -> None:
        self.changed.wait_for(
            lambda: self.suspended_at is None or self.stopped.is_set()
        )

    def _end_incarnation(self) -> None:
        for record in self.running.values():
            record.ended_at = time.monotonic()
            record.end_kind = "crashed"
        self.running.clear()

    def _crash_by_task(self, key: tuple[str, int], delay_s: float) -> None:
        """Crashes while a task is at work, and restarts, with a new clock, later."""
        if self.stopped.wait(delay_s):
            return
        with self.changed:
            if self.is_down or key not in self.running:
                return
            self.is_down = True
            self.running[key].crashed_target = True
            self._end_incarnation()
            self.changed.notify_all()
        self.server.refuse()
        self.stopped.wait(self.faults.restart_s)
        with self.changed:
            self._start_incarnation()
            self.is_down = False
        self.server.listen_again()

    def release_starts(self) -> None:
        """Lets the retained starts take effect, possibly in a later incarnation."""
        with self.changed:
            for body in self.retained:
                self._start(body)
            self.retained.clear()

    def _start_incarnation(self) -> None:
        self.born = int(time.time() * MS_PER_S)
        self.incarnation_started_at = time.monotonic()
        if self.suspended_at is not None:
            self.suspended_at = self.incarnation_started_at
        self.clock_rate = self.faults.clock_rate
        self.sequence = 0
        self.lease_expires_at_ms = 0.0
        self.highest_fencing_token = 0
        self.running: dict[tuple[str, int], RunRecord] = {}
        self.ended: list[tuple[int, RunRecord]] = []
        self.next_end_number = 1
        self.highest_rejected_attempts: dict[str, int] = {}

    def _clock_ms(self) -> int:
        age_s = time.monotonic() - self.incarnation_started_at
        return 1 + int(self.clock_rate * age_s * MS_PER_S)

    def _end_due_runs(self) -> None:
        while not self.stopped.wait(RUN_CHECK_INTERVAL_S):
            with self.changed:
                if self.suspended_at is not None:
                    continue
                now = time.monotonic()
                for record in list(self.running.values()):
                    if self._clock_ms() > self.lease_expires_at_ms:
                        self._end(record, "lapsed")
                    elif record.is_deadly:
                        continue
                    elif (
                        now - record.started_at - record.suspended_s
                        >= self.faults.run_s
                    ):
                        self._end(record, "failed" if self.faults.fail_all else "done")

    def _end(self, record: RunRecord, end_kind: str) -> None:
        record.ended_at = time.monotonic()
        record.end_kind = end_kind
        del self.running[record.task, record.attempt]
        self.highest_rejected_attempts[record.task] = max(
            self.highest_rejected_attempts.get(record.task, 0), record.attempt
        )
        self.ended.append((self.next_end_number, record))
        self.next_end_number += 1
        self.changed.notify_all()

    def _send_heartbeats(self) -> None:
        pool = urllib3.PoolManager(retries=False)
        while not self.stopped.wait(HEARTBEAT_INTERVAL_S):
            if self.is_down or self.suspended_at is not None:
                continue
            self.sequence += 1
            state = self.state
            url = (
                f"http://{self.agent_address}/-/instances/"
                f"{self.identity.instance}/heartbeat"
            )
            body = json.dumps(self._build_heartbeat(state)).encode()
            try:
                answer = pool.request("POST", url, body=body, timeout=1.0)
            except HTTPError:
                continue
            if state == "draining" and answer.status == 200:
                self.acknowledged_drains += 1
                now = time.monotonic()
                self.drain_acknowledged_at = min(self.drain_acknowledged_at, now)

    def _build_heartbeat(self, state: str) -> dict[str, Any]:
        total_capacity = {"cpu": self.identity.cores * 1000, "memMb": 65536, "gpu": 0}
        return {
            "service": self.identity.service,
            "address": self.address,
            "zone": self.identity.zone,
            "version": "v1",
            "capacity": 8,
            "state": state,
            "remainingMs": None
            if self.ends_at is None
            else int(MS_PER_S * max(0.0, self.ends_at - time.monotonic())),
            "warmupLeftMs": 0,
            "room": total_capacity,
            "labels": self.identity.labels,
            "clockMs": self._clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }

    def _handle(self, request: Request) -> Answer:
        routes: dict[str, Callable[[dict[str, Any]], Answer]] = {
            "/-/run-start": self._handle_start,
            "/-/run-stop": self._handle_stop,
            "/-/hold": self._handle_hold,
        }
        with self.changed:
            self._wait_until_resumed()
            handle = routes.get(request.path)
            if handle is None:
                return 404, {}
            if self.is_down:
                return NO_ANSWER, {}
            expected = request.headers.get("expected-instance", self.identity.instance)
            if expected != self.identity.instance:
                return 421, {}
            answer = handle(request.body)
            self._wait_until_resumed()
            return answer

    def _handle_start(self, body: dict[str, Any]) -> Answer:
        if self.faults.retain_starts:
            self.faults.retain_starts -= 1
            self.retained.append(body)
            return NO_ANSWER, {}
        if self.faults.delay_starts:
            self.faults.delay_starts -= 1
            timer = threading.Timer(self.faults.delay_s, self._start_delayed, [body])
            timer.daemon = True
            timer.start()
            return NO_ANSWER, {}
        answer = self._start(body)
        if self.faults.lose_start_answers:
            self.faults.lose_start_answers -= 1
            return NO_ANSWER, {}
        return answer

    def _start_delayed(self, body: dict[str, Any]) -> None:
        with self.changed:
            self._wait_until_resumed()
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
            if self.faults.is_deadly(record.task):
                record.is_deadly = True
                threading.Thread(
                    target=self._crash_by_task,
                    args=(key, self.faults.crash_delay_s),
                    daemon=True,
                ).start()
        return 200, {"clockMs": self._clock_ms()}

    def _find_conflict(self, body: dict[str, Any]) -> str:
        if body["fencingToken"] < self.highest_fencing_token:
            return "fence"
        self.highest_fencing_token = body["fencingToken"]
        if (body["task"], body["attempt"]) in self.running:
            return ""
        if body["attempt"] <= self.highest_rejected_attempts.get(body["task"], 0):
            return "old"
        if body["deadlineMs"] <= self._clock_ms():
            return "late"
        if len(self.running) >= self.identity.cores:
            return "room"
        return ""

    def _extend_lease(self, body: dict[str, Any]) -> None:
        max_expires_at_ms = self._clock_ms() + MAX_LEASE_S * MS_PER_S
        expires_at_ms = min(body.get("deadlineMs", 0), max_expires_at_ms)
        self.lease_expires_at_ms = max(self.lease_expires_at_ms, expires_at_ms)

    def _handle_stop(self, body: dict[str, Any]) -> Answer:
        if self.faults.ignore_stops:
            return NO_ANSWER, {}
        if body["fencingToken"] < self.highest_fencing_token:
            return 409, {"clockMs": self._clock_ms(), "reason": "fence"}
        task, attempt = body["task"], body["attempt"]
        self.highest_rejected_attempts[task] = max(
            self.highest_rejected_attempts.get(task, 0), attempt
        )
        record = self.running.get((task, attempt))
        if record is not None:
            self._end(record, "stopped")
        return 200, {"clockMs": self._clock_ms()}

    def _handle_hold(self, body: dict[str, Any]) -> Answer:
        if body["fencingToken"] < self.highest_fencing_token:
            return 409, {"clockMs": self._clock_ms(), "reason": "fence"}
        self.highest_fencing_token = body["fencingToken"]
        self._extend_lease(body)
        self.ended = [item for item in self.ended if item[0] > body["ackedThrough"]]
        if not self.ended:
            self.changed.wait(body.get("waitMs", 0) / MS_PER_S)
        if self.is_down:
            return NO_ANSWER, {}
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
