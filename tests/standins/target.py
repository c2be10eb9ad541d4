"""Stand-in for a target: runs tasks over HTTP and records every start."""

from __future__ import annotations

import argparse
import json
import random
import signal
import socket
import threading
import time
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from types import TracebackType


BACKLOG = 512
TASK_PREFIX = "/tasks/"


@dataclass(frozen=True, slots=True)
class TaskStart:
    """One start of a task.

    Attributes:
        task_id: Value of the header ``Task-Id``.
        service: Name of the service.
        at: Start time, in seconds of the machine's monotonic clock.
        running: Number of tasks running at that time, including this one.
    """

    task_id: str
    service: str
    at: float
    running: int


@dataclass(frozen=True, slots=True)
class TargetControl:
    """Behaviour of the stand-in; POST ``/control`` sets it by these names.

    Attributes:
        fail_all: Whether every task fails with status 500.
        slow_factor: Factor applied to the run time of each task.
        silent: Whether tasks are started but never answered.
        sleep_ms: Run time of tasks whose payload has no ``sleep_ms``, in milliseconds.
        jitter_ms: Maximum random run time added to each task, in milliseconds.
    """

    fail_all: bool = False
    slow_factor: float = 1.0
    silent: bool = False
    sleep_ms: float = 0.0
    jitter_ms: float = 0.0


@dataclass(slots=True)
class TargetRecord:
    """Task starts at this target, and its current and maximum concurrency."""

    starts: list[TaskStart] = field(default_factory=list)
    running: int = 0
    max_running: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def start(self, task_id: str, service: str) -> None:
        """Records the start of a task."""
        with self.lock:
            self.running += 1
            self.max_running = max(self.max_running, self.running)
            now = time.monotonic()
            self.starts.append(TaskStart(task_id, service, now, self.running))

    def end(self) -> None:
        """Records the end of a task."""
        with self.lock:
            self.running -= 1

    def describe(self) -> dict[str, Any]:
        """Returns the record as JSON values."""
        with self.lock:
            return {
                "starts": [asdict(start) for start in self.starts],
                "running": self.running,
                "max_running": self.max_running,
            }


class TargetServer(ThreadingHTTPServer):
    """HTTP server that holds the state of the stand-in."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = BACKLOG

    def __init__(self, address: tuple[str, int], seed: int) -> None:
        super().__init__(address, TargetHandler)
        self.record = TargetRecord()
        self.control = TargetControl()
        self.random = random.Random(seed)
        self.stopping = threading.Event()
        self.connections: set[socket.socket] = set()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores errors of connections, such as a client that disconnects."""

    def close_connections(self) -> None:
        """Closes every open connection."""
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


class TargetHandler(BaseHTTPRequestHandler):
    """Handles the requests of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: TargetServer

    def setup(self) -> None:
        super().setup()
        self.server.connections.add(self.connection)

    def finish(self) -> None:
        self.server.connections.discard(self.connection)
        super().finish()

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
        """Suppresses the access log."""

    def do_GET(self) -> None:
        if self.path == "/record":
            self.reply(200, self.server.record.describe())
        elif self.path == "/control":
            self.reply(200, asdict(self.server.control))
        else:
            self.reply(404, {"error": "no such path"})

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path == "/control":
            self.server.control = replace(self.server.control, **json.loads(body))
            self.reply(200, asdict(self.server.control))
        elif self.path.startswith(TASK_PREFIX):
            self.run_task(json.loads(body))
        else:
            self.reply(404, {"error": "no such path"})

    def run_task(self, payload: Any) -> None:
        """Records the start of a task, runs it as its payload specifies and answers."""
        fields = payload if isinstance(payload, dict) else {}
        service = self.path.removeprefix(TASK_PREFIX)
        self.server.record.start(self.headers.get("Task-Id", ""), service)
        try:
            time.sleep(self.compute_run_time_s(fields))
        finally:
            self.server.record.end()
        self.answer_task(fields)

    def compute_run_time_s(self, fields: dict[str, Any]) -> float:
        """Returns the run time of a task in seconds."""
        control = self.server.control
        sleep_ms = float(fields.get("sleep_ms", control.sleep_ms))
        if control.jitter_ms:
            sleep_ms += self.server.random.uniform(0, control.jitter_ms)
        return sleep_ms * control.slow_factor / 1000

    def answer_task(self, fields: dict[str, Any]) -> None:
        """Answers a task, or fails as its payload or the control fields specify."""
        control = self.server.control
        if control.silent or fields.get("hang"):
            self.server.stopping.wait()
            self.close_connection = True
        elif fields.get("close"):
            self.close_connection = True
        elif control.fail_all or "fail" in fields:
            self.reply(int(fields.get("fail", 500)), {"error": "failed as asked"})
        elif fields.get("truncate"):
            self.reply(200, compute_result(fields), missing_bytes=1)
        else:
            self.reply(200, compute_result(fields))

    def reply(self, status: int, value: Any, missing_bytes: int = 0) -> None:
        """Sends a JSON response, truncated by ``missing_bytes`` bytes."""
        body = json.dumps(value).encode()
        head = (
            f"HTTP/1.1 {status} Answer\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.wfile.write(head.encode() + body[: len(body) - missing_bytes])
        if missing_bytes:
            self.close_connection = True


def compute_result(fields: dict[str, Any]) -> dict[str, Any]:
    """Returns the result of a task: the sum and the echo that its payload requests."""
    result: dict[str, Any] = {}
    if "sum" in fields:
        result["sum"] = sum(fields["sum"])
    if "echo" in fields:
        result["echo"] = fields["echo"]
    return result


class TargetStandin:
    """Runs a target stand-in in this process until the context exits."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0, seed: int = 1) -> None:
        self.server = TargetServer((host, port), seed)
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.05,))

    def __enter__(self) -> TargetStandin:
        self.thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.server.stopping.set()
        self.server.shutdown()
        self.server.server_close()
        self.server.close_connections()
        self.thread.join()

    @property
    def url(self) -> str:
        """URL of the target."""
        host, port = self.server.server_address[:2]
        return f"http://{host!s}:{port}"

    @property
    def starts(self) -> list[TaskStart]:
        """Task starts so far."""
        with self.server.record.lock:
            return list(self.server.record.starts)


def main() -> None:
    """Runs a target stand-in until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    host, port = arguments.listen.rsplit(":", 1)
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda _number, _frame: stop_requested.set())
    with TargetStandin(host, int(port), arguments.seed):
        stop_requested.wait()


if __name__ == "__main__":
    main()
