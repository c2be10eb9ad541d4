"""Clients that connect to the address for other processes."""

from __future__ import annotations

from tests.clients.client_test_case import IDLE_CLIENTS
from tests.clients.client_test_case import ClientTestCase
from tests.standins.crowd import Crowd
from tests.standins.platform_fleet import FIRST_AGENT_HOST
from tests.standins.platform_fleet import FIRST_ENTRY_HOST
from tests.standins.process_usage import MIB
from tests.standins.processes import loopback_host


FRAMES = 30
FRAME_BYTES = 7 * MIB


class LinkTest(ClientTestCase):
    def setUp(self) -> None:
        super().setUp()
        port = self.fleet.link_port
        self.entry_link = f"{loopback_host(FIRST_ENTRY_HOST)}:{port}"
        self.agent_link = f"{loopback_host(FIRST_AGENT_HOST)}:{port}"

    def send_unfinished_frames(self, crowd: Crowd) -> None:
        """Sends all but the last byte of a frame on each connection."""
        crowd.send_once((FRAME_BYTES + 1).to_bytes(4) + b"a" * FRAME_BYTES)

    def test_idle_connections_to_an_entry(self) -> None:
        with Crowd(self.entry_link, IDLE_CLIENTS):
            self.assert_entry_serves()

    def test_idle_connections_to_an_agent(self) -> None:
        with Crowd(self.agent_link, IDLE_CLIENTS):
            self.assert_agent_serves()

    def test_unfinished_frames_to_an_entry(self) -> None:
        with Crowd(self.entry_link, FRAMES) as crowd:
            self.send_unfinished_frames(crowd)
            self.assert_entry_serves()

    def test_unfinished_frames_to_an_agent(self) -> None:
        with Crowd(self.agent_link, FRAMES) as crowd:
            self.send_unfinished_frames(crowd)
            self.assert_agent_serves()

    def test_invalid_frames_to_an_entry(self) -> None:
        frames = (3).to_bytes(4) + b"abc"
        with Crowd(self.entry_link, FRAMES) as crowd:
            crowd.send_once(frames * 10_000)
            self.assert_entry_serves()
