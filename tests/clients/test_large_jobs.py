"""Clients whose messages are whole, or nearly so, and large."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from tests.clients.client_test_case import JOB
from tests.clients.client_test_case import SLOW_CLIENTS
from tests.clients.client_test_case import STREAMING_CLIENTS
from tests.clients.client_test_case import ClientTestCase
from tests.standins.crowd import Crowd
from tests.standins.platform_fleet import HOST
from tests.standins.platform_fleet import PREFIX
from tests.standins.platform_target import DEFAULT_RUN_S
from tests.standins.process_usage import MIB
from tests.standins.processes import wait_until


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence


UNFINISHED_BODIES = 30
UNFINISHED_BYTES = 7 * MIB
MEDIUM_BODIES = 60
MEDIUM_BYTES = 2 * MIB
BODY_BYTES = 8 * MIB
WIDEST_STEPS = 1000
MOST_TASKS = 10_000
DEADLINE_MS = 3_600_000
DEADLINE = f"Deadline-Ms: {DEADLINE_MS}\r\n"
ESTIMATE_MS = 600_000
ROUNDS = 10
CALLERS_A_ROUND = 40
LONG_RUN_S = 3600.0
# A task needs all memory of the target, so that one runs at a time.
WAITING_STEP: dict[str, object] = {
    "count": 1,
    "cpu": 0,
    "memMb": 65_536,
    "estimateMs": ESTIMATE_MS,
}


class LargeJobTest(ClientTestCase):
    def make_request(self, body: bytes, fields: str = "") -> bytes:
        """Returns a whole submission with a body."""
        length = f"Content-Length: {len(body)}\r\n"
        return self.make_job_head(length + fields) + body

    def assert_entry_bears_jobs(self, body: bytes) -> None:
        """Submits a body on a few connections and checks the entry meanwhile."""
        requests = [self.make_request(body) for _ in range(STREAMING_CLIENTS)]
        with Crowd(self.callers, STREAMING_CLIENTS) as crowd:
            crowd.send_each(requests)
            self.assert_entry_serves()

    def test_large_bodies_that_are_not_finished(self) -> None:
        head = self.make_job_head(f"Content-Length: {UNFINISHED_BYTES + 1}\r\n")
        with Crowd(self.callers, UNFINISHED_BODIES) as crowd:
            crowd.send_once(head + b" " * UNFINISHED_BYTES)
            self.assert_entry_serves()

    def test_many_bodies_that_are_not_finished(self) -> None:
        head = self.make_job_head(f"Content-Length: {MEDIUM_BYTES + 1}\r\n")
        with Crowd(self.callers, MEDIUM_BODIES) as crowd:
            crowd.send_once(head + b" " * MEDIUM_BYTES)
            self.assert_entry_serves()

    def test_job_of_many_empty_steps(self) -> None:
        steps = b"{}," * (BODY_BYTES // len(b"{},") - 100) + b"{}"
        self.assert_entry_bears_jobs(
            b'{"spec":"","bestEffort":true,"steps":[%b]}' % steps
        )

    def test_step_with_many_dependencies(self) -> None:
        earlier = b"0," * (BODY_BYTES // 2 - 200) + b"0"
        step = b'{"count":1,"cpu":1,"memMb":1}'
        later = b'{"count":1,"cpu":1,"memMb":1,"after":[%b]}' % earlier
        self.assert_entry_bears_jobs(
            b'{"spec":"","bestEffort":true,"steps":[%b,%b]}' % (step, later)
        )

    def test_deeply_nested_job(self) -> None:
        self.assert_entry_bears_jobs(
            b"[" * (BODY_BYTES // 2) + b"]" * (BODY_BYTES // 2)
        )

    def test_jobs_of_most_tasks_that_wait(self) -> None:
        self.assert_entry_bears_waiting_jobs([WAITING_STEP | {"count": MOST_TASKS}])

    def test_jobs_of_most_steps_and_dependencies_that_wait(self) -> None:
        self.assert_entry_bears_waiting_jobs(
            [
                WAITING_STEP | {"after": list(range(number))}
                for number in range(WIDEST_STEPS)
            ]
        )

    def test_more_waiting_jobs_than_threads(self) -> None:
        self.assert_entry_bears_waiting_jobs([WAITING_STEP])

    def test_abandoned_jobs_of_most_tasks(self) -> None:
        steps = [WAITING_STEP | {"count": MOST_TASKS}]
        self.agent.target.faults.run_s = LONG_RUN_S
        body = json.dumps(JOB | {"steps": steps}).encode()
        for _ in range(ROUNDS):
            with Crowd(self.callers, CALLERS_A_ROUND) as crowd:
                crowd.send_each(
                    self.make_request(body, DEADLINE) for _ in range(CALLERS_A_ROUND)
                )
                wait_until(lambda: self.count_pending() > 0, "a job to wait")
        self.agent.target.faults.run_s = DEFAULT_RUN_S
        self.assert_entry_serves()

    def assert_entry_bears_waiting_jobs(
        self, steps: Sequence[Mapping[str, object]]
    ) -> None:
        """Submits jobs, one of which runs while the others wait, and checks the entry.

        Tasks without a demand for processors are admitted however many wait.
        """
        self.agent.target.faults.run_s = LONG_RUN_S
        body = json.dumps(JOB | {"steps": steps}).encode()
        requests = (self.make_request(body, DEADLINE) for _ in range(SLOW_CLIENTS))
        with Crowd(self.callers, SLOW_CLIENTS) as crowd:
            crowd.send_each(requests)
            self.assert_ready()
            self.count_pending()
            self.assert_within_limits(self.entry.process)
        self.agent.target.faults.run_s = DEFAULT_RUN_S
        self.assert_entry_serves()

    def count_pending(self) -> int:
        """Returns how many jobs wait, as a caller learns it."""
        url = f"{self.entry.url}{PREFIX}"
        answer = self.http.request("GET", url, headers={"Host": HOST})
        self.assertEqual(200, answer.status)
        return int(answer.json()["pending"])
