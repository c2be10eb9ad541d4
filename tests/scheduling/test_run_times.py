"""Tests of run times learnt by queue and kind of target.

They guard against factors that follow outliers, false reports or a changed fleet, and
against healthy targets that are excluded because their kind is slow or data are remote.
"""

from __future__ import annotations

import json
import math
import random
import unittest
from typing import TYPE_CHECKING
from typing import Any

from jackdawkeel.messages.scheduling import TaskAssignment
from jackdawkeel.messages.scheduling import TaskStatus
from jackdawkeel.scheduling.run_quality import RunQuality
from jackdawkeel.scheduling.run_times import RunTimes
from jackdawkeel.scheduling.task_run import RunPhase
from jackdawkeel.scheduling.task_run import TaskRun
from tests.fakes import FakeClock
from tests.fakes import make_log
from tests.scheduling.speed_fleet import DEMAND
from tests.scheduling.speed_fleet import KIND_B_SLOWDOWN
from tests.scheduling.speed_fleet import REMOTE_SLOWDOWN
from tests.scheduling.speed_fleet import SpeedFleet


if TYPE_CHECKING:
    from jackdawkeel.scheduling.job import OpenAssignment


TARGETS = {"a": 38, "b": 19}
FACTOR_A = 57 / (38 + 19 * 2.4)
RUNS_PER_S = 70


class RunTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.lines: list[bytes] = []
        self.run_times = RunTimes(self.clock, make_log(self.lines))
        self.run_times.set_targets("svc", dict(TARGETS))

    def record(
        self, seconds: float, seed: int = 1, kinds: str = "aab", false_share: float = 0
    ) -> None:
        """Records runs of kind b that take 2.4 times as long as those of kind a.

        The first half of the tasks of a job run on kind a if its estimate is too long.
        """
        rng = random.Random(seed)
        siblings: dict[str, list[float]] = {}
        for number in range(round(seconds * RUNS_PER_S)):
            self.clock.advance(1 / RUNS_PER_S)
            if number % 4 == 0:
                siblings = {}
                true_ms = 100 * rng.uniform(0.8, 1.25)
                error = rng.uniform(0.6, 1.4)
                queue = rng.choice(["wide", "small"])
            kind = rng.choice(kinds)
            if number % 4 < 2 and error > 1:
                kind = kinds[0]
            run_ms = true_ms * (2.4 if kind == "b" else 1) * rng.uniform(0.85, 1.15)
            run_ms *= 7 if rng.random() < 0.03 else 1
            run_ms *= 0.01 if rng.random() < false_share else 1
            self.run_times.record("svc", queue, kind, run_ms, true_ms * error, siblings)

    def find_errors(self) -> list[float]:
        """Returns the relative errors of the factors of both kinds."""
        expected = {"a": FACTOR_A, "b": 2.4 * FACTOR_A}
        return [
            abs(self.run_times.find_factor("svc", kind) / factor - 1)
            for kind, factor in expected.items()
        ]

    def test_factors_are_learnt_in_two_seconds(self) -> None:
        for seed in range(40):
            with self.subTest(seed):
                self.setUp()
                self.record(2, seed)
                self.assertLess(max(self.find_errors()), 0.15)

    def test_false_run_times_of_some_agents_have_a_bounded_effect(self) -> None:
        self.record(60, false_share=0.05)
        self.assertLess(max(self.find_errors()), 0.15)
        for run_ms in (math.nan, math.inf, -1.0, 0.0, 1e300):
            for _ in range(1000):
                self.run_times.record("svc", "wide", "b", run_ms, 100, {"a": [0.0]})
        factor = self.run_times.find_factor("svc", "b")
        self.assertTrue(0.2 <= factor <= 5, factor)

    def test_an_unknown_kind_has_factor_1(self) -> None:
        self.assertEqual(self.run_times.find_factor("svc", "a"), 1.0)
        self.record(5)
        self.run_times.set_targets("svc", {**TARGETS, "c": 20})
        self.assertEqual(self.run_times.find_factor("svc", "c"), 1.0)
        self.assertEqual(self.run_times.find_factor("svc", ""), 1.0)
        self.assertLess(max(self.find_errors()), 0.15)

    def test_the_loss_of_a_kind_changes_no_expected_run_time(self) -> None:
        self.record(5)

        def expect() -> float:
            scaled = self.run_times.scale_estimate("svc", "wide", 100)
            return scaled * self.run_times.find_factor("svc", "b")

        before = expect()
        self.run_times.set_targets("svc", {"b": 19})
        self.assertAlmostEqual(self.run_times.find_factor("svc", "b"), 1.0)
        self.assertAlmostEqual(expect(), before)

    def test_a_service_with_one_kind_has_a_moving_average(self) -> None:
        self.run_times.set_targets("one", {"a": 5})
        for _ in range(2):
            self.run_times.record("one", "q", "a", 200, 100, {})
        self.assertAlmostEqual(self.run_times.scale_estimate("one", "q", 100), 119)
        self.assertEqual(self.run_times.find_factor("one", "a"), 1.0)

    def test_changed_factors_are_logged_at_most_once_a_second_and_kind(self) -> None:
        self.record(3)
        lines = [json.loads(line) for line in self.lines if line.strip()]
        for kind in TARGETS:
            of_kind = [line for line in lines if line["kind"] == kind]
            self.assertTrue(1 <= len(of_kind) <= 3, of_kind)
            self.assertEqual(of_kind[0]["previous"], 1.0)


