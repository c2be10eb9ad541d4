"""Stand-in for a minion: one boot of a worker that runs tasks under a lease.

It follows "Running tasks" and "Service discovery" of the users' PROTOCOL.md and uses
only the standard library. The run time of a task is its job's spec, in milliseconds; a
spec of "deadly N" crashes the minion N milliseconds after the start.
Each start and end is appended to the log file as one JSON line, with times of the
machine's monotonic clock.
"""

import argparse
import json
import os
import signal
import threading
import time
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer


CHECK_S = 0.005
MAX_HOLD_MS = 1000


class Minion:
    def __init__(self, options):
        self.options = options
        self.lock = threading.Condition()
        self.log = open(options.log, "a", buffering=1)
        self.born = int(time.time() * 1000)
        self.booted_at = time.monotonic()
        self.sequence = 0
        self.state = "ready"
        self.token = 0
        self.lease_ms = 0
        self.running = {}
        self.ends = []
        self.next_end = 1
        self.rejected = {}
        self.note("boot", born=self.born, labels=options.labels)

    def note(self, event, **fields):
        row = {"at": time.monotonic(), "event": event, "minion": self.options.id}
        self.log.write(json.dumps(row | fields) + "\n")

    def clock_ms(self):
        return 1 + int((time.monotonic() - self.booted_at) * 1000)

    # Runs.

    def end(self, key, how):
        run = self.running.pop(key)
        task, attempt = key
        self.rejected[task] = max(self.rejected.get(task, 0), attempt)
        self.ends.append([self.next_end, task, attempt, how, ""])
        self.next_end += 1
        self.note("end", task=task, attempt=attempt, how=how)
        self.lock.notify_all()
        return run

    def end_due(self):
        while True:
            time.sleep(CHECK_S)
            with self.lock:
                now = time.monotonic()
                for key, run in list(self.running.items()):
                    if self.clock_ms() > self.lease_ms:
                        self.end(key, "lapsed")
                    elif now >= run["at"] + run["for_s"] and not run["deadly"]:
                        self.end(key, "done")

    def extend(self, body):
        wanted = min(body.get("deadlineMs", 0), self.clock_ms() + MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, wanted)

    def start(self, body):
        key = (body["task"], body["attempt"])
        if key in self.running:
            self.extend(body)
            return 200, {}
        if body["attempt"] <= self.rejected.get(body["task"], 0):
            self.extend(body)
            return 409, {"reason": "old"}
        if body["deadlineMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        is_full = len(self.running) >= self.options.slots
        if is_full and not self.options.unguarded:
            self.extend(body)
            return 409, {"reason": "room"}
        self.extend(body)
        word, _, run_ms = body["spec"].rpartition(" ")
        for_s = int(run_ms) / 1000
        run = {"at": time.monotonic(), "for_s": for_s, "deadly": word == "deadly"}
        self.running[key] = run
        self.note(
            "start",
            task=key[0],
            attempt=key[1],
            spec=body["spec"],
            labels=self.options.labels,
            running=len(self.running),
            slots=self.options.slots,
        )
        if word == "deadly":
            threading.Timer(for_s, self.crash, key).start()
        return 200, {}

    def crash(self, task, attempt):
        """Goes dark: the process stops and answers nothing until it is ended."""
        with self.lock:
            if (task, attempt) in self.running:
                self.note("crash", task=task, attempt=attempt)
                os.kill(os.getpid(), signal.SIGSTOP)

    def stop(self, body):
        task, attempt = body["task"], body["attempt"]
        self.rejected[task] = max(self.rejected.get(task, 0), attempt)
        if (task, attempt) in self.running:
            self.end((task, attempt), "stopped")
        return 200, {}

    def hold(self, body):
        self.extend(body)
        self.ends = [row for row in self.ends if row[0] > body.get("ackedThrough", 0)]
        if not self.ends:
            self.lock.wait(min(body.get("waitMs", 0), 2000) / 1000)
        now = time.monotonic()
        rows = [
            [*key, "", min(99, int(100 * (now - run["at"]) / run["for_s"])), 1]
            for key, run in self.running.items()
        ]
        return 200, {"running": rows, "finished": self.ends[:500]}

    def answer(self, path, headers, body):
        calls = {
            "/-/run-start": self.start,
            "/-/run-stop": self.stop,
            "/-/hold": self.hold,
        }
        with self.lock:
            call = calls.get(path)
            if call is None:
                return 404, {}
            if headers.get("Expected-Instance", self.options.id) != self.options.id:
                return 421, {}
            if body.get("fencingToken", 0) < self.token:
                status, reply = 409, {"reason": "fence"}
            else:
                self.token = body.get("fencingToken", 0)
                status, reply = call(body)
            return status, reply | {"clockMs": self.clock_ms(), "born": self.born}

    # Pings.

    def ping(self):
        host, _, port = self.options.admin.rpartition(":")
        time.sleep(self.options.first_ping_ms / 1000)
        while True:
            began = time.monotonic()
            try:
                connection = HTTPConnection(host, int(port), timeout=1.0)
                path = f"/-/instances/{self.options.id}/heartbeat"
                body = json.dumps(self.describe())
                connection.request("POST", path, body)
                status = connection.getresponse().status
                connection.close()
            except OSError:
                status = 0
            self.note("ping", status=status, state=self.state)
            pause = self.options.heartbeat_ms / 1000 if status == 200 else 0.1
            time.sleep(max(0.0, began + pause - time.monotonic()))

    def describe(self):
        self.sequence += 1
        room = {"cpu": self.options.slots * 1000, "memMb": 65536, "gpu": 0}
        return {
            "service": self.options.service,
            "address": self.options.listen,
            "zone": self.options.zone,
            "version": "v1",
            "capacity": 8,
            "state": self.state,
            "warmupLeftMs": 0,
            "room": room,
            "labels": self.options.labels.split(","),
            "clockMs": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }


def main():
    parser = argparse.ArgumentParser()
    for name in ("listen", "admin", "id", "service", "zone", "labels", "log"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--unguarded", action="store_true")
    parser.add_argument("--heartbeat-ms", type=int, default=1500)
    parser.add_argument("--first-ping-ms", type=int, default=0)
    minion = Minion(parser.parse_args())

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def do_POST(self):
            text = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            reply = minion.answer(self.path, self.headers, json.loads(text))
            data = json.dumps(reply[1]).encode()
            self.send_response(reply[0])
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.wfile.flush()

        def log_message(self, *_):
            pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 128

        def handle_error(self, *_):
            pass

    host, _, port = minion.options.listen.rpartition(":")
    server = Server((host, int(port)), Handler)
    for work in (minion.end_due, minion.ping):
        threading.Thread(target=work, daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
