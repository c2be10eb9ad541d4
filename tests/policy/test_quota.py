"""Tests of quotas shared between entries."""

from __future__ import annotations

import unittest

from jackdawkeel.policy.quota import MAX_RETRY_AFTER_MS
from jackdawkeel.policy.quota import QuotaState
from jackdawkeel.policy.quota import own_demand
from jackdawkeel.policy.quota import quota_share
from jackdawkeel.policy.quota import record_entry_demand
from jackdawkeel.policy.quota import remove_entry
from jackdawkeel.policy.quota import request_starts


class RequestStartsTest(unittest.TestCase):
    def test_first_request_is_granted_unless_the_quota_is_zero(self) -> None:
        cases = [
            ("no quota", None, 240, None),
            ("within", 100.0, 100, None),
            ("job larger than the bucket", 100.0, 240, None),
            ("no starts allowed", 0.0, 1, MAX_RETRY_AFTER_MS),
            ("slow quota admits one", 0.5, 1, None),
        ]
        for name, quota, count, expected in cases:
            with self.subTest(name):
                state = QuotaState()
                self.assertEqual(request_starts(state, "t", quota, count, 5), expected)

    def test_request_is_granted_after_the_retry_delay_and_not_before(self) -> None:
        for count in (1, 30, 100, 240):
            with self.subTest(count=count):
                state = QuotaState()
                self.assertIsNone(request_starts(state, "t", 100.0, 240, 0.0))
                wait_ms = request_starts(state, "t", 100.0, count, 0.0)
                assert wait_ms is not None
                early = (wait_ms - 20) / 1000
                self.assertIsNotNone(request_starts(state, "t", 100.0, count, early))
                self.assertIsNone(
                    request_starts(state, "t", 100.0, count, wait_ms / 1000)
                )

    def test_granted_starts_follow_the_quota(self) -> None:
        state = QuotaState()
        granted = 0
        for step in range(10_000):
            if request_starts(state, "t", 50.0, 7, step / 100) is None:
                granted += 7
        self.assertAlmostEqual(granted / 100, 50, delta=1)

    def test_teams_do_not_share_a_bucket(self) -> None:
        state = QuotaState()
        request_starts(state, "t", 10.0, 240, 0.0)
        self.assertIsNone(request_starts(state, "u", 10.0, 5, 0.0))


class QuotaShareTest(unittest.TestCase):
    def test_a_single_entry_has_the_whole_quota(self) -> None:
        self.assertEqual(quota_share(QuotaState(), "t", 0), 1)

    def test_quota_is_shared_evenly_without_demand(self) -> None:
        state = QuotaState()
        record_entry_demand(state, "b", {})
        self.assertEqual(quota_share(state, "t", 0), 0.5)
        remove_entry(state, "b")
        self.assertEqual(quota_share(state, "t", 0), 1)

    def test_shares_follow_demand_and_add_up(self) -> None:
        states = {name: QuotaState() for name in ("a", "b", "c")}
        for name, count in (("a", 30), ("b", 10), ("c", 0)):
            if count:
                request_starts(states[name], "t", None, count, 0.0)
        demands = {name: own_demand(state, 0.0) for name, state in states.items()}
        for name, state in states.items():
            for other, demand in demands.items():
                if other != name:
                    record_entry_demand(state, other, demand)
        shares = [quota_share(state, "t", 0.0) for state in states.values()]
        self.assertAlmostEqual(sum(shares), 1)
        self.assertAlmostEqual(shares[0] - shares[2], 3 * (shares[1] - shares[2]))
        self.assertGreater(shares[2], 0)

    def test_demand_decays_over_time(self) -> None:
        state = QuotaState()
        request_starts(state, "t", None, 100, 0.0)
        self.assertLess(own_demand(state, 60.0)["t"], 0.001)
