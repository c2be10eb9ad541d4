"""Tracks the configuration in force at an agent and the lease on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages import AgentConfiguration


if TYPE_CHECKING:
    from ..clock import Clock
    from ..messages import HeartbeatReply


class AgentConfigurationController:
    """Decides whether a task may start at this agent.

    An agent starts tasks only while it holds a lease on the configuration.

    Attributes:
        configuration: The newest configuration received from an entry.
        lease_until: End of the lease, in seconds of the clock.
        started_at: When the process started, in seconds of the clock.
        leaving: Whether the agent accepts no new work.
    """

    def __init__(self, availability_zone: str, clock: Clock) -> None:
        self.availability_zone = availability_zone
        self.clock = clock
        self.configuration = AgentConfiguration(0, {}, {})
        self.lease_until = 0.0
        self.started_at = clock()
        self.leaving = False

    def apply_reply(self, reply: HeartbeatReply) -> bool:
        """Applies an entry's reply; returns whether the configuration changed.

        The lease starts when the heartbeat was sent. A reply for a revision other
        than the one in force does not renew the lease.
        """
        changed = self._apply_configuration(reply.configuration)
        if reply.revision != self.configuration.revision:
            return changed
        if reply.lease_ms > 0:
            until = reply.sent_at + reply.lease_ms / 1000
            self.lease_until = max(self.lease_until, until)
        return changed

    def has_lease(self) -> bool:
        """Returns whether the lease on the configuration is valid."""
        return self.clock() < self.lease_until

    def measure_lapse_s(self) -> float:
        """Returns the time without a lease in seconds, 0 while there is one.

        The time counts from the start of the process at the earliest.
        """
        return max(0.0, self.clock() - max(self.lease_until, self.started_at))

    def is_zone_in_service(self, availability_zone: str) -> bool:
        """Returns whether the availability zone is in service, which is the default."""
        record = self.configuration.availability_zones.get(availability_zone)
        return record is None or record.state.in_service

    def find_start_refusal(self) -> str:
        """Returns why no task may start at this agent, or "" if tasks may start."""
        if self.leaving:
            return "the agent is leaving"
        if not self.has_lease():
            return "the configuration lease has lapsed"
        if not self.is_zone_in_service(self.availability_zone):
            return "the availability zone is out of service"
        return ""

    def _apply_configuration(self, configuration: AgentConfiguration | None) -> bool:
        if configuration is None:
            return False
        if configuration.revision <= self.configuration.revision:
            return False
        self.configuration = configuration
        return True
