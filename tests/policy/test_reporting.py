"""Tests of the intervals of reports, for entries with few and with many agents."""

from __future__ import annotations

import unittest

from jackdawkeel.policy.reporting import MIN_CHANGE_INTERVAL_S
from jackdawkeel.policy.reporting import choose_change_interval_s
from jackdawkeel.policy.reporting import request_change_interval_s


FULL_INTERVAL_S = 0.2


def choose(agents: int) -> float:
    """Returns the interval of reports to an entry with a number of agents."""
    return choose_change_interval_s(request_change_interval_s(agents), FULL_INTERVAL_S)


class ReportingTest(unittest.TestCase):
    def test_changes_are_reported_at_each_tick_to_an_entry_with_few_agents(
        self,
    ) -> None:
        self.assertEqual(MIN_CHANGE_INTERVAL_S, choose(11))

    def test_one_change_is_reported_between_two_full_reports(self) -> None:
        self.assertEqual(FULL_INTERVAL_S / 2, choose(28))

    def test_changes_wait_for_full_reports_to_an_entry_with_many_agents(self) -> None:
        self.assertEqual(FULL_INTERVAL_S, choose(37))
        self.assertEqual(FULL_INTERVAL_S, choose(310))
