"""Tests of the order of waiting jobs and of refusals, also under simulated load."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass
from dataclasses import replace

from jackdawkeel.policy.waiting import MAX_RETRY_DELAY_S
from jackdawkeel.policy.waiting import MIN_RETRY_DELAY_S
from jackdawkeel.policy.waiting import OVERLOAD_S
from jackdawkeel.policy.waiting import JobTiming
from jackdawkeel.policy.waiting import choose_retry_delay_s
from jackdawkeel.policy.waiting import predict_wait_s
from jackdawkeel.policy.waiting import rank_job
from jackdawkeel.policy.waiting import would_end_too_late
from jackdawkeel.policy.waiting import would_wait_too_long


def make_timing(
    priority: int = 0, arrived_at: float = 0.0, run_s: float = 0.1
) -> JobTiming:
    """Builds the timing of a job whose objective is 1.6 run times plus 60 ms."""
    objective_s = 1.6 * run_s + 0.06
    return JobTiming(priority, arrived_at, run_s, objective_s, arrived_at + 10)


@dataclass(eq=False)
class SimulatedJob:
    """A job of a few tasks in the simulated load."""

    timing: JobTiming
    ready: int
    running: int = 0
    has_begun: bool = False
    ended_at: float = 0.0
    is_refused: bool = False


def simulate_burst(
    slots: int, tasks: int, jobs_per_s: float, seconds: float
) -> list[SimulatedJob]:
    """Simulates more jobs than the slots can run, in steps of a millisecond."""
    rng = random.Random(7)
    jobs: list[SimulatedJob] = []
    running: list[tuple[float, SimulatedJob]] = []
    for step in range(round(2 * seconds * 1000)):
        now = step / 1000
        if now < seconds and rng.random() < jobs_per_s / 1000:
            jobs.append(SimulatedJob(make_timing(arrived_at=now), tasks))
        for end in [item for item in running if item[0] <= now]:
            running.remove(end)
            end[1].running -= 1
            if not end[1].running and not end[1].ready:
                end[1].ended_at = now
        waiting = [job for job in jobs if job.ready and not job.is_refused]
        waiting.sort(key=lambda job: rank_job(job.timing, now, has_begun=job.has_begun))
        for job in waiting:
            if not job.has_begun and would_end_too_late(job.timing, now, 0.0):
                job.is_refused = True
                continue
            while job.ready and len(running) < slots:
                job.ready -= 1
                job.running += 1
                job.has_begun = True
                running.append((now + job.timing.expected_s, job))
    return jobs


class WaitingTest(unittest.TestCase):
    def test_priority_decides_among_jobs_in_time(self) -> None:
        urgent, other = make_timing(0, 0.01), make_timing(1, 0.0)
        self.assertLess(
            rank_job(urgent, 0.02, has_begun=False),
            rank_job(other, 0.02, has_begun=False),
        )

    def test_a_job_in_time_ranks_before_a_late_one(self) -> None:
        late, in_time = make_timing(0, 0.0), make_timing(2, 0.95)
        self.assertLess(
            rank_job(in_time, 1.0, has_begun=False),
            rank_job(late, 1.0, has_begun=False),
        )

    def test_a_late_job_that_has_begun_ranks_first(self) -> None:
        late, in_time = make_timing(0, 0.0), make_timing(0, 0.95)
        self.assertLess(
            rank_job(late, 1.0, has_begun=True), rank_job(in_time, 1.0, has_begun=False)
        )

    def test_a_job_that_would_end_after_three_objectives_is_too_late(self) -> None:
        """The limit is 0.66 s, less the margin of 0.022 s and the run of 0.1 s."""
        timing = make_timing(run_s=0.1)
        self.assertFalse(would_end_too_late(timing, 0.0, 0.53))
        self.assertTrue(would_end_too_late(timing, 0.0, 0.55))
        self.assertTrue(would_end_too_late(timing, 0.55, 0.0))

    def test_a_time_budget_without_time_for_late_answers_ends_the_wait(self) -> None:
        """A margin must not refuse a job that ends in time by a short budget."""
        timing = replace(make_timing(run_s=0.1), deadline_at=0.2)
        self.assertFalse(would_end_too_late(timing, 0.0, 0.09))
        self.assertTrue(would_end_too_late(timing, 0.0, 0.11))

    def test_a_late_job_that_has_begun_late_ranks_after_jobs_in_time(self) -> None:
        """Until its work would be lost to a steady load of others."""
        late = make_timing(0, 0.0)
        in_time = make_timing(2, late.last_useful_start - 0.05)
        for now, is_late_last in (
            (late.last_useful_start - 0.01, True),
            (late.last_useful_start, False),
        ):
            with self.subTest(is_late_last=is_late_last):
                ranks = [
                    rank_job(in_time, now, has_begun=False),
                    rank_job(late, now, has_begun=True, is_late=True),
                ]
                self.assertEqual(ranks == sorted(ranks), is_late_last)

    def test_late_jobs_are_served_by_the_end_of_their_useful_time(self) -> None:
        """A job that can wait would otherwise let one that can't be refused."""
        soon, later = make_timing(2, 0.0), make_timing(0, 0.1)
        self.assertLess(
            rank_job(soon, 0.3, has_begun=False, is_late=True),
            rank_job(later, 0.3, has_begun=False, is_late=True),
        )

    def test_retry_delays_are_spread_and_bounded(self) -> None:
        rng = random.Random(1)
        delays = [choose_retry_delay_s(3.0, rng) for _ in range(100)]
        self.assertGreater(len({round(delay, 1) for delay in delays}), 15)
        self.assertTrue(
            all(MIN_RETRY_DELAY_S <= delay <= MAX_RETRY_DELAY_S for delay in delays)
        )

    def test_under_a_burst_begun_jobs_end_soon_after_their_objective(self) -> None:
        jobs = simulate_burst(slots=10, tasks=4, jobs_per_s=40, seconds=4)
        begun = [job for job in jobs if job.has_begun]
        latencies = [job.ended_at - job.timing.arrived_at for job in begun]
        objective_s = make_timing().objective_s
        self.assertTrue(all(job.ended_at for job in begun))
        self.assertLess(max(latencies), 3 * objective_s)
        in_time = sum(latency_s <= 1.5 * objective_s for latency_s in latencies)
        self.assertGreater(in_time / len(latencies), 0.9)

    def test_under_a_burst_only_jobs_that_have_not_begun_are_refused(self) -> None:
        jobs = simulate_burst(slots=10, tasks=4, jobs_per_s=40, seconds=4)
        refused = [job for job in jobs if job.is_refused]
        self.assertTrue(refused)
        self.assertFalse(any(job.has_begun for job in refused))


