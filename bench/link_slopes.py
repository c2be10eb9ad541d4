"""Measures processor time of links and of tasks at a home, in one process."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import TYPE_CHECKING

from tests.fakes import FakeClock
from tests.fakes import Outbox
from tests.fakes import make_address
from tests.fakes import make_log
from tests.standins.processes import pick_address

from bench.fits import US_PER_S
from bench.fits import Fit
from bench.fits import fit_line
from bench.fits import measure_processor_us
from jackdawkeel.controllers.dispatch import DispatchController
from jackdawkeel.controllers.peers import PeerController
from jackdawkeel.job_id import mint_incarnation
from jackdawkeel.link.nng import NNG_TRANSPORT
from jackdawkeel.link.node import LinkNode
from jackdawkeel.messages import CancelTasks
from jackdawkeel.messages import DispatchTasks
from jackdawkeel.messages import PeerAddress
from jackdawkeel.messages import PeerLoad
from jackdawkeel.messages import PeerStatus
from jackdawkeel.messages import SubmitJob
from jackdawkeel.messages import TaskReport
from jackdawkeel.messages import TaskReports


if TYPE_CHECKING:
    from jackdawkeel.messages import Message


TASK_COUNTS = (1, 10, 60, 240)
PEER_COUNTS = (8, 16, 32, 44)
BATCH_SIZES = (1, 10, 60, 240)
ENVELOPES_PER_RUN = 400
SLOTS = 8
RESULT = b'{"count": 1234}'
PAYLOAD = b'{"municipality": 615, "night": "2026-07-14", "kind": "nightly-count"}'


class HomeBench:
    """A home with simulated peers that complete every task immediately."""

    def __init__(self, peers: int) -> None:
        self.outbox = Outbox()
        self.clock = FakeClock()
        own = PeerStatus(make_address("a" * 16), ["service"], "zone-0", SLOTS)
        self.peers = PeerController(own, self.clock, lambda _zone: True, lambda: 0)
        statuses = [
            PeerStatus(make_address(f"{n:016x}"), ["service"], f"zone-{n % 3}", SLOTS)
            for n in range(peers)
        ]
        self.peers.apply_list(statuses, [PeerLoad(0, 0, 0)] * peers)
        self.dispatch = DispatchController(
            clock=self.clock,
            log=make_log(),
            peers=self.peers,
            send=self.outbox.send,
            redial=self.outbox.redial,
            finish=lambda _job_id, _answer: None,
        )

    def run_job(self, tasks: int) -> None:
        """Runs one job until no message is left to handle."""
        payloads = [PAYLOAD] * tasks
        job_id = mint_incarnation()
        self.dispatch.start_job(
            SubmitJob(job_id, "", "service", payloads, False, 60_000)
        )
        while self.outbox.sent:
            sent, self.outbox.sent = self.outbox.sent, []
            for item in sent:
                if isinstance(item.message, DispatchTasks):
                    self.report(item.recipient, item.message)

    def report(self, peer: PeerAddress, message: DispatchTasks) -> None:
        """Reports all tasks of a dispatch message as done."""
        reports = [
            TaskReport(task.number, "done", RESULT, "", 100.0) for task in message.tasks
        ]
        self.dispatch.handle_reports(peer, TaskReports(reports, 0, 0))


def measure_dispatch() -> list[Fit]:
    """Measures choosing targets, dispatching and collecting results at a home."""
    by_tasks: list[tuple[float, float]] = []
    for tasks in TASK_COUNTS:
        home = HomeBench(32)
        cost = measure_processor_us(partial(home.run_job, tasks), max(2, 400 // tasks))
        by_tasks.append((tasks, cost))
    by_peers: list[tuple[float, float]] = []
    for peers in PEER_COUNTS:
        home = HomeBench(peers)
        cost = measure_processor_us(partial(home.run_job, 60), 8) / 60
        by_peers.append((peers, cost))
    return [
        fit_line("job at its home with 32 peers, us", "tasks", by_tasks),
        fit_line("task at its home, us", "peers", by_peers),
    ]


class LinkPair:
    """Two link nodes on one event loop; the second counts received messages."""

    def __init__(self) -> None:
        self.received = 0
        self.expected = 0
        self.all_received = asyncio.Event()
        self.addresses = [
            PeerAddress(mint_incarnation(), f"tcp://{pick_address('127.0.0.1')}")
            for _ in range(2)
        ]
        self.nodes = [
            LinkNode(
                listen=address.link,
                address=address,
                clock=time.monotonic,
                log=make_log(),
                transport=NNG_TRANSPORT,
                deliver=self.deliver,
            )
            for address in self.addresses
        ]

    def deliver(self, _sender: PeerAddress, _message: Message) -> None:
        """Counts a received message and signals when all expected ones have arrived."""
        self.received += 1
        if self.received >= self.expected:
            self.all_received.set()

    async def send_envelopes(self, batch: int, envelopes: int) -> float:
        """Returns the processor time of an envelope at both ends, in microseconds.

        Args:
            batch: Number of messages in an envelope.
            envelopes: Number of envelopes to send.
        """
        sender, receiver = self.nodes
        message = CancelTasks(1, list(range(8)))
        with sender, receiver:
            started_at = time.process_time()
            for _ in range(envelopes):
                self.expected = self.received + batch
                self.all_received.clear()
                for _ in range(batch):
                    sender.send(receiver.address, message)
                await self.all_received.wait()
            return (time.process_time() - started_at) / envelopes * US_PER_S


def measure_link() -> list[Fit]:
    """Measures processor time of an envelope at both ends, over its messages."""
    points: list[tuple[float, float]] = []
    for batch in BATCH_SIZES:

        async def send_batches(batch: int = batch) -> float:
            return await LinkPair().send_envelopes(batch, ENVELOPES_PER_RUN)

        points.append((batch, asyncio.run(send_batches())))
    return [fit_line("envelope at both ends, us", "messages in it", points)]
