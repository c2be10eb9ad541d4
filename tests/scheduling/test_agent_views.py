"""Tests of what an entry derives from the reports of its agents.

They guard against cached suspects that outlast one tick, or that exclude more targets
than allowed after some agents have been lost.
"""

from __future__ import annotations

import unittest

from jackdawkeel.messages.scheduling import AgentReport
from jackdawkeel.messages.scheduling import TargetView
from jackdawkeel.scheduling.agent_views import SUMMARY_AGE_S
from jackdawkeel.scheduling.agent_views import AgentViews
from jackdawkeel.scheduling.resources import Resources
from tests.fakes import FakeClock
from tests.fakes import Outbox
from tests.fakes import make_address
from tests.fakes import make_log


CAPACITY = Resources(4000, 4096)


class AgentViewsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.views = AgentViews("zone-a", self.clock, make_log(), Outbox().redial)
        for name in "abcd":
            self.report(name, 1.0)

    def report(self, name: str, slowness: float) -> None:
        """Delivers a report of an agent."""
        target = TargetView("node", "svc", "zone-a", ["k", "rack"], CAPACITY, True)
        report = AgentReport(
            self.clock(), target, CAPACITY, 0, [], False, [], slowness, 9, 0
        )
        self.views.record_report(make_address(name, ord(name)), report)

    def usable(self) -> str:
        """Returns the agents that are not excluded."""
        capacities = self.views.target_capacities("svc", frozenset())
        return "".join(target.name for target in capacities)

    def test_suspects_and_median_are_at_most_one_tick_old(self) -> None:
        self.assertEqual(self.usable(), "abcd")
        self.assertEqual(self.views.median_slowness(), 1.0)
        self.report("a", 9.0)
        self.report("b", 2.0)
        self.report("c", 2.0)
        self.clock.advance(SUMMARY_AGE_S)
        self.assertEqual(self.usable(), "bcd")
        self.assertEqual(self.views.median_slowness(), 2.0)

    def test_suspects_are_chosen_again_when_agents_are_lost(self) -> None:
        self.report("a", 9.0)
        self.assertEqual(self.usable(), "bcd")
        for name in "bc":
            self.views.remove(name)
        self.assertEqual(self.usable(), "ad")
