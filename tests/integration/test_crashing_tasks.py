"""Tests tasks that crash each target that starts them, on stand-ins of the platform.

They guard against a task that crashes target after target, also when the entry that
counts its crashes fails, and against innocent tasks that are given up with it.
"""

from __future__ import annotations

import threading
import unittest

import urllib3

from tests.standins.platform_fleet import PlatformFleet
from tests.standins.processes import wait_until


AGENTS = 6
CORES_USED = 3
JOB_ID = "0" * 15 + "1"
OTHER_JOB_ID = "0" * 15 + "2"
ANSWER_TIMEOUT_S = 20.0
# Time after which a caller resubmits a job whose connection was lost, in seconds.
RESUBMISSION_DELAY_S = 1.3


class CrashingTaskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = self.enterContext(PlatformFleet(agents=AGENTS))
        self.states: dict[str, str] = {}
        self.threads: list[threading.Thread] = []

    def set_deadly(self, *tasks: str) -> None:
        for agent in self.fleet.agents:
            agent.target.faults.deadly_tasks = frozenset(tasks)

    def submit(self, job_id: str, entry: int = 0, count: int = 1) -> None:
        """Submits a job and keeps its state, or an empty text without an answer."""
        try:
            answer = self.fleet.submit(
                job_id, entry, count=count, timeout_s=ANSWER_TIMEOUT_S
            )
            self.states[job_id] = answer.json().get("state", str(answer.status))
        except urllib3.exceptions.HTTPError:
            self.states[job_id] = ""

    def submit_in_background(self, job_id: str, entry: int = 0, count: int = 1) -> None:
        thread = threading.Thread(target=self.submit, args=(job_id, entry, count))
        thread.start()
        self.addCleanup(thread.join)
        self.threads.append(thread)

    def count_crashes(self, task: str) -> int:
        """Returns how many targets crashed while they ran a task."""
        return sum(
            run.task == task and run.end_kind == "crashed" for run in self.fleet.runs()
        )

    def test_task_that_crashes_each_target_is_given_up_after_two(self) -> None:
        task = f"{JOB_ID}.0.0.0"
        self.set_deadly(task)
        self.submit(JOB_ID)
        self.assertEqual(self.states, {JOB_ID: "failed"}, self.fleet.log_tail())
        self.assertEqual(self.count_crashes(task), 2)

    def test_deadly_task_never_completes_when_its_crash_is_delayed(self) -> None:
        for agent in self.fleet.agents:
            agent.target.faults.crash_delay_s = 2 * agent.target.faults.run_s
        self.test_task_that_crashes_each_target_is_given_up_after_two()

    def test_crashes_are_counted_when_the_entry_that_assigned_the_task_fails(
        self,
    ) -> None:
        task = f"{JOB_ID}.0.0.0"
        self.set_deadly(task)
        self.submit_in_background(JOB_ID)
        wait_until(lambda: self.count_crashes(task) > 0, "a first crash")
        wait_until(lambda: len(self.fleet.runs_of(JOB_ID)) > 1, "a second run")
        self.fleet.entries[0].process.kill()
        self.threads[0].join()
        self.submit(JOB_ID, 1)
        self.assertEqual(self.states, {JOB_ID: "failed"}, self.fleet.log_tail())
        self.assertLessEqual(self.count_crashes(task), 3)

    def test_innocent_tasks_on_crashed_targets_complete(self) -> None:
        task = f"{JOB_ID}.0.0.0"
        self.set_deadly(task)
        for agent in self.fleet.agents:
            agent.target.faults.run_s = 0.5
        self.submit_in_background(OTHER_JOB_ID, 1, CORES_USED * AGENTS)
        wait_until(lambda: bool(self.fleet.runs_of(OTHER_JOB_ID)), "innocent runs")
        self.submit(JOB_ID)
        self.threads[0].join()
        expected = {JOB_ID: "failed", OTHER_JOB_ID: "completed"}
        self.assertEqual(self.states, expected, self.fleet.log_tail())
