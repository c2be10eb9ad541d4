"""Each caller receives the whole answer to its own request."""

from __future__ import annotations

import json
import random
import socket
from concurrent.futures import wait
from itertools import cycle
from typing import TYPE_CHECKING
from typing import Any

from tests.integration.fleet_test_case import FleetTestCase
from tests.standins.caller import make_job
from tests.standins.fleet import SERVICE
from tests.standins.proxy import Fault


if TYPE_CHECKING:
    from tests.standins.fleet import EntryProcess
    from tests.standins.fleet import Fleet


SEED = 4
CALLERS = 16
JOBS_PER_CALLER = 5
JOB_SIZES = [1, 5, 20]
MAX_DELAY_S = 0.03
REPLACE_INTERVAL_S = 1.0
RECEIVED_BYTES = 65_536


class OwnAnswerTest(FleetTestCase):
    def test_crossed_answers_over_links_that_are_replaced(self) -> None:
        fleet = self.start_fleet(proxied=True)
        generator = random.Random(SEED)
        hosts = [entry.host for entry in fleet.entries]
        hosts += [agent.host for agent in fleet.agents]
        for proxy in fleet.proxies():
            for host in hosts:
                delay_s = generator.uniform(0.0, MAX_DELAY_S)
                proxy.set_fault(Fault(delay_s=delay_s), host)
        calls = [
            self.threads.submit(self.call_often, fleet, number)
            for number in range(CALLERS)
        ]
        proxies = cycle(fleet.proxies())
        while wait(calls, REPLACE_INTERVAL_S).not_done:
            next(proxies).blackhole_open_connections()
        logs = [
            process.log.read_text() for process in fleet.entry_and_agent_processes()
        ]
        self.assertIn("link_redialed", "".join(logs))
        self.assertEqual(CALLERS * JOBS_PER_CALLER, sum(c.result() for c in calls))
        self.judge_starts(fleet)

    def call_often(self, fleet: Fleet, number: int) -> int:
        """Checks the answers to jobs with distinct payloads; returns their number."""
        generator = random.Random(SEED + number)
        for turn in range(JOBS_PER_CALLER):
            caller = generator.choice(fleet.entries).caller
            payloads = [
                {
                    "sum": [number, turn],
                    "echo": f"{number}/{turn}/{index}",
                    "sleep_ms": generator.uniform(1, 100),
                }
                for index in range(generator.choice(JOB_SIZES))
            ]
            job = make_job(SERVICE, payloads)
            job_id = caller.request_ids(SERVICE, 1)[0] if turn % 2 else None
            reply = caller.put_job(job_id, job) if job_id else caller.post_job(job)
            self.judge_done(reply, payloads)
            self.assertIn(job_id, (None, reply.body["id"]))
        return JOBS_PER_CALLER

    def test_connection_after_its_caller_has_gone(self) -> None:
        fleet = self.start_fleet(zones=1, entries=1)
        entry = fleet.entries[0]
        gone = encode_request(entry, {"echo": "gone", "sleep_ms": 300})
        stays = encode_request(entry, {"echo": "stays"}, "Connection: close\r\n")
        rows = [("used again", True, ["gone", "stays"]), ("closed", False, ["stays"])]
        for name, is_used_again, expected in rows:
            with self.subTest(name):
                connection = open_connection(entry)
                connection.sendall(gone)
                if not is_used_again:
                    connection.close()
                    connection = open_connection(entry)
                connection.sendall(stays)
                self.assertEqual(expected, read_echoes(connection))
        fleet.wait_until(lambda: len(fleet.starts()) == 4, "all tasks to start")
        self.judge_starts(fleet)


def open_connection(entry: EntryProcess) -> socket.socket:
    """Connects to an entry."""
    host, port = entry.caller.url.removeprefix("http://").split(":")
    return socket.create_connection((host, int(port)))


def encode_request(entry: EntryProcess, payload: Any, header: str = "") -> bytes:
    """Encodes a request for a job of one task."""
    body = json.dumps(make_job(SERVICE, [payload]))
    host = entry.caller.url.removeprefix("http://")
    head = f"POST /v1/jobs HTTP/1.1\r\nHost: {host}\r\n{header}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


def read_echoes(connection: socket.socket) -> list[str]:
    """Reads all responses of a connection; returns what their tasks echo."""
    received = b""
    with connection:
        while chunk := connection.recv(RECEIVED_BYTES):
            received += chunk
    bodies = [line for line in received.split(b"\n") if line.startswith(b"{")]
    decoder = json.JSONDecoder()
    answers = [decoder.raw_decode(body.decode())[0] for body in bodies]
    return [answer["results"][0]["echo"] for answer in answers]
