"""A short soak with fixed seeds, and what the judge must find in made-up records."""

from __future__ import annotations

import unittest

from tests.soak.callers import Attempt
from tests.soak.callers import SoakCallers
from tests.soak.callers import SoakJob
from tests.soak.faults import FAULTS
from tests.soak.faults import Disruptions
from tests.soak.faults import Window
from tests.soak.judge import Judge
from tests.soak.soak import SoakSize
from tests.soak.soak import plan_faults
from tests.soak.soak import run_soak
from tests.standins.platform_fleet import PlatformFleet
from tests.standins.platform_target import RunRecord


SECONDS = 10.0
# 17: runs that a restarted target had started were given out again.
# 22: the end of a fault killed a process that another fault had started since.
# 51: callers used connections that a former fault had silenced for good.
SEEDS = (1, 17, 22, 51)
JOB = "0" * 16


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed):
                report = run_soak(seed, SECONDS, SoakSize(), is_timed=False)
                self.assertEqual([], report.findings)
                self.assertTrue(report.jobs["completed"])


class PlanTest(unittest.TestCase):
    def test_a_seed_gives_the_same_plan(self) -> None:
        kinds = list(FAULTS)
        self.assertEqual(plan_faults(7, 60, kinds), plan_faults(7, 60, kinds))
        self.assertNotEqual(plan_faults(7, 60, kinds), plan_faults(8, 60, kinds))


class JudgeTest(unittest.TestCase):
    """The fleet of these tests is what records are read from; all of it is calm."""

    fleet: PlatformFleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(PlatformFleet(entries=1, agents=1))

    def setUp(self) -> None:
        self.runs = self.fleet.agents[0].target.runs
        self.runs.clear()
        self.callers = SoakCallers(self.fleet, 1, 1, 0.1)
        self.disruptions = Disruptions(self.fleet)
        self.judge = Judge(self.fleet, self.callers, self.disruptions, is_timed=True)

    def run_task(self, began_at: float, ended_at: float, attempt: int = 1) -> None:
        """Records a run of the job's only task."""
        task = f"{JOB}/0/0"
        self.runs.append(
            RunRecord(task, attempt, "text", 1000, began_at, ended_at, "done")
        )

    def answer(self, status: int, state: str = "") -> None:
        """Records what the job's caller was told."""
        attempt = Attempt(0, 100.0, 101.0, status, state)
        self.callers.jobs.append(SoakJob(JOB, 1, [attempt]))

    def find(self) -> str:
        """Returns the only finding."""
        self.judge.judge_records()
        self.assertEqual(1, len(self.judge.findings), self.judge.findings)
        return self.judge.findings[0]

    def test_a_job_done_once_is_no_finding(self) -> None:
        self.run_task(100.0, 100.5)
        self.answer(200, "completed")
        self.judge.judge_records()
        self.assertEqual([], self.judge.findings)

    def test_two_runs_at_once(self) -> None:
        self.run_task(100.0, 100.5)
        self.run_task(100.4, 100.9, attempt=2)
        self.assertIn("two runs at once", self.find())

    def test_a_start_after_a_refusal(self) -> None:
        self.run_task(100.0, 100.5)
        self.answer(503)
        self.assertIn("refused, but started", self.find())

    def test_a_completed_job_that_was_not_done(self) -> None:
        self.answer(200, "completed")
        self.assertIn("completed with 0 done", self.find())

    def test_a_request_without_answer_from_a_calm_entry(self) -> None:
        self.answer(0)
        self.assertIn("no answer", self.find())

    def test_a_request_without_answer_from_a_killed_entry(self) -> None:
        span = self.disruptions.begin("entry-0", "kill")
        span.began_at = 100.5
        self.answer(0)
        self.judge.judge_records()
        self.assertEqual([], self.judge.findings)

    def test_a_start_on_a_target_that_drains(self) -> None:
        self.disruptions.drains.append(Window(0, 90.0, 110.0))
        self.run_task(100.0, 100.5)
        self.assertIn("while it drained", self.find())

    def test_a_start_in_an_evacuated_zone(self) -> None:
        self.disruptions.evacuations.append(Window(0, 90.0, 110.0))
        self.run_task(100.0, 100.5)
        self.assertIn("though evacuated", self.find())

    def test_a_configuration_that_goes_back(self) -> None:
        self.judge.seen_versions["entry-0"] = (self.fleet.version + 1, 100.0)
        self.judge._judge_version(0)
        self.assertIn("version 1 after 2", self.find())
