"""Tests of refusal at admission."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jackdawkeel.errors import ErrorKind
from jackdawkeel.policy.admission_estimate import ServiceLoad
from jackdawkeel.policy.admission_estimate import expected_wait_ms
from jackdawkeel.policy.admission_estimate import find_refusal
from jackdawkeel.policy.run_time import RunTime


LEARNED = RunTime(samples=100, mean_ms=400, high_ms=900, low_ms=60)
IDLE = ServiceLoad(slots=80, running=0, waiting=0, run_time=LEARNED)
FULL = replace(IDLE, running=80)
BUSY = replace(FULL, waiting=479)


class FindRefusalTest(unittest.TestCase):
    def test_refuses_jobs_that_wait_too_long_or_miss_their_deadline(self) -> None:
        unlearned = replace(BUSY, run_time=RunTime())
        cases: list[tuple[str, ServiceLoad, int, int, int | None, object]] = [
            ("idle", IDLE, 1, 1000, None, None),
            ("full, no queue", FULL, 1, 1000, None, None),
            ("no slots", replace(IDLE, slots=0), 1, 1000, None, ErrorKind.NO_TARGET),
            ("never in time", IDLE, 1, 50, None, ErrorKind.DEADLINE_TOO_SHORT),
            ("large, never", IDLE, 240, 1100, None, ErrorKind.DEADLINE_TOO_SHORT),
            ("large, in time", IDLE, 240, 1300, None, None),
            ("long queue", BUSY, 1, 60_000, None, ErrorKind.OVERLOADED),
            ("longer wait allowed", BUSY, 1, 60_000, 3000, None),
            ("not in time now", BUSY, 1, 2000, 3000, ErrorKind.OVERLOADED),
            ("nothing learned", unlearned, 1, 10, None, None),
        ]
        for name, load, tasks, deadline_ms, max_wait_ms, expected in cases:
            with self.subTest(name):
                refusal = find_refusal(load, tasks, deadline_ms, max_wait_ms)
                self.assertEqual(refusal and refusal.kind, expected)

    def test_expected_wait_grows_with_the_queue(self) -> None:
        cases = [(0, 0, 0), (79, 0, 0), (80, 0, 5), (80, 79, 400), (0, 80, 5)]
        for running, waiting, expected_ms in cases:
            with self.subTest(running=running, waiting=waiting):
                load = replace(IDLE, running=running, waiting=waiting)
                self.assertEqual(expected_wait_ms(load), expected_ms)

    def test_retry_after_is_the_time_until_the_queue_has_drained(self) -> None:
        refusal = find_refusal(BUSY, 1, 60_000, None)
        assert refusal is not None
        assert refusal.retry_after_ms is not None
        drained = round(refusal.retry_after_ms / 1000 * 80 / 0.4)
        later = replace(BUSY, waiting=BUSY.waiting - drained)
        self.assertIsNone(find_refusal(later, 1, 60_000, None))
        before = replace(BUSY, waiting=BUSY.waiting - drained + 5)
        self.assertIsNotNone(find_refusal(before, 1, 60_000, None))
