"""Tests of the workload generator and the figures of the load benchmark."""

from __future__ import annotations

import unittest

from bench.callers import Call
from bench.measures import TimeWindow
from bench.measures import compute_response_ratios
from bench.measures import compute_slot_utilisation
from bench.measures import count_repeated_starts
from bench.measures import count_started_refusals
from bench.workload import JobArrival
from bench.workload import WorkloadShape
from bench.workload import generate_jobs
from bench.workload import ideal_duration_s
from bench.workload import mean_run_s

from tests.standins.target import TaskStart


def make_call(job_id: str, run_s: list[float], *, idempotent: bool = False) -> Call:
    """Returns the call of a job that is due at time 0."""
    return Call(JobArrival(0.0, run_s, idempotent), 0.0, job_id=job_id)


class WorkloadTest(unittest.TestCase):
    def test_ideal_duration_assigns_tasks_to_next_free_slot(self) -> None:
        cases = [([2.0], 8, 2.0), ([1.0, 2.0], 1, 3.0), ([3.0, 1.0, 1.0, 1.0], 2, 3.0)]
        for run_s, slots, expected in cases:
            with self.subTest(run_s=run_s):
                self.assertEqual(ideal_duration_s(run_s, slots), expected)

    def test_arrivals_are_reproducible_and_match_the_offered_load(self) -> None:
        shape = WorkloadShape(slots=80, load=0.7, duration_s=2000.0, seed=3)
        jobs = generate_jobs(shape)
        self.assertEqual(jobs, generate_jobs(shape))
        offered = sum(sum(job.run_s) for job in jobs) / (80 * 2000.0)
        self.assertAlmostEqual(offered, 0.7, delta=0.07)
        self.assertAlmostEqual(mean_run_s(), 0.43, delta=0.01)


class MeasuresTest(unittest.TestCase):
    def test_response_ratios_include_only_done_answers(self) -> None:
        done = make_call("a", [1.0])
        done.outcome, done.response_s = "done", 1.5
        refused = make_call("b", [1.0])
        refused.outcome, refused.response_s = "not_run", 0.01
        ratios = compute_response_ratios([done, refused], 8)
        self.assertEqual(ratios.count, 1)
        self.assertAlmostEqual(ratios.p50, 1.5, delta=0.01)

    def test_slot_utilisation_counts_only_run_time_within_window(self) -> None:
        calls = [make_call("a", [4.0, 1.0])]
        starts = [
            TaskStart("a/0", "s", 8.0, 1),
            TaskStart("a/1", "s", 11.0, 1),
            TaskStart("other/0", "s", 11.0, 1),
        ]
        share = compute_slot_utilisation(starts, calls, TimeWindow(10.0, 20.0), slots=1)
        self.assertAlmostEqual(share, 0.3)

    def test_repeated_starts_and_started_refusals_are_counted(self) -> None:
        once, twice = make_call("a", [1.0]), make_call("b", [1.0], idempotent=True)
        refused = make_call("c", [1.0])
        refused.outcome = "not_run"
        ids = ["a/0", "a/0", "b/0", "b/0", "c/0"]
        starts = [TaskStart(task_id, "s", 0.0, 1) for task_id in ids]
        calls = [once, twice, refused]
        self.assertEqual(count_repeated_starts(starts, calls), 1)
        self.assertEqual(count_started_refusals(starts, calls), 1)
