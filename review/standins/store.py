"""Stand-in for the platform's metadata store, without faults.

It follows "The platform's metadata store" of the users' PROTOCOL.md and uses only the
standard library.
"""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from urllib.parse import parse_qsl
from urllib.parse import urlsplit


class Store:
    def __init__(self, address):
        self.lock = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def respond(self):
                size = int(self.headers.get("Content-Length", 0))
                text = self.rfile.read(size)
                parts = urlsplit(self.path)
                query = dict(parse_qsl(parts.query))
                body = json.loads(text) if text else {}
                status, reply = store.answer(parts.path, query, body)
                data = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
                self.wfile.flush()

            do_GET = do_POST = do_DELETE = respond

            def log_message(self, *_):
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        host, _, port = address.rpartition(":")
        self.address = address
        self.server = Server((host, int(port)), Handler)
        for work in (self.server.serve_forever, self.expire):
            threading.Thread(target=work, daemon=True).start()

    def put(self, key, value, lease=0):
        """Writes a key; returns its revision."""
        with self.lock:
            self.revision += 1
            created = self.items.get(key, {"created": self.revision})["created"]
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.items[key] = item
            self.events.append(item)
            self.lock.notify_all()
            return self.revision

    def remove(self, key):
        with self.lock:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.events.append(event)
                self.lock.notify_all()

    def expire(self):
        while True:
            time.sleep(0.1)
            with self.lock:
                now = time.monotonic()
                ended = [k for k, (_, until) in self.leases.items() if until < now]
                for lease in ended:
                    del self.leases[lease]
                keys = [k for k, item in self.items.items() if item["lease"] in ended]
            for key in keys:
                self.remove(key)

    def answer(self, path, query, body):
        name = path.removeprefix("/-/")
        if name == "kv-key":
            with self.lock:
                item = self.items.get(query["key"])
                return (200, item | {"asOf": self.revision}) if item else (404, {})
        if name == "kv-range":
            with self.lock:
                keys = sorted(
                    key
                    for key in self.items
                    if key.startswith(query["prefix"]) and key > query.get("after", "")
                )
                rows = [self.items[key] for key in keys]
                reply = {"items": rows, "morePages": False, "asOf": self.revision}
                return 200, reply
        if name == "kv-watch":
            return self.watch(query)
        if name == "kv-txn":
            return self.change(body)
        if name == "kv-lease":
            with self.lock:
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                ttl = body["ttlMs"] / 1000
                self.leases[lease] = (ttl, time.monotonic() + ttl)
                return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        if name.startswith("kv-keep/"):
            with self.lock:
                lease = int(name.rpartition("/")[2])
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl)
                return 200, {"lease": lease, "ttlMs": int(ttl * 1000)}
        return 404, {}

    def watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        with self.lock:
            while True:
                found = [
                    event
                    for event in self.events
                    if event["revision"] > after
                    and event["key"].startswith(query["prefix"])
                ]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "asOf": self.revision}
                self.lock.wait(left)

    def change(self, body):
        with self.lock:
            current = [self.items.get(row["key"]) for row in body["expected"]]
            found = [item["revision"] if item else 0 for item in current]
            if found != [row["revision"] for row in body["expected"]]:
                return 412, {"items": [item for item in current if item]}
            if any(w.get("lease", 0) not in {0, *self.leases} for w in body["writes"]):
                return 404, {}
            for write in body["writes"]:
                value = base64.b64decode(write["value"])
                self.put(write["key"], value, write.get("lease", 0))
            for key in body.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.revision}
