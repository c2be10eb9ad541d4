"""Tests of admission under shortage, with the jobs of the page on uneven load.

They guard against late jobs that are admitted without bound or take capacity from jobs
in time, and against queues that starve others.
"""

from __future__ import annotations

import unittest

from jackdawkeel.policy.sharing import LATE_RESERVE_SHARE
from jackdawkeel.policy.sharing import LATE_URGENT_S
from jackdawkeel.policy.sharing import MEMORY_S
from jackdawkeel.policy.sharing import Admission
from jackdawkeel.policy.sharing import PredictedWait
from jackdawkeel.policy.sharing import QueueLoad
from jackdawkeel.policy.sharing import decide_admission
from jackdawkeel.policy.sharing import exceeds_share
from jackdawkeel.policy.sharing import late_rate_share
from jackdawkeel.policy.sharing import may_late_job_start
from jackdawkeel.policy.waiting import OVERLOAD_S
from jackdawkeel.policy.waiting import JobTiming


BUDGET_S = 10.0


def make_timing(run_s: float = 0.4, budget_s: float = BUDGET_S) -> JobTiming:
    """Builds the timing of a job that arrives now, with the objective of the page."""
    return JobTiming(1, 0.0, run_s, 1.6 * run_s + 0.06, budget_s)


def decide(
    in_time_s: float,
    late_s: float = 100.0,
    *,
    shortage_s: float = 1.0,
    is_over_share: bool = False,
    budget_s: float = BUDGET_S,
) -> Admission:
    """Decides on a small job, whose latest start is in 0.3 s."""
    wait = PredictedWait(in_time_s, late_s, shortage_s)
    timing = make_timing(budget_s=budget_s)
    return decide_admission(timing, 0.0, wait, is_over_share=is_over_share)


class AdmissionTest(unittest.TestCase):
    def test_a_job_is_admitted_late_only_if_it_ends_within_its_limit(self) -> None:
        """The limit is 2.1 s, less the margin of 0.07 s and the run of 0.4 s."""
        self.assertIs(Admission.IN_TIME, decide(0.1))
        self.assertIs(Admission.LATE, decide(0.4, 1.6))
        self.assertIs(Admission.PREDICTED_WAIT, decide(0.4, 1.7))

    def test_no_job_is_admitted_late_without_time_beyond_its_objective(self) -> None:
        self.assertIs(Admission.PREDICTED_WAIT, decide(0.4, 0.4, budget_s=0.7))

    def test_shares_limit_admission_only_under_shortage(self) -> None:
        """A job that need not wait is never refused for the share of its queue."""
        short_s, long_s = OVERLOAD_S / 2, OVERLOAD_S
        over = Admission.OVER_SHARE
        self.assertIs(
            Admission.IN_TIME, decide(0.0, shortage_s=short_s, is_over_share=True)
        )
        self.assertIs(over, decide(0.01, shortage_s=long_s, is_over_share=True))
        self.assertIs(
            Admission.IN_TIME, decide(0.0, shortage_s=long_s, is_over_share=True)
        )

    def test_late_jobs_leave_a_reserve_until_they_would_be_refused(self) -> None:
        """None may be refused while a target has free capacity."""
        timing = make_timing()
        free_share = LATE_RESERVE_SHARE / 2
        urgent_at = timing.last_useful_start - LATE_URGENT_S
        self.assertTrue(may_late_job_start(timing, 1.0, LATE_RESERVE_SHARE))
        self.assertFalse(may_late_job_start(timing, 1.0, free_share))
        self.assertTrue(may_late_job_start(timing, urgent_at, free_share))

    def test_fewer_late_jobs_are_admitted_in_a_deeper_shortage(self) -> None:
        """They would wait without capacity, and then be refused."""
        slight, deep = QueueLoad(0, 10.0, 9.0), QueueLoad(0, 10.0, 5.0)
        self.assertGreater(late_rate_share([slight]), 3 * late_rate_share([deep]))


class SharesTest(unittest.TestCase):
    def test_only_a_queue_with_more_admitted_than_a_higher_one_is_limited(self) -> None:
        high, low = QueueLoad(0, 10.0, 7.0), QueueLoad(2, 10.0, 8.1)
        self.assertTrue(exceeds_share(low, [high, low]))
        self.assertFalse(exceeds_share(high, [high, low]))
        low.admitted_s = 7.9
        self.assertFalse(exceeds_share(low, [high, low]))

    def test_a_new_entry_limits_no_queue(self) -> None:
        low = QueueLoad(2)
        self.assertFalse(exceeds_share(low, [QueueLoad(0), low]))

    def test_queues_of_one_priority_do_not_limit_each_other(self) -> None:
        refused, served = QueueLoad(1, 10.0, 1.0), QueueLoad(1, 10.0, 10.0)
        self.assertFalse(exceeds_share(served, [refused, served]))

    def test_one_refused_job_of_a_nearly_idle_queue_limits_no_other(self) -> None:
        wide, busy = QueueLoad(0, 1.0, 0.0), QueueLoad(1, 100.0, 90.0)
        self.assertFalse(exceeds_share(busy, [wide, busy]))

    def test_refusals_are_forgotten_within_seconds(self) -> None:
        high, low = QueueLoad(0, 10.0, 0.0), QueueLoad(1, 10.0, 10.0)
        for load in (high, low):
            load.forget(3 * MEMORY_S)
        low.offered_s += 12.0
        low.admitted_s += 12.0
        self.assertFalse(exceeds_share(low, [high, low]))
