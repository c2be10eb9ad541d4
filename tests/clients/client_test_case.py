"""A small fleet, the crowd's size, and the limits that its processes must keep."""

from __future__ import annotations

import json
import unittest
from typing import TYPE_CHECKING

import urllib3

from tests.standins.crowd import Crowd
from tests.standins.crowd import Stream
from tests.standins.platform_fleet import HOST
from tests.standins.platform_fleet import PREFIX
from tests.standins.platform_fleet import PlatformFleet
from tests.standins.process_usage import MIB
from tests.standins.process_usage import read_usage


if TYPE_CHECKING:
    from tests.standins.processes import ManagedProcess


MEMORY_MB = 128
MAX_DESCRIPTORS = 500
STREAMING_CLIENTS = 4
# More than the threads that answer callers.
SLOW_CLIENTS = 200
IDLE_CLIENTS = 600
ANSWER_TIMEOUT_S = 10.0
METRICS_PORT = 9105

JOB = {
    "spec": "text",
    "bestEffort": True,
    "steps": [{"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 100}],
}


class JobIds:
    """Job ids that have not been used."""

    def __init__(self) -> None:
        self.count = 0

    def take(self) -> str:
        """Returns the next id."""
        self.count += 1
        return f"{self.count:016x}"


class ClientTestCase(unittest.TestCase):
    """Runs one entry and one agent with lowered limits."""

    def setUp(self) -> None:
        self.fleet = self.enterContext(
            PlatformFleet(
                entries=1,
                agents=1,
                settings={
                    "limits.memoryMb": str(MEMORY_MB),
                    "limits.maxFds": str(MAX_DESCRIPTORS),
                },
            )
        )
        self.entry = self.fleet.entries[0]
        self.agent = self.fleet.agents[0]
        self.callers = self.entry.url.removeprefix("http://")
        self.readiness = self.entry.readiness_url.removeprefix("http://")
        self.metrics = f"{self.callers.rpartition(':')[0]}:{METRICS_PORT}"
        self.ids = JobIds()
        self.http = urllib3.PoolManager(retries=False, timeout=ANSWER_TIMEOUT_S)
        # Created with the pool, so that a test's connections don't include it.
        self.addCleanup(self.http.clear)

    def make_job_head(self, fields: str, target: str | None = None) -> bytes:
        """Returns the head of a job's submission, with further header fields."""
        target = target or f"{PREFIX}{self.ids.take()}"
        return (
            f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Content-Type: application/json\r\n{fields}\r\n"
        ).encode()

    def make_job_request(self, fields: str = "") -> bytes:
        """Returns a whole submission of a job."""
        body = json.dumps(JOB).encode()
        head = self.make_job_head(f"Content-Length: {len(body)}\r\n{fields}")
        return head + body

    def assert_within_limits(self, process: ManagedProcess) -> None:
        """Checks that a process lives within the limits in its settings."""
        self.assertTrue(process.is_running, process.log_tail())
        usage = read_usage(process.process.pid)
        self.assertLess(usage.peak_memory_bytes, MEMORY_MB * MIB)
        self.assertLess(usage.descriptors, MAX_DESCRIPTORS)

    def assert_job_is_answered(self) -> None:
        """Checks that an ordinary job is served."""
        answer = self.fleet.submit(self.ids.take(), count=1, timeout_s=ANSWER_TIMEOUT_S)
        self.assertEqual((200, {"state": "completed"}), (answer.status, answer.json()))

    def assert_ready(self) -> None:
        """Checks that the readiness check is answered with 200."""
        url = f"http://{self.readiness}/-/readyz"
        self.assertEqual(200, self.http.request("GET", url).status)

    def assert_agent_answers(self) -> None:
        """Checks that the agent answers a request at its address for heartbeats."""
        url = f"http://{self.agent.heartbeats}/unknown"
        self.assertEqual(404, self.http.request("GET", url).status)

    def assert_entry_serves(self) -> None:
        """Checks the limits of the entry, its readiness and an ordinary job."""
        self.assert_ready()
        self.assert_job_is_answered()
        self.assert_within_limits(self.entry.process)

    def assert_agent_serves(self) -> None:
        """Checks the limits of the agent, and that it answers."""
        self.assert_agent_answers()
        self.assert_job_is_answered()
        self.assert_within_limits(self.agent.process)

    def assert_entry_bears(self, stream: Stream, address: str | None = None) -> None:
        """Sends a stream on a few connections and checks the entry meanwhile."""
        with Crowd(address or self.callers, STREAMING_CLIENTS) as crowd:
            crowd.send(stream)
            self.assert_entry_serves()

    def assert_agent_bears(self, stream: Stream) -> None:
        """Sends a stream on a few connections and checks the agent meanwhile."""
        with Crowd(self.agent.heartbeats, STREAMING_CLIENTS) as crowd:
            crowd.send(stream)
            self.assert_agent_serves()
