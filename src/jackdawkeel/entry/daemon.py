"""The entry process: connects its controllers to event loop, link, HTTP and store."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from ..answer import answer_error
from ..clock import read_boot_clock
from ..connections.limits import limit_callers
from ..connections.refusals import REPORT_INTERVAL_S
from ..connections.refusals import RefusalCounts
from ..connections.refusals import RefusalLog
from ..controllers.configuration import ConfigurationController
from ..controllers.job_keys import SharedLease
from ..controllers.known_keys import KnownKeysController
from ..controllers.roster import RosterController
from ..errors import DispatchError
from ..errors import ErrorKind
from ..events import EventName
from ..http_messages import HttpResponse
from ..job_id import mint_incarnation
from ..job_request import MAX_READ_BYTES
from ..link.nng import NNG_TRANSPORT
from ..link.node import LinkNode
from ..logs import EventLog
from ..messages import PeerAddress
from ..metrics import CounterName
from ..metrics import HistogramName
from ..metrics import Metrics
from ..periodic import run_periodically
from ..policy.caller_limits import limit_waiting_callers
from ..policy.quota import QuotaState
from ..process_signals import handle_stop_signals
from ..store.etcd import EtcdStore
from ..waiting_callers import RESERVED_THREADS
from ..waiting_callers import WaitingCallers
from .heartbeats import reply_to_heartbeat
from .http_server import HttpServer
from .job_forwarder import JobForwarder
from .metrics_report import render_metrics
from .other_entries import OtherEntries
from .routes import answer_request
from .routes import build_draining_answer
from .routes import find_route
from .routes import render_answer
from .routing import route_message
from .store_sync import StoreSync


if TYPE_CHECKING:
    from ..http_messages import HttpRequest
    from ..messages import Heartbeat
    from ..messages import Message
    from ..settings import EntrySettings


TICK_INTERVAL_S = 0.1
SLOW_TICK_INTERVAL_S = 1.0
STORE_CALL_THREADS = 8
# Time between the start of the failing health check and the first refused request.
DRAIN_NOTICE_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05


class Entry:
    """One entry process.

    The state of its controllers is changed on the event loop only. HTTP requests and
    store calls run on threads, which pass their work or result to the loop.
    """

    def __init__(self, settings: EntrySettings, log: EventLog) -> None:
        self.settings = settings
        self.log = log
        self.clock = read_boot_clock
        self.loop = asyncio.get_running_loop()
        self.address = PeerAddress(log.incarnation, settings.advertise)
        self.configuration = ConfigurationController(self.clock())
        self.roster = RosterController(
            settings.availability_zone, self.clock, log, self.is_zone_in_service
        )
        self.node = LinkNode(
            listen=settings.link,
            address=self.address,
            clock=self.clock,
            log=log,
            transport=NNG_TRANSPORT,
            deliver=self.deliver,
        )
        self.quotas = QuotaState()
        self.known_keys = KnownKeysController(self.clock)
        self.forwarder = JobForwarder(
            clock=self.clock,
            send=self.node.send,
            redial=self.node.redial,
            adjust_forwarded=self._adjust_forwarded,
        )
        self.other_entries = self._make_other_entries()
        self.metrics = Metrics({"availability_zone": settings.availability_zone})
        self.store = EtcdStore(settings.store)
        self.store_threads = ThreadPoolExecutor(STORE_CALL_THREADS, "store-call")
        self.sync = self._make_sync()
        self.key_lease = SharedLease()
        self.caller_limits = limit_callers(settings.machine, MAX_READ_BYTES)
        self.waiting_callers = WaitingCallers(
            limit_waiting_callers(settings.threads, self.caller_limits.max_connections)
        )
        self.refusals = RefusalCounts()
        self.refusal_log = RefusalLog(self.refusals, log)
        self.requests_in_flight = 0
        self.draining = False
        self.rejecting_requests = False
        self.stopped = asyncio.Event()

    def _make_other_entries(self) -> OtherEntries:
        return OtherEntries(
            own=self.address,
            clock=self.clock,
            configuration=self.configuration,
            roster=self.roster,
            quotas=self.quotas,
            known_keys=self.known_keys,
            send=self.node.send,
            redial=self.node.redial,
            apply=self._apply_configuration,
        )

    def _make_sync(self) -> StoreSync:
        return StoreSync(
            store=self.store,
            configuration=self.configuration,
            address=self.address,
            clock=self.clock,
            log=self.log,
            metrics=self.metrics,
            on_failed_read=self.other_entries.probe,
        )

    def is_zone_in_service(self, availability_zone: str) -> bool:
        """Returns whether operators have the availability zone in service."""
        zones = self.configuration.document.availability_zones
        record = zones.get(availability_zone)
        return record is None or record.state.in_service

    def deliver(self, sender: PeerAddress, message: Message) -> None:
        """Handles one message that the link received."""
        route_message(self, sender, message)

    def handle_heartbeat(self, sender: PeerAddress, heartbeat: Heartbeat) -> None:
        """Records an agent's heartbeat and sends the reply."""
        self.node.send(sender, reply_to_heartbeat(self, heartbeat))

    def handle_process_ended(self, incarnation: str) -> None:
        """Marks a process as ended and fails the calls that are pending there."""
        self.roster.remove_agent(incarnation)
        self.forwarder.handle_home_ended(incarnation)

    def render_metrics(self) -> str:
        """Returns the metrics in their text format."""
        return render_metrics(self)

    def handle_http(self, request: HttpRequest) -> HttpResponse:
        """Answers a request; called on the HTTP server's threads, which it blocks."""
        future = asyncio.run_coroutine_threadsafe(self._answer(request), self.loop)
        return future.result()

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        self.requests_in_flight += 1
        started_at = self.clock()
        try:
            response = await self._answer_guarded(request)
        finally:
            self.requests_in_flight -= 1
        route = f"{request.method} /{find_route(request.path).name}"
        self.metrics.count(CounterName.HTTP_REQUESTS, route)
        self.metrics.observe(HistogramName.REQUEST, self.clock() - started_at, route)
        if not self.draining:
            return response
        return HttpResponse(
            response.status,
            response.body,
            response.content_type,
            response.retry_after_ms,
            close=True,
        )

    async def _answer_guarded(self, request: HttpRequest) -> HttpResponse:
        if self.rejecting_requests:
            return render_answer(build_draining_answer(request))
        try:
            return await answer_request(self, request)
        except Exception:
            self.log.record_exception(f"answering {request.method} {request.path}")
            text = "the entry failed to handle the request; its log has the traceback"
            error = DispatchError(ErrorKind.INTERNAL, text)
            return render_answer(answer_error(None, error))

    async def run(self) -> None:
        """Serves until a stop signal, then until no request is in flight."""
        handle_stop_signals(self.loop, self.stop)
        server = HttpServer(
            host=self.settings.listen_host,
            port=self.settings.listen_port,
            threads=self.settings.threads + RESERVED_THREADS,
            limits=self.caller_limits,
            refusals=self.refusals,
            handle=self.handle_http,
        )
        with self.store, self.node, self.sync:
            await self.loop.run_in_executor(None, server.__enter__)
            tasks = [
                asyncio.create_task(
                    run_periodically(TICK_INTERVAL_S, self.tick, self.log)
                ),
                asyncio.create_task(
                    run_periodically(SLOW_TICK_INTERVAL_S, self.tick_slowly, self.log)
                ),
                asyncio.create_task(
                    run_periodically(
                        REPORT_INTERVAL_S, self.refusal_log.report, self.log
                    )
                ),
            ]
            self.log.record(EventName.READY, listen=self.settings.listen_port)
            await self.stopped.wait()
            await self._drain()
            await self.loop.run_in_executor(None, server.__exit__)
            for task in tasks:
                task.cancel()
        self.store_threads.shutdown(wait=False, cancel_futures=True)

    def stop(self) -> None:
        """Starts the drain; later calls have no effect."""
        if self.draining:
            return
        self.draining = True
        self.log.record(EventName.DRAINING)
        self.stopped.set()

    async def _drain(self) -> None:
        await asyncio.sleep(DRAIN_NOTICE_S)
        self.rejecting_requests = True
        while self.requests_in_flight:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def tick(self) -> None:
        """Detects pauses of the process, updates the entries and checks pending calls.

        After a pause, a confirming read of the configuration starts at once.
        """
        self.configuration.detect_pause(self.clock())
        if self.configuration.resumed_at is not None:
            self.sync.schedule_confirmation()
        self.other_entries.set_addresses(self.sync.entries)
        self.forwarder.tick()

    def tick_slowly(self) -> None:
        """Probes the other entries, updates the roster and closes idle links."""
        self.other_entries.probe()
        self.roster.tick()
        self.node.close_idle_links()

    def _apply_configuration(self, revision: int, encoded: bytes) -> None:
        self.sync.apply(revision, encoded)

    def _adjust_forwarded(self, incarnation: str, change: int) -> None:
        view = self.roster.find(incarnation)
        if view is not None:
            view.forwarded += change


def run_entry(settings: EntrySettings) -> int:
    """Runs an entry until a stop signal; returns the exit code."""
    with EventLog("entry", mint_incarnation(), settings.availability_zone) as log:
        log.record(EventName.PROCESS_STARTED, link=settings.link)
        asyncio.run(_run(settings, log))
        log.record(EventName.PROCESS_STOPPED)
    return 0


async def _run(settings: EntrySettings, log: EventLog) -> None:
    await Entry(settings, log).run()
