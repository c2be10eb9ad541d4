"""Tests of the configuration and its lease at an agent."""

from __future__ import annotations

import unittest

from jackdawkeel.controllers.agent_configuration import AgentConfigurationController
from jackdawkeel.messages import AgentConfiguration
from jackdawkeel.messages import HeartbeatReply
from jackdawkeel.ticket import AvailabilityZoneModel
from jackdawkeel.ticket import AvailabilityZoneRecord
from tests.fakes import FakeClock


class AgentConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.configuration = AgentConfigurationController("zone-a", self.clock)

    def reply(
        self, revision: int, *, sent_ago_s: float = 0.0, in_service: bool | None = None
    ) -> None:
        """Takes a reply; it carries a configuration if the zone's state is given."""
        change = None
        if in_service is not None:
            record = AvailabilityZoneRecord(1, AvailabilityZoneModel(in_service))
            change = AgentConfiguration(revision, {}, {"zone-a": record})
        sent_at = self.clock() - sent_ago_s
        self.configuration.apply_reply(
            HeartbeatReply(sent_at, 3000, revision, change, [], False, 0, None, [])
        )

    def test_lease_counts_from_the_sending_of_the_heartbeat(self) -> None:
        self.reply(0, sent_ago_s=2.0)
        self.assertEqual(self.configuration.find_start_refusal(), "")
        self.clock.advance(1.1)
        self.assertIn("lease", self.configuration.find_start_refusal())
        self.reply(0, sent_ago_s=3.5)
        self.assertIn("lease", self.configuration.find_start_refusal())

    def test_a_lower_revision_neither_applies_nor_renews(self) -> None:
        self.reply(5, in_service=False)
        self.clock.advance(4.0)
        self.reply(4, in_service=True)
        self.assertFalse(self.configuration.is_zone_in_service("zone-a"))
        self.assertFalse(self.configuration.has_lease())
        self.reply(6)
        self.assertFalse(self.configuration.has_lease())
        self.reply(6, in_service=True)
        self.assertEqual(self.configuration.find_start_refusal(), "")

    def test_lapse_counts_from_the_start_at_the_earliest(self) -> None:
        self.assertEqual(self.configuration.measure_lapse_s(), 0.0)
        self.clock.advance(2.0)
        self.assertEqual(self.configuration.measure_lapse_s(), 2.0)
        self.reply(0)
        self.clock.advance(4.0)
        self.assertEqual(self.configuration.measure_lapse_s(), 1.0)