class LimitedWaitTest(unittest.TestCase):
    """Refusal of new jobs by their predicted wait, in bursts beyond the targets."""

    def test_free_capacity_for_all_waiting_work_means_no_wait(self) -> None:
        wait_s = predict_wait_s(
            needed_cores=20.0, free_cores=20.0, freed_cores_per_s=10.0
        )
        self.assertEqual(0.0, wait_s)

    def test_the_wait_is_the_time_until_enough_capacity_is_freed(self) -> None:
        wait_s = predict_wait_s(
            needed_cores=30.0, free_cores=10.0, freed_cores_per_s=100.0
        )
        self.assertAlmostEqual(0.2, wait_s)

    def test_a_longer_wait_is_left_to_jobs_before_an_overload(self) -> None:
        timing = make_timing(run_s=1.0)
        self.assertAlmostEqual(0.66, timing.latest_start)
        for wait_s, shortage_s, expected in (
            (0.6, 0.0, False),
            (0.7, 0.0, True),
            (0.3, OVERLOAD_S, False),
            (0.4, OVERLOAD_S, True),
        ):
            with self.subTest(wait_s=wait_s, shortage_s=shortage_s):
                refused = would_wait_too_long(timing, 0.0, wait_s, shortage_s)
                self.assertEqual(expected, refused)
