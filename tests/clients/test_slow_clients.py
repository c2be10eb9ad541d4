"""Clients that begin a message, or don't take an answer, and keep the connection."""

from __future__ import annotations

import threading

from tests.clients.client_test_case import IDLE_CLIENTS
from tests.clients.client_test_case import SLOW_CLIENTS
from tests.clients.client_test_case import STREAMING_CLIENTS
from tests.clients.client_test_case import ClientTestCase
from tests.standins.crowd import Crowd
from tests.standins.crowd import Stream


HEAD = b"GET /unknown HTTP/1.1\r\nHost: queue.example\r\nX-Slow: "
TRICKLE_INTERVAL_S = 1.0
UNREAD_ANSWERS = 2000


class Trickle:
    """Sends a byte on each connection of a crowd at intervals until the context exits.

    Without it, a server's time-out for the next byte would end the connections.
    """

    def __init__(self, crowd: Crowd) -> None:
        self.crowd = crowd
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def __enter__(self) -> None:
        self.crowd.send_once(HEAD)
        self.thread.start()

    def __exit__(self, *_: object) -> None:
        self.ended.set()
        self.thread.join()

    def run(self) -> None:
        """Sends until the end is set."""
        while not self.ended.wait(TRICKLE_INTERVAL_S):
            self.crowd.send_once(b"a")


class SlowClientTest(ClientTestCase):
    def test_callers_that_send_a_byte_at_a_time(self) -> None:
        with Crowd(self.callers, SLOW_CLIENTS) as crowd, Trickle(crowd):
            self.assert_entry_serves()

    def test_slow_clients_of_the_readiness_address(self) -> None:
        with Crowd(self.readiness, STREAMING_CLIENTS) as crowd, Trickle(crowd):
            self.assert_entry_serves()

    def test_slow_clients_of_the_metrics_address(self) -> None:
        with Crowd(self.metrics, STREAMING_CLIENTS) as crowd, Trickle(crowd):
            url = f"http://{self.metrics}/metrics"
            self.assertEqual(200, self.http.request("GET", url).status)
            self.assert_entry_serves()

    def test_slow_clients_of_an_agent(self) -> None:
        with Crowd(self.agent.heartbeats, STREAMING_CLIENTS) as crowd, Trickle(crowd):
            self.assert_agent_serves()

    def test_callers_that_take_no_answers(self) -> None:
        request = b"GET /metrics HTTP/1.1\r\nHost: queue.example\r\n\r\n"
        stream = Stream(request, lambda _: request, UNREAD_ANSWERS * len(request))
        with Crowd(self.metrics, STREAMING_CLIENTS) as crowd:
            crowd.send(stream)
            url = f"http://{self.metrics}/metrics"
            self.assertEqual(200, self.http.request("GET", url).status)
            self.assert_entry_serves()


class IdleClientTest(ClientTestCase):
    def test_idle_callers(self) -> None:
        with Crowd(self.callers, IDLE_CLIENTS):
            self.assert_entry_serves()

    def test_idle_clients_of_the_readiness_address(self) -> None:
        with Crowd(self.readiness, IDLE_CLIENTS):
            self.assert_entry_serves()

    def test_idle_clients_of_the_metrics_address(self) -> None:
        with Crowd(self.metrics, IDLE_CLIENTS):
            self.assert_entry_serves()

    def test_idle_clients_of_an_agent(self) -> None:
        with Crowd(self.agent.heartbeats, IDLE_CLIENTS):
            self.assert_agent_serves()

    def test_idle_clients_of_all_addresses(self) -> None:
        with (
            Crowd(self.callers, IDLE_CLIENTS),
            Crowd(self.readiness, IDLE_CLIENTS),
            Crowd(self.metrics, IDLE_CLIENTS),
        ):
            self.assert_entry_serves()
