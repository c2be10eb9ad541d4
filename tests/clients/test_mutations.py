"""Mutations of valid requests, with fixed seeds."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING

from tests.clients.client_test_case import JOB
from tests.clients.client_test_case import ClientTestCase
from tests.standins.crowd import Crowd


if TYPE_CHECKING:
    from collections.abc import Callable


ROUNDS = 10
CLIENTS = 40
MAX_MUTATIONS = 4
FRAGMENTS = (
    b"\r\n",
    b"\n",
    b"\r",
    b"\0",
    b":",
    b" ",
    b"\t",
    b"0\r\n\r\n",
    b"-1",
    b"0x",
    b"%00",
    b"//[",
    b"\xff",
    b"9" * 40,
    b"a" * 5000,
    b"[" * 2000,
    b"Content-Length: 3\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Expect: 100-continue\r\n",
    b"Connection: keep-alive\r\n",
    b"HTTP/1.0",
)


def insert(rng: random.Random, data: bytes) -> bytes:
    """Inserts a fragment."""
    place = rng.randrange(len(data))
    return data[:place] + rng.choice(FRAGMENTS) + data[place:]


def remove(rng: random.Random, data: bytes) -> bytes:
    """Removes some bytes."""
    place = rng.randrange(len(data))
    return data[:place] + data[place + rng.randrange(1, 20) :]


def replace(rng: random.Random, data: bytes) -> bytes:
    """Replaces a byte."""
    place = rng.randrange(len(data))
    return data[:place] + rng.randbytes(1) + data[place + 1 :]


def repeat(rng: random.Random, data: bytes) -> bytes:
    """Repeats some bytes."""
    place = rng.randrange(len(data))
    piece = data[place : place + rng.randrange(1, 50)]
    return data[:place] + piece * rng.randrange(2, 200) + data[place:]


MUTATIONS: tuple[Callable[[random.Random, bytes], bytes], ...] = (
    insert,
    remove,
    replace,
    repeat,
)


def mutate(rng: random.Random, data: bytes) -> bytes:
    """Returns a request with a few mutations, and sometimes a valid one behind it."""
    mutated = data
    for _ in range(rng.randrange(1, MAX_MUTATIONS + 1)):
        mutated = rng.choice(MUTATIONS)(rng, mutated) or data
    return mutated + data * rng.randrange(2)


class MutationTest(ClientTestCase):
    def make_chunked_request(self) -> bytes:
        """Returns a chunked submission with an extension and a trailer."""
        body = json.dumps(JOB).encode()
        head = self.make_job_head("Transfer-Encoding: chunked\r\n")
        return head + b"%x;a=b\r\n%b\r\n0\r\nX-T: 1\r\n\r\n" % (len(body), body)

    def send_mutations(self, seed: int, address: str, requests: list[bytes]) -> None:
        """Sends mutations of some requests in rounds."""
        rng = random.Random(seed)
        for _ in range(ROUNDS):
            with Crowd(address, CLIENTS) as crowd:
                crowd.send_each(
                    mutate(rng, rng.choice(requests)) for _ in range(CLIENTS)
                )

    def send_mutations_to_entry(self, seed: int) -> None:
        """Sends mutations of each kind of caller's request."""
        get = b"GET /nights/ HTTP/1.1\r\nHost: queue.example\r\nAccept: */*\r\n\r\n"
        requests = [self.make_job_request(), self.make_chunked_request(), get]
        self.send_mutations(seed, self.callers, requests)
        self.assert_entry_serves()

    def test_mutations_of_seed_1(self) -> None:
        self.send_mutations_to_entry(1)

    def test_mutations_of_seed_2(self) -> None:
        self.send_mutations_to_entry(2)

    def test_mutations_of_seed_3(self) -> None:
        self.send_mutations_to_entry(3)

    def test_mutations_to_an_agent(self) -> None:
        body = b'{"service":"svc","state":"ready","sequence":1}'
        head = b"POST /-/instances/i-9/heartbeat HTTP/1.1\r\nHost: agent\r\n"
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        self.send_mutations(4, self.agent.heartbeats, [head + length + body])
        self.assert_agent_serves()
