"""Checks that each caller receives the complete answer to its own request."""

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
LINK_REPLACE_INTERVAL_S = 1.0
MAX_RECEIVE_BYTES = 65_536


class OwnAnswerTest(FleetTestCase):
    def test_answers_match_requests_while_links_are_replaced(self) -> None:
        fleet = self.start_fleet(proxied=True)
        generator = random.Random(SEED)
        hosts = [entry.host for entry in fleet.entries]
        hosts += [agent.host for agent in fleet.agents]
        for proxy in fleet.proxies():
            for host in hosts:
                delay_s = generator.uniform(0.0, MAX_DELAY_S)
                proxy.set_fault(Fault(delay_s=delay_s), host)
        calls = [
            self.executor.submit(self.submit_jobs, fleet, number)
            for number in range(CALLERS)
        ]
        proxies = cycle(fleet.proxies())
        while wait(calls, LINK_REPLACE_INTERVAL_S).not_done:
            next(proxies).blackhole_open_connections()
        logs = [
            process.log.read_text() for process in fleet.entry_and_agent_processes()
        ]
        self.assertIn("link_redialed", "".join(logs))
        self.assertEqual(CALLERS * JOBS_PER_CALLER, sum(c.result() for c in calls))
        self.assert_no_task_started_twice(fleet)

    def submit_jobs(self, fleet: Fleet, number: int) -> int:
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
            self.assert_done(reply, payloads)
            self.assertIn(job_id, (None, reply.body["id"]))
        return JOBS_PER_CALLER

    def test_pipelined_and_disconnected_callers_get_their_own_answers(self) -> None:
        fleet = self.start_fleet(zones=1, entries=1)
        entry = fleet.entries[0]
        abandoned = encode_request(entry, {"echo": "gone", "sleep_ms": 300})
        kept = encode_request(entry, {"echo": "stays"}, "Connection: close\r\n")
        cases = [("used again", True, ["gone", "stays"]), ("closed", False, ["stays"])]
        for name, is_pipelined, expected in cases:
            with self.subTest(name):
                connection = open_connection(entry)
                connection.sendall(abandoned)
                if not is_pipelined:
                    connection.close()
                    connection = open_connection(entry)
                connection.sendall(kept)
                self.assertEqual(expected, read_echoes(connection))
        fleet.wait_until(lambda: len(fleet.starts()) == 4, "all tasks to start")
        self.assert_no_task_started_twice(fleet)


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
    """Reads a connection to its end; returns the first echo of each response."""
    received = b""
    with connection:
        while chunk := connection.recv(MAX_RECEIVE_BYTES):
            received += chunk
    bodies = [line for line in received.split(b"\n") if line.startswith(b"{")]
    decoder = json.JSONDecoder()
    answers = [decoder.raw_decode(body.decode())[0] for body in bodies]
    return [answer["results"][0]["echo"] for answer in answers]
