"""What tests with a fleet share: calls in the background, and the judge."""

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


BACKGROUND_CALLS = 16
MAX_ASKS = 20


class FleetTestCase(unittest.TestCase):
    """Starts a fleet for each test; the judge reads only records from outside."""

    def start_fleet(self, **options: Any) -> Fleet:
        """Starts a fleet that ends with the test; prints its logs if that failed."""
        fleet = self.enterContext(Fleet(**options))
        self.addCleanup(self.print_logs_of_failure, fleet)
        self.threads = self.enterContext(ThreadPoolExecutor(BACKGROUND_CALLS))
        self.calls: list[Future[Reply]] = []
        return fleet

    def print_logs_of_failure(self, fleet: Fleet) -> None:
        """Prints the ends of the logs if the test has failed so far."""
        if not getattr(self, "_outcome").success:  # noqa: B009
            fleet.print_log_tails()

    def begin(self, call: Callable[[], Reply]) -> Future[Reply]:
        """Starts a call in the background."""
        self.calls.append(self.threads.submit(call))
        return self.calls[-1]

    def wait_for_starts(self, fleet: Fleet, job_id: str, count: int) -> None:
        """Waits until so many tasks of a job have started.

        Raises:
            AssertionError: If all calls were answered before.
        """

        def has_started() -> bool:
            if sum(is_of(job_id, task) for task in fleet.count_starts()) >= count:
                return True
            if all(call.done() for call in self.calls):
                raise AssertionError(f"no {count} starts: {self.calls[-1].result()}")
            return False

        fleet.wait_until(has_started, f"{count} starts")

    def settle(
        self, reply: Reply, caller: Caller, job_id: str, job: dict[str, Any]
    ) -> Reply:
        """Asks until the answer is final; before, the home may only be silent."""
        for _ in range(MAX_ASKS):
            if reply.body["final"]:
                return reply
            self.assertEqual("home_silent", reply.kind)
            reply = caller.put_job(job_id, job)
        raise AssertionError("the home was not heard again")

    def judge_starts(self, fleet: Fleet) -> None:
        """Checks that no task started twice, by the targets' own records."""
        counts = fleet.count_starts()
        twice = {task: count for task, count in counts.items() if count > 1}
        self.assertEqual({}, twice)

    def judge_done(self, reply: Reply, payloads: list[dict[str, Any]]) -> None:
        """Checks that an answer is whole."""
        self.assertEqual((200, "done"), (reply.status, reply.outcome), reply)
        self.assertEqual([run(payload) for payload in payloads], reply.body["results"])

    def judge_whole_or_not_done(
        self, reply: Reply, payloads: list[dict[str, Any]]
    ) -> None:
        """Checks that an answer has every result, or none."""
        if reply.outcome == "done":
            self.judge_done(reply, payloads)
        else:
            self.assertNotIn("results", reply.body)
            self.assertIn("error", reply.body)

    def judge_load(self, fleet: Fleet, load: SteadyLoad) -> None:
        """Checks all answers of a load against the targets' own records."""
        started = Counter(task.rpartition("/")[0] for task in fleet.count_starts())
        for job in load.jobs:
            for reply in job.replies:
                self.judge_whole_or_not_done(reply, job.payloads)
            outcomes = {reply.outcome for reply in job.replies}
            if "not_run" in outcomes:
                self.assertEqual(0, started[job.job_id], job.replies)
            if "done" in outcomes:
                self.assertEqual(len(job.payloads), started[job.job_id])
            self.assertTrue(job.is_settled, job.replies[-1:])
        self.judge_starts(fleet)

    def judge_works(self, fleet: Fleet) -> None:
        """Checks that new jobs are done within 10 s."""
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
    """Returns payloads whose results tell them apart."""
    return [{"sum": [number, 1], "echo": number, **fields} for number in range(count)]


def run(payload: dict[str, Any]) -> dict[str, Any]:
    """Returns the result that a target must give."""
    return {"sum": sum(payload["sum"]), "echo": payload["echo"]}


def is_of(job_id: str, task_id: str) -> bool:
    """Returns whether a ``Task-Id`` is of a job."""
    return task_id.startswith(f"{job_id}/")


def has_incarnation(process: ManagedProcess, incarnation: str) -> bool:
    """Returns whether a process logged under an incarnation."""
    lines = process.log.read_text(errors="replace").splitlines()
    return any(json.loads(line)["task_uuid"] == incarnation for line in lines[:-1])


def find_home(fleet: Fleet, job_id: str) -> AgentProcess:
    """Returns the agent whose incarnation a job id names."""
    incarnation = job_id.split(".")[0]
    return next(
        agent for agent in fleet.agents if has_incarnation(agent.process, incarnation)
    )


def find_others(fleet: Fleet, home: AgentProcess) -> list[AgentProcess]:
    """Returns the agents that are not the home."""
    return [agent for agent in fleet.agents if agent is not home]
