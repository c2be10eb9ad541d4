"""The agent process, which runs tasks: connects its components to loop and links."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from typing import TYPE_CHECKING

from ..clock import read_boot_clock
from ..clock import read_running_clock
from ..connections.limits import limit_links
from ..connections.refusals import REPORT_INTERVAL_S
from ..connections.refusals import RefusalCounts
from ..connections.refusals import RefusalLog
from ..events import EventName
from ..http_messages import TEXT_TYPE
from ..http_messages import HttpResponse
from ..link.message_counts import count_messages
from ..link.node import MAX_REDIAL_PAUSE_S
from ..link.node import LinkNode
from ..link.stream import make_stream_transport
from ..messages import PeerAddress
from ..messages import WrongRecipient
from ..messages.ownership import OpenRuns
from ..messages.ownership import ReportRequest
from ..messages.scheduling import OwnerBeat
from ..messages.scheduling import StartTasks
from ..messages.scheduling import StopTasks
from ..metrics import CounterName
from ..metrics import Metrics
from ..periodic import run_periodically
from ..process_signals import handle_stop_signals
from ..process_signals import log_reload_signals
from ..setting_values import Address
from .agent_http import AgentHttpServer
from .agent_reports import AgentReports
from .entry_discovery import EntryDiscovery
from .operator_state import OperatorState
from .store_follower import StoreFollower
from .target_link import TargetLink
from .target_state import TargetState
from .task_executor import TaskExecutor
from .task_run import StopCause


if TYPE_CHECKING:
    from ..http_messages import HttpRequest
    from ..logs import EventLog
    from ..messages import Message
    from ..store.interface import Store
    from .operator_keys import OperatorKeys
    from .owners import Owner
    from .process_settings import ProcessSettings
    from .target_interface import TargetInterface
    from .target_runtime import TargetRuntime


TICK_INTERVAL_S = 0.05
IDLE_LINK_CHECK_INTERVAL_S = 5.0
# Part of the shutdown time that is reserved for the last reports and the exit.
EXIT_MARGIN_S = 1.0
LAST_REPORT_S = 0.3
DRAIN_POLL_INTERVAL_S = 0.05
METRICS_PATH = "/metrics"
ENTRY_MESSAGES = (
    StartTasks | StopTasks | OwnerBeat | OpenRuns | ReportRequest | WrongRecipient
)


class AgentNode:
    """One agent process."""

    def __init__(
        self,
        settings: ProcessSettings,
        log: EventLog,
        store: Store,
        keys: OperatorKeys,
        runtime: TargetRuntime,
        targets: TargetInterface,
        metrics_port: int,
        reported_entries: int,
    ) -> None:
        self.settings = settings
        self.log = log
        self.clock = read_boot_clock
        self.targets = targets
        self.runtime = runtime
        self.metrics_port = metrics_port
        self.loop = asyncio.get_running_loop()
        self.address = PeerAddress(log.incarnation, settings.dialled_link)
        self.metrics = Metrics({"availability_zone": settings.availability_zone})
        self.target = TargetState(settings.availability_zone, self.clock, log)
        self.target_link = TargetLink(
            runtime, self.target, self.clock, read_running_clock, log
        )
        self.executor = TaskExecutor(
            target=self.target,
            clock=self.clock,
            log=log,
            start=self.target_link.start,
            stop=self.target_link.stop,
            on_update=self._queue_report,
        )
        self.target_link.executor = self.executor
        # Spares an iteration of the event loop between the end of a run and its report.
        self.target_link.after_answer = self._report_changes
        self.node = LinkNode(
            listen=settings.link,
            address=self.address,
            clock=self.clock,
            log=log,
            transport=make_stream_transport(limit_links(settings.machine)),
            deliver=self.deliver,
            max_redial_pause_s=MAX_REDIAL_PAUSE_S,
        )
        self.reports = AgentReports(
            settings=settings,
            clock=self.clock,
            target=self.target,
            executor=self.executor,
            send=self.node.send,
            redial=self.node.redial,
            reported_entries=reported_entries,
        )
        self.operators = OperatorState(keys, log)
        self.follower = StoreFollower(
            store, self.operators, log, self._apply_evacuations
        )
        self.discovery = EntryDiscovery(store, settings, log, self.reports.add_entries)
        self.refusals = RefusalCounts()
        self.changed_owners: dict[str, Owner] = {}
        self.stopped = asyncio.Event()

    # Messages of entries.

    def deliver(self, sender: PeerAddress, message: Message) -> None:
        """Handles a message from a link."""
        if not isinstance(message, ENTRY_MESSAGES):
            return
        # A WrongRecipient message comes from the process that now has an entry's link.
        self.reports.record_contact(sender)
        match message:
            case StartTasks():
                self.executor.handle_start(sender, message)
            case StopTasks():
                self.executor.handle_stop(sender, message.numbers)
            case OpenRuns():
                self.reports.replicas.record_runs(sender, message)
            case ReportRequest():
                self.reports.record_request(sender)
            case OwnerBeat():
                owner = self.executor.leases.renew(sender, message.echo)
                owner.acknowledge_through(message.updates_through)
                self.executor.quality.median_slowness = message.median_slowness
                self.reports.record_beat(sender, message.echo)
                self.reports.replicas.record_links(sender, message.replica_links)
                self.reports.add_entries(message.entries)
                self.reports.set_change_interval(sender, message.change_interval_s)
                self.reports.receive_crashes(sender, message.crashes)
                if message.evacuation_revision:
                    zones = frozenset(message.evacuated_zones)
                    self.target.apply_evacuations(zones, message.evacuation_revision)

    def _apply_evacuations(self) -> None:
        operators = self.operators
        self.target.apply_evacuations(operators.evacuated_zones, operators.revision)

    def _queue_report(self, owner: Owner) -> None:
        if not self.changed_owners:
            self.loop.call_soon(self._report_changes)
        self.changed_owners[owner.address.incarnation] = owner

    def _report_changes(self) -> None:
        if not self.changed_owners:
            return
        changed, self.changed_owners = self.changed_owners, {}
        self.reports.report_changes(changed.values())

    # HTTP requests.

    def handle_http(self, request: HttpRequest) -> HttpResponse:
        """Answers a request; called on the threads of the HTTP server."""
        future = asyncio.run_coroutine_threadsafe(self._answer(request), self.loop)
        return future.result()

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        if request.path == METRICS_PATH:
            return self._answer_metrics()
        instance = self.targets.match_heartbeat(request)
        if instance is not None:
            return self._apply_heartbeat(instance, request.body)
        instance = self.targets.match_deregistration(request)
        if instance is not None:
            self.target.clear_report(instance)
            return HttpResponse(200, b"{}")
        return HttpResponse(404, b"{}")

    def _apply_heartbeat(self, instance: str, body: bytes) -> HttpResponse:
        decoded = self.targets.decode_heartbeat(instance, body)
        if decoded.is_err():
            reason = str(decoded.unwrap_err())
            self.log.record(
                EventName.MESSAGE_DROPPED, reason="bad heartbeat", details=reason
            )
            return HttpResponse(400, b"{}")
        was_accepting = self.target.find_refusal(self.clock()) is None
        if self.target.apply_report(decoded.unwrap()):
            self.runtime.set_instance(instance)
        if was_accepting and self.target.find_refusal(self.clock()) is not None:
            # Entries must not assign tasks to a draining target, and runs that can't
            # end there in time lose time until the next tick.
            self._tick_guarded()
        return HttpResponse(200, b"{}")

    def _answer_metrics(self) -> HttpResponse:
        metrics = self.metrics
        count_messages(metrics, self.node)
        metrics.replace_counts(CounterName.CLIENT_REFUSALS, self.refusals.read())
        metrics.replace_counts(CounterName.TASKS, self.executor.counts)
        metrics.replace_counts(CounterName.TASK_STOPS, self.executor.stop_counts)
        return HttpResponse(200, metrics.render_text().encode(), TEXT_TYPE)

    # Process lifecycle.

    async def run(self) -> None:
        """Runs tasks until a stop is requested.

        It returns when all tasks have ended or the shutdown time is nearly over.
        """
        handle_stop_signals(self.loop, self.stop)
        log_reload_signals(self.loop, self.log)
        heartbeats = self.settings.heartbeats
        assert heartbeats is not None, "an agent requires an address for heartbeats"
        metrics = Address(self.settings.host, self.metrics_port)
        servers = [
            AgentHttpServer(address, self.handle_http, self.refusals)
            for address in (heartbeats, metrics)
        ]
        resources = (
            self.node,
            self.target_link,
            self.follower.worker,
            self.discovery.worker,
        )
        with ExitStack() as stack:
            for resource in resources:
                stack.enter_context(resource)
            for server in servers:
                server.start()
            self._tick_forever()
            idle_links = asyncio.create_task(
                run_periodically(
                    IDLE_LINK_CHECK_INTERVAL_S, self.node.close_idle_links, self.log
                )
            )
            refusals = asyncio.create_task(
                run_periodically(
                    REPORT_INTERVAL_S,
                    RefusalLog(self.refusals, self.log).report,
                    self.log,
                )
            )
            self.log.record(EventName.READY, listen=heartbeats.port)
            await self.stopped.wait()
            await self._drain()
            # Stopping a server blocks until its requests end, and they need this loop.
            for server in servers:
                await self.loop.run_in_executor(None, server.stop)
            self.next_tick.cancel()
            idle_links.cancel()
            refusals.cancel()

    def _tick_forever(self) -> None:
        # A coroutine that sleeps takes two iterations of the event loop for each tick.
        self.next_tick = self.loop.call_later(TICK_INTERVAL_S, self._tick_forever)
        self._tick_guarded()

    def _tick_guarded(self) -> None:
        try:
            self.tick()
        except Exception:
            self.log.record_exception("calling the tick of the agent")

    def tick(self) -> None:
        """Processes timeouts of the assignments and sends due reports."""
        self.target_link.tick()
        self.executor.tick()
        self.reports.tick()

    def stop(self) -> None:
        """Begins the drain; later calls have no effect."""
        if not self.target.is_shutting_down:
            self.target.is_shutting_down = True
            runs = len(self.executor.by_run)
            self.log.record(EventName.DRAINING, running=runs)
            self.reports.send_all()
            self.stopped.set()

    async def _drain(self) -> None:
        exit_by = self.clock() + self.settings.bounds.shutdown_s - EXIT_MARGIN_S
        while self.executor.by_run and self.clock() < exit_by:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        for run in list(self.executor.by_run.values()):
            self.executor.end_run(run, StopCause.SHUTTING_DOWN)
        await asyncio.sleep(LAST_REPORT_S)
        self.reports.send_all()
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
