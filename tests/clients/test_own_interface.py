"""The same clients at the project's own interface."""

from __future__ import annotations

import json
import unittest

from tests.clients.client_test_case import IDLE_CLIENTS
from tests.clients.client_test_case import MAX_DESCRIPTORS
from tests.clients.client_test_case import MEMORY_MB
from tests.clients.client_test_case import SLOW_CLIENTS
from tests.clients.client_test_case import STREAMING_CLIENTS
from tests.clients.test_slow_clients import Trickle
from tests.standins.caller import Caller
from tests.standins.caller import make_job
from tests.standins.crowd import Crowd
from tests.standins.crowd import Stream
from tests.standins.fleet import SERVICE
from tests.standins.fleet import Fleet
from tests.standins.process_usage import MIB
from tests.standins.process_usage import read_usage


THREADS = 160
ANSWER_TIMEOUT_S = 10.0
DEADLINE_MS = 3_600_000
BODY_BYTES = 8 * MIB
UNFINISHED_BODIES = 30
# What a Push socket of NNG sends first on a connection.
NNG_HANDSHAKE = b"\0SP\0\0P\0\0"
UNFINISHED_BYTES = 7 * MIB


class OwnInterfaceTest(unittest.TestCase):
    def setUp(self) -> None:
        settings = {
            "JACKDAWKEEL_MEMORY_MB": str(MEMORY_MB),
            "JACKDAWKEEL_MAX_DESCRIPTORS": str(MAX_DESCRIPTORS),
            "JACKDAWKEEL_THREADS": str(THREADS),
        }
        self.fleet = self.enterContext(
            Fleet(zones=1, entries=1, entry_settings=settings)
        )
        self.entry = self.fleet.entries[0]
        self.address = self.entry.caller.url.removeprefix("http://")
        self.caller = Caller(self.entry.caller.url, timeout_s=ANSWER_TIMEOUT_S)

    def make_head(self, fields: str) -> bytes:
        """Returns the head of a job's submission, with further header fields."""
        return f"POST /v1/jobs HTTP/1.1\r\nHost: entry\r\n{fields}\r\n".encode()

    def make_request(self, body: bytes) -> bytes:
        """Returns a whole submission with a body."""
        return self.make_head(f"Content-Length: {len(body)}\r\n") + body

    def assert_entry_serves(self) -> None:
        """Checks the limits of the entry, its health check and an ordinary job."""
        health = self.fleet.http.request("GET", f"{self.caller.url}/healthz")
        self.assertEqual(200, health.status)
        reply = self.caller.post_job(make_job(SERVICE, [{}]))
        self.assertEqual(200, reply.status, reply.body)
        self.assert_within_limits()

    def assert_within_limits(self) -> None:
        """Checks that the entry lives within the limits in its settings."""
        process = self.entry.process
        self.assertTrue(process.is_running, process.log_tail())
        usage = read_usage(process.process.pid)
        self.assertLess(usage.peak_memory_bytes, MEMORY_MB * MIB)
        self.assertLess(usage.descriptors, MAX_DESCRIPTORS)

    def assert_entry_bears(self, start: bytes, pattern: bytes) -> None:
        """Sends a stream on a few connections and checks the entry meanwhile."""
        with Crowd(self.address, STREAMING_CLIENTS) as crowd:
            crowd.send(Stream.repeat(start, pattern))
            self.assert_entry_serves()

    def test_header_line_without_end(self) -> None:
        self.assert_entry_bears(self.make_head("")[:-2] + b"X-Long: ", b"a")

    def test_trailer_line_without_end(self) -> None:
        head = self.make_head("Transfer-Encoding: chunked\r\n")
        self.assert_entry_bears(head + b"2\r\n{}\r\n0\r\nX-Long: ", b"a")

    def test_chunk_larger_than_any_limit(self) -> None:
        head = self.make_head("Transfer-Encoding: chunked\r\n")
        self.assert_entry_bears(head + b"7fffffff\r\n", b"a")

    def test_callers_that_send_a_byte_at_a_time(self) -> None:
        with Crowd(self.address, SLOW_CLIENTS) as crowd, Trickle(crowd):
            self.assert_entry_serves()

    def test_idle_callers(self) -> None:
        with Crowd(self.address, IDLE_CLIENTS):
            self.assert_entry_serves()

    def test_large_bodies_that_are_not_finished(self) -> None:
        head = self.make_head(f"Content-Length: {UNFINISHED_BYTES + 1}\r\n")
        with Crowd(self.address, UNFINISHED_BODIES) as crowd:
            crowd.send_once(head + b" " * UNFINISHED_BYTES)
            self.assert_entry_serves()

    def test_job_of_many_tasks(self) -> None:
        task = b'{"payload":0},'
        tasks = task * (BODY_BYTES // len(task) - 100) + task[:-1]
        body = b'{"service":"%b","tasks":[%b]}' % (SERVICE.encode(), tasks)
        with Crowd(self.address, STREAMING_CLIENTS) as crowd:
            crowd.send_once(self.make_request(body))
            self.assert_entry_serves()

    def test_more_waiting_jobs_than_threads(self) -> None:
        job = make_job(SERVICE, [{"hang": True}], deadline_ms=DEADLINE_MS)
        request = self.make_request(json.dumps(job).encode())
        with Crowd(self.address, SLOW_CLIENTS) as crowd:
            crowd.send_once(request)
            health = self.fleet.http.request("GET", f"{self.caller.url}/healthz")
            self.assertEqual(200, health.status)
            self.assertEqual(200, self.caller.get_status().status)
            self.assert_within_limits()

    def test_idle_connections_to_the_link(self) -> None:
        with Crowd(self.entry.link, IDLE_CLIENTS):
            self.assert_entry_serves()

    def test_unfinished_messages_to_the_link(self) -> None:
        length = (UNFINISHED_BYTES + 1).to_bytes(8)
        with Crowd(self.entry.link, UNFINISHED_BODIES) as crowd:
            crowd.send_once(NNG_HANDSHAKE + length + b"a" * UNFINISHED_BYTES)
            self.assert_entry_serves()
