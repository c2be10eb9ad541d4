"""Tests of the roster of agents: peer lists, homes, ejection and probes."""

from __future__ import annotations

import unittest

from jackdawkeel.controllers.peer_lists import MAX_OTHER_ZONE_PEERS
from jackdawkeel.controllers.peer_lists import MAX_PEERS
from jackdawkeel.controllers.roster import REMOVAL_TIMEOUT_S
from jackdawkeel.controllers.roster import SILENCE_TIMEOUT_S
from jackdawkeel.controllers.roster import RosterController
from jackdawkeel.messages import AgentDescription
from jackdawkeel.messages import AgentLoad
from jackdawkeel.messages import Heartbeat
from tests.fakes import FakeClock
from tests.fakes import make_address
from tests.fakes import make_log


ZONES = ["zone-a", "zone-b", "zone-c"]
SERVICE = "service"


class RosterTest(unittest.TestCase):
    """Homes and peers are agents that may start tasks."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.out_of_service_zones: set[str] = set()
        self.roster = RosterController(
            "zone-a",
            self.clock,
            make_log(),
            lambda zone: zone not in self.out_of_service_zones,
        )

    def send_heartbeat(
        self, number: int, zone: str, load: AgentLoad | None = None
    ) -> str:
        """Handles a heartbeat of an agent; returns its incarnation."""
        address = make_address(f"{number:016x}", number + 1)
        agent = AgentDescription(address, "", [SERVICE], zone, "rack", 8, 64)
        heartbeat = Heartbeat(0.0, agent, 1, load or AgentLoad(), 0, False)
        self.roster.handle_heartbeat(heartbeat)
        return address.incarnation

    def list_peers(self, incarnation: str) -> list[str]:
        """Returns the updated peer list of an agent."""
        view = self.roster.agents[incarnation]
        self.roster.refresh_peers(view)
        return view.peers

    def test_peer_list_is_bounded_and_prefers_the_own_zone(self) -> None:
        cases = [(100, 20), (10, 9), (1, 0)]
        for per_zone, own_zone_count in cases:
            with self.subTest(per_zone=per_zone):
                self.setUp()
                numbers = range(3 * per_zone)
                names = [
                    self.send_heartbeat(number, ZONES[number % 3]) for number in numbers
                ]
                peers = self.list_peers(names[0])
                in_own_zone = [name for name in peers if int(name, 16) % 3 == 0]
                self.assertEqual(len(peers), min(MAX_PEERS, 3 * per_zone - 1))
                self.assertEqual(len(in_own_zone), own_zone_count)
                self.assertNotIn(names[0], peers)
                self.assertEqual(self.list_peers(names[0]), peers)

    def test_peer_that_may_not_start_is_replaced(self) -> None:
        names = [
            self.send_heartbeat(number, ZONES[number % 3]) for number in range(300)
        ]
        before = self.list_peers(names[0])
        version = self.roster.agents[names[0]].peer_list_version
        self.out_of_service_zones = {"zone-b"}
        after = self.list_peers(names[0])
        self.assertEqual(len(after), MAX_PEERS)
        self.assertTrue(all(int(name, 16) % 3 != 1 for name in after))
        kept = [name for name in before if int(name, 16) % 3 != 1]
        self.assertEqual(after[: len(kept)], kept)
        self.assertGreater(self.roster.agents[names[0]].peer_list_version, version)
        self.assertGreaterEqual(MAX_OTHER_ZONE_PEERS, len(after) - 20)

    def test_home_is_live_and_in_service(self) -> None:
        in_own_zone = self.send_heartbeat(0, "zone-a")
        in_other_zone = self.send_heartbeat(1, "zone-b")
        chosen = self.roster.choose_home(SERVICE)
        self.assertEqual(chosen and chosen.address.incarnation, in_own_zone)
        self.out_of_service_zones = {"zone-a"}
        chosen = self.roster.choose_home(SERVICE)
        self.assertEqual(chosen and chosen.address.incarnation, in_other_zone)
        self.clock.advance(SILENCE_TIMEOUT_S + 1)
        self.assertIsNone(self.roster.choose_home(SERVICE))
        self.assertFalse(self.roster.has_target(SERVICE))
        self.clock.advance(REMOVAL_TIMEOUT_S)
        self.roster.tick()
        self.assertTrue(self.roster.is_removed(in_other_zone))
        self.send_heartbeat(1, "zone-b")
        self.assertFalse(self.roster.is_removed(in_other_zone))

    def test_restarted_agent_replaces_its_predecessor(self) -> None:
        old = self.send_heartbeat(1, "zone-a")
        address = make_address("f" * 16, 2)
        agent = AgentDescription(address, "", [SERVICE], "zone-a", "rack", 8, 64)
        self.roster.handle_heartbeat(Heartbeat(0.0, agent, 1, AgentLoad(), 0, False))
        self.assertTrue(self.roster.is_removed(old))
        self.assertEqual(list(self.roster.agents), ["f" * 16])

    def test_failing_agent_is_ejected_probed_and_readmitted(self) -> None:
        for rounds in range(3):
            for number in range(3):
                failed, completed = (0, 10 * rounds) if number else (10 * rounds, 0)
                load = AgentLoad(completed=completed, failed=failed)
                self.send_heartbeat(number, "zone-a", load)
        self.roster.tick()
        bad = f"{0:016x}"
        self.assertEqual(self.roster.ejected, {bad})
        self.assertNotIn(bad, self.list_peers(f"{1:016x}"))
        self.assertIsNone(self.roster.find_probe(SERVICE, is_idempotent=True))
        for probes in range(1, 4):
            self.clock.advance(1.0)
            for number in (1, 2):
                self.send_heartbeat(number, "zone-a", AgentLoad(completed=20))
            self.send_heartbeat(0, "zone-a", AgentLoad(failed=20, completed=probes - 1))
            self.assertIsNone(self.roster.find_probe(SERVICE, is_idempotent=False))
            probe = self.roster.find_probe(SERVICE, is_idempotent=True)
            self.assertEqual(probe and probe.address.incarnation, bad)
            self.assertIsNone(self.roster.find_probe(SERVICE, is_idempotent=True))
            self.send_heartbeat(0, "zone-a", AgentLoad(failed=20, completed=probes))
        self.roster.tick()
        self.assertEqual(self.roster.ejected, set())
