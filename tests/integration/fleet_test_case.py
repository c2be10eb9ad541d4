"""Base class of tests with a fleet: background calls and checks from outside."""

from __future__ import annotations

import json
import unittest
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import Any

from tests.standins.caller import make_job
from tests.standins.fleet import SERVICE
from tests.standins.fleet import Fleet


if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from tests.integration.steady_load import SteadyLoad
    from tests.standins.caller import Caller
    from tests.standins.caller import Reply
    from tests.standins.fleet import AgentProcess
    from tests.standins.processes import ManagedProcess


MAX_BACKGROUND_CALLS = 16
MAX_SUBMISSIONS = 20


class FleetTestCase(unittest.TestCase):
    """Starts fleets and checks answers against the records of the targets."""

    def start_fleet(self, **options: Any) -> Fleet:
        """Starts a fleet that stops with the test, and prints its logs on failure."""
        fleet = self.enterContext(Fleet(**options))
        self.addCleanup(self.print_logs_if_failed, fleet)
        self.executor = self.enterContext(ThreadPoolExecutor(MAX_BACKGROUND_CALLS))
        self.calls: list[Future[Reply]] = []
        return fleet

    def print_logs_if_failed(self, fleet: Fleet) -> None:
        """Prints the last lines of the logs if the test has failed."""
        if not getattr(self, "_outcome").success:  # noqa: B009
            fleet.print_log_tails()

    def start_call(self, call: Callable[[], Reply]) -> Future[Reply]:
        """Starts a call in a background thread."""
        self.calls.append(self.executor.submit(call))
        return self.calls[-1]

    def wait_for_starts(self, fleet: Fleet, job_id: str, count: int) -> None:
        """Waits until a number of tasks of a job have started.

        Raises:
            AssertionError: If all calls are answered before.
        """

        def has_started() -> bool:
            if (
                sum(belongs_to_job(job_id, task) for task in fleet.count_starts())
                >= count
            ):
                return True
            if all(call.done() for call in self.calls):
                raise AssertionError(f"no {count} starts: {self.calls[-1].result()}")
            return False

        fleet.wait_until(has_started, f"{count} starts")

    def submit_until_final(
        self, reply: Reply, caller: Caller, job_id: str, job: dict[str, Any]
    ) -> Reply:
        """Resubmits a job until its answer is final.

        Raises:
            AssertionError: If an earlier answer is not ``home_silent``, or no answer is
                final.
        """
        for _ in range(MAX_SUBMISSIONS):
            if reply.body["final"]:
                return reply
            self.assertEqual("home_silent", reply.kind)
            reply = caller.put_job(job_id, job)
        raise AssertionError("the home did not become reachable again")

    def assert_no_task_started_twice(self, fleet: Fleet) -> None:
        """Checks in the records of the targets that no task started twice."""
        counts = fleet.count_starts()
        started_twice = {task: count for task, count in counts.items() if count > 1}
        self.assertEqual({}, started_twice)

    def assert_done(self, reply: Reply, payloads: list[dict[str, Any]]) -> None:
        """Checks that an answer is ``done`` with the result of every task."""
        self.assertEqual((200, "done"), (reply.status, reply.outcome), reply)
        self.assertEqual(
            [expected_result(payload) for payload in payloads], reply.body["results"]
        )

    def assert_all_results_or_none(
        self, reply: Reply, payloads: list[dict[str, Any]]
    ) -> None:
        """Checks that an answer has all results, or an error and no results."""
        if reply.outcome == "done":
            self.assert_done(reply, payloads)
        else:
            self.assertNotIn("results", reply.body)
            self.assertIn("error", reply.body)

    def assert_load_consistent(self, fleet: Fleet, load: SteadyLoad) -> None:
        """Checks all answers of a load against the records of the targets."""
        started = Counter(task.rpartition("/")[0] for task in fleet.count_starts())
        for job in load.jobs:
            for reply in job.replies:
                self.assert_all_results_or_none(reply, job.payloads)
            outcomes = {reply.outcome for reply in job.replies}
            if "not_run" in outcomes:
                self.assertEqual(0, started[job.job_id], job.replies)
            if "done" in outcomes:
                self.assertEqual(len(job.payloads), started[job.job_id])
            self.assertTrue(job.has_final_answer, job.replies[-1:])
        self.assert_no_task_started_twice(fleet)

    def assert_serves_new_jobs(self, fleet: Fleet) -> None:
        """Waits up to 10 s until each running entry completes a new job."""
        payloads = make_payloads(24, sleep_ms=20)

        def is_done() -> bool:
            replies = [
                entry.caller.post_job(make_job(SERVICE, payloads))
                for entry in fleet.entries
                if entry.process.is_running
            ]
            return all(reply.outcome == "done" for reply in replies)

        fleet.wait_until(is_done, "new jobs to be done", timeout_s=10.0)


def make_payloads(count: int, **fields: Any) -> list[dict[str, Any]]:
    """Returns payloads that give distinct results."""
    return [{"sum": [number, 1], "echo": number, **fields} for number in range(count)]


def expected_result(payload: dict[str, Any]) -> dict[str, Any]:
    """Returns the result that a target must give for a payload."""
    return {"sum": sum(payload["sum"]), "echo": payload["echo"]}


def belongs_to_job(job_id: str, task_id: str) -> bool:
    """Returns whether a ``Task-Id`` belongs to a job."""
    return task_id.startswith(f"{job_id}/")


def has_incarnation(process: ManagedProcess, incarnation: str) -> bool:
    """Returns whether a process has logged under an incarnation."""
    lines = process.log.read_text(errors="replace").splitlines()
    return any(json.loads(line)["task_uuid"] == incarnation for line in lines[:-1])


def find_home(fleet: Fleet, job_id: str) -> AgentProcess:
    """Returns the agent whose incarnation a job id names."""
    incarnation = job_id.split(".")[0]
    return next(
        agent for agent in fleet.agents if has_incarnation(agent.process, incarnation)
    )


def find_peers(fleet: Fleet, home: AgentProcess) -> list[AgentProcess]:
    """Returns the agents that are not the home."""
    return [agent for agent in fleet.agents if agent is not home]
