"""Tests of the configuration in force at an agent and its lease."""

from __future__ import annotations

import unittest

from jackdawkeel.controllers.agent_configuration import AgentConfigurationController
from jackdawkeel.messages import AgentConfiguration
from jackdawkeel.messages import HeartbeatReply
from jackdawkeel.ticket import AvailabilityZoneModel
from jackdawkeel.ticket import AvailabilityZoneRecord
from tests.fakes import FakeClock


class AgentConfigurationTest(unittest.TestCase):
    """Tasks start only with a lease on the newest known configuration."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.configuration = AgentConfigurationController("zone-a", self.clock)

    def apply_reply(
        self, revision: int, *, sent_ago_s: float = 0.0, in_service: bool | None = None
    ) -> None:
        """Applies a reply, with a configuration if the zone's state is given."""
        change = None
        if in_service is not None:
            record = AvailabilityZoneRecord(1, AvailabilityZoneModel(in_service))
            change = AgentConfiguration(revision, {}, {"zone-a": record})
        sent_at = self.clock() - sent_ago_s
        self.configuration.apply_reply(
            HeartbeatReply(sent_at, 3000, revision, change, [], False, 0, None, [])
        )

    def test_lease_starts_when_the_heartbeat_was_sent(self) -> None:
        self.apply_reply(0, sent_ago_s=2.0)
        self.assertEqual(self.configuration.find_start_refusal(), "")
        self.clock.advance(1.1)
        self.assertIn("lease", self.configuration.find_start_refusal())
        self.apply_reply(0, sent_ago_s=3.5)
        self.assertIn("lease", self.configuration.find_start_refusal())

    def test_reply_with_another_revision_does_not_renew_the_lease(self) -> None:
        self.apply_reply(5, in_service=False)
        self.clock.advance(4.0)
        self.apply_reply(4, in_service=True)
        self.assertFalse(self.configuration.is_zone_in_service("zone-a"))
        self.assertFalse(self.configuration.has_lease())
        self.apply_reply(6)
        self.assertFalse(self.configuration.has_lease())
        self.apply_reply(6, in_service=True)
        self.assertEqual(self.configuration.find_start_refusal(), "")

    def test_lapse_is_measured_from_the_start_or_the_last_lease(self) -> None:
        self.assertEqual(self.configuration.measure_lapse_s(), 0.0)
        self.clock.advance(2.0)
        self.assertEqual(self.configuration.measure_lapse_s(), 2.0)
        self.apply_reply(0)
        self.clock.advance(4.0)
        self.assertEqual(self.configuration.measure_lapse_s(), 1.0)