class LongTaskTest(unittest.TestCase):
    def test_one_long_task_among_good_ones_makes_no_target_slow(self) -> None:
        for long_ends, others_end in ((False, True), (False, False), (True, True)):
            with self.subTest(long_ends=long_ends, others_end=others_end):
                quality = RunQuality()
                quality.listed_at = 0.2
                runs = []
                for number, run_s in enumerate((1.75, 0.25, 0.28, 0.22)):
                    assignment = TaskAssignment(number, "", 1, DEMAND, 0, 250, True)
                    run = TaskRun(None, assignment, "", "", 0, "", 0.0)  # type: ignore[arg-type]
                    run.phase = RunPhase.RUNNING
                    run.last_progress_at = 0.2
                    run.percent = 100 * 0.2 / run_s
                    if long_ends if number == 0 else others_end:
                        quality.record_end(run, TaskStatus.DONE, 1000 * run_s, 0.2)
                    else:
                        runs.append(run)
                quality.refresh(0.2, runs)
                self.assertLess(quality.slowness, 2.0)
                self.assertFalse(any(quality.should_move(run) for run in runs))


class SpeedFleetTest(unittest.TestCase):
    def make_fleet(self, seed: int, **options: Any) -> SpeedFleet:
        """Returns a fleet that is closed after the test."""
        fleet = SpeedFleet(seed, **options)
        self.addCleanup(fleet.loop.close)
        return fleet

    def test_on_a_calm_minute_few_runs_are_moved_or_kept_off_a_target(self) -> None:
        fleet = self.make_fleet(2)
        fleet.run(60)
        excluded = sum(fleet.excluded.values()) / (60 * len(fleet.agents))
        self.assertLess(fleet.moved / fleet.ended + excluded, 0.01)
        find_factor = fleet.views.run_times.find_factor
        ratio = find_factor("svc", "b") / find_factor("svc", "a")
        self.assertAlmostEqual(ratio, KIND_B_SLOWDOWN, delta=0.3)

    def test_only_a_target_that_becomes_slower_than_its_kind_is_excluded(self) -> None:
        for index in (3, 4):
            with self.subTest(index):
                fleet = self.make_fleet(1)
                fleet.run(6)
                slow = list(fleet.agents.values())[index]
                slow.slowdown *= 5
                before = sum(fleet.excluded.values())
                fleet.run(6)
                slow_s = fleet.excluded[slow.address.incarnation]
                self.assertGreater(slow_s, 4)
                self.assertLess(sum(fleet.excluded.values()) - before - slow_s, 1)

    def test_an_assignment_states_the_run_time_on_the_chosen_target(self) -> None:
        """Otherwise its agent takes kind and distance for a fault of the target."""
        fleet = self.make_fleet(5, racks=(2,), load=0.9)
        fleet.run(10)
        fleet.views.run_times.record = lambda *_: None  # type: ignore[method-assign]
        stopped_at = fleet.clock()
        checked = set()
        for _ in range(100):
            fleet.run(0.1)
            for assignment in fleet.scheduler.assignments.open.by_number.values():
                if assignment.sent_at > stopped_at:
                    checked.add(self.check_expected_time(fleet, assignment))
        self.assertEqual(len(checked), 4)

    def check_expected_time(
        self, fleet: SpeedFleet, assignment: OpenAssignment
    ) -> tuple[str, bool]:
        """Checks an assignment; returns its kind of target and whether it is remote."""
        agent = fleet.agents[assignment.agent]
        step = assignment.job.spec.steps[0]
        is_remote = step.preferred_rack not in ("", agent.labels[1])
        run_times = fleet.views.run_times
        queue = assignment.job.queue.name
        expected_s = run_times.scale_estimate("svc", queue, step.estimate_ms / 1000)
        expected_s *= run_times.find_factor("svc", agent.labels[0])
        expected_s *= REMOTE_SLOWDOWN if is_remote else 1.0
        self.assertAlmostEqual(assignment.expected_s, expected_s)
        run, _ = agent.runs[assignment.number]
        sent_s = run.assignment.expected_ms / 1000
        self.assertAlmostEqual(sent_s, assignment.expected_s, delta=0.001)
        return agent.labels[0], is_remote

    def test_runs_far_from_their_data_make_no_target_slow(self) -> None:
        """Only rack 2 has data, and objectives are long enough for remote runs."""
        fleet = self.make_fleet(3, racks=(2,), load=0.7, stretch_factor=10.0)
        fleet.run(40)
        self.assertGreater(fleet.remote, 100)
        excluded = sum(fleet.excluded.values()) / (40 * len(fleet.agents))
        self.assertLess(fleet.moved / fleet.ended + excluded, 0.01)
