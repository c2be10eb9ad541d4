"""Stand-in for the platform's store: an etcd v3 JSON gateway with fault injection.

Run it with ``python -m tests.standins.store --listen 127.0.0.1:PORT``. POST
``/control`` sets the fields of ``StoreFaults``, makes the open watches
(``{"silence_watches": true}``), or watches and calls on all open connections
(``{"silence_connections": true}``), unresponsive, or compacts the history
(``{"compact": REVISION}``, 0 for the current revision). GET ``/control/record``
returns the number of calls by kind and all writes.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import select
import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Self

from .json_server import JsonHandler
from .json_server import QuietServer
from .store_calls import UNARY_CALLS
from .store_calls import Body
from .store_calls import decode
from .store_calls import encode_changes
from .store_calls import encode_result
from .store_calls import encode_write
from .store_data import StoreData


if TYPE_CHECKING:
    from collections.abc import Iterator
    from types import TracebackType


POLL_INTERVAL_S = 0.05
CALL_KINDS = {
    "/v3/kv/range": "range",
    "/v3/kv/txn": "txn",
    "/v3/kv/put": "put",
    "/v3/lease/grant": "lease_grant",
    "/v3/lease/keepalive": "lease_keepalive",
    "/v3/watch": "watch",
}


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store; ``/control`` sets them by these names.

    Attributes:
        down: Empty to serve calls, ``refuse`` to answer with status 503, ``drop`` to
            close connections without an answer.
        delay_ms: Delay before each call is handled, in milliseconds.
        lose_answers: Number of transactions still to take effect without an answer.
        refusal: Error message of the answers with status 503.
    """

    down: str = ""
    delay_ms: int = 0
    lose_answers: int = 0
    refusal: str = "etcdserver: no leader"


class StoreStandin:
    """Serves the gateway until the context exits; port 0 binds any free port."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.data = StoreData()
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()
        self.watch_generation = 0
        self.connection_generation = 0
        self.stopped = threading.Event()
        self.server = _Server((host, port), self)
        self.port: int = self.server.server_address[1]
        self.url = f"http://{host}:{self.port}"
        self.threads = [
            threading.Thread(target=self.server.serve_forever, args=(POLL_INTERVAL_S,)),
            threading.Thread(target=self._expire_leases),
        ]

    def __enter__(self) -> Self:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stopped.set()
        self.server.shutdown()
        for thread in self.threads:
            thread.join()
        self.server.server_close()

    def control(self, command: Body) -> None:
        """Applies the body of a POST to ``/control``."""
        with self.data.changed:
            for name in ("down", "delay_ms", "lose_answers", "refusal"):
                if name in command:
                    setattr(self.faults, name, command[name])
            if command.get("silence_watches") or command.get("silence_connections"):
                self.watch_generation += 1
            if command.get("silence_connections"):
                self.connection_generation += 1
            if "compact" in command:
                self.data.compact(command["compact"] or self.data.revision)
            self.data.changed.notify_all()

    def record(self) -> Body:
        """Returns the number of calls by kind and all writes in order."""
        with self.data.changed:
            calls = {kind: self.calls[kind] for kind in CALL_KINDS.values()}
            return {
                "revision": self.data.revision,
                "calls": calls,
                "writes": [encode_write(item) for item in self.data.history],
            }

    def consume_lost_answer(self) -> bool:
        """Returns whether the answer is lost; decrements ``lose_answers`` if so."""
        with self.data.changed:
            lost = self.faults.lose_answers > 0
            self.faults.lose_answers -= lost
            return lost

    def _expire_leases(self) -> None:
        while not self.stopped.wait(POLL_INTERVAL_S):
            with self.data.changed:
                self.data.expire_leases()


class _Server(QuietServer):
    def __init__(self, address: tuple[str, int], standin: StoreStandin) -> None:
        self.standin = standin
        super().__init__(address, _Handler)


class _Handler(JsonHandler):
    server: _Server

    def setup(self) -> None:
        super().setup()
        self.generation = self.server.standin.connection_generation

    def respond(self) -> None:
        """Handles a call of the gateway or a request to ``/control``."""
        if self.command == "GET":
            self._answer_get()
        else:
            self._answer_post()

    def _answer_get(self) -> None:
        if self.path == "/control/record":
            self.reply(200, self.server.standin.record())
        else:
            self.reply(404, {"message": "Not Found"})

    def _answer_post(self) -> None:
        standin = self.server.standin
        body = json.loads(self.read_body())
        if self.path == "/control":
            standin.control(body)
            self.reply(200, {})
        elif self.path not in CALL_KINDS:
            self.reply(404, {"message": "Not Found"})
        elif not self._apply_faults(standin):
            self._handle(standin, body)

    def _apply_faults(self, standin: StoreStandin) -> bool:
        if self.generation != standin.connection_generation:
            standin.stopped.wait()
            self.close_connection = True
            return True
        with standin.data.changed:
            standin.calls[CALL_KINDS[self.path]] += 1
        if standin.faults.delay_ms:
            time.sleep(standin.faults.delay_ms / 1000)
        if standin.faults.down == "drop":
            self.close_connection = True
            return True
        if standin.faults.down:
            self.reply(503, {"code": 14, "message": standin.faults.refusal})
            return True
        return False

    def _handle(self, standin: StoreStandin, body: Body) -> None:
        if self.path == "/v3/watch":
            self._stream_watch(standin, body["create_request"])
            return
        with standin.data.changed:
            status, answer = UNARY_CALLS[self.path](standin.data, body)
        if (self.path, status) == ("/v3/kv/txn", 200) and standin.consume_lost_answer():
            self.close_connection = True
            return
        self.reply(status, answer)

    def _stream_watch(self, standin: StoreStandin, create: Body) -> None:
        self.close_connection = True
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for result in self._iterate_watch(standin, create):
            line = json.dumps({"result": result}).encode() + b"\n"
            self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
            self.wfile.flush()
        self.wfile.write(b"0\r\n\r\n")

    def _iterate_watch(self, standin: StoreStandin, create: Body) -> Iterator[Body]:
        data = standin.data
        key, end = decode(create["key"]), decode(create.get("range_end", ""))
        generation = standin.watch_generation
        with data.changed:
            next_revision = int(create.get("start_revision", 0)) or data.revision + 1
            created = encode_result(data, created=True)
        yield created
        while not self._is_watch_over(standin):
            if generation != standin.watch_generation:
                standin.stopped.wait(POLL_INTERVAL_S)
                continue
            result = None
            with data.changed:
                if next_revision > data.revision:
                    data.changed.wait(POLL_INTERVAL_S)
                else:
                    result = encode_changes(data, key, end, next_revision)
                    next_revision = data.revision + 1
            if result:
                yield result
            if result and "canceled" in result:
                return

    def _is_watch_over(self, standin: StoreStandin) -> bool:
        if standin.stopped.is_set() or standin.faults.down:
            return True
        readable, _, _ = select.select([self.connection], [], [], 0)
        return bool(readable)


def main() -> None:
    """Runs the store stand-in until SIGINT."""
    parser = argparse.ArgumentParser(description="stand-in for the platform's store")
    parser.add_argument("--listen", default="127.0.0.1:0")
    host, _, port = parser.parse_args().listen.rpartition(":")
    standin = StoreStandin(host, int(port))
    with contextlib.suppress(KeyboardInterrupt), standin:
        print(f"listening on {standin.url}", flush=True)
        threading.Event().wait()


if __name__ == "__main__":
    main()
