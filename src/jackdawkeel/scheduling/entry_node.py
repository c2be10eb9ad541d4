"""The entry process, which schedules jobs: connects components to loop, links, HTTP."""

from __future__ import annotations

import asyncio
import random
from contextlib import ExitStack
from dataclasses import replace
from typing import TYPE_CHECKING

from ..clock import read_boot_clock
from ..connections.limits import limit_callers
from ..connections.limits import limit_links
from ..connections.refusals import REPORT_INTERVAL_S
from ..connections.refusals import RefusalCounts
from ..connections.refusals import RefusalLog
from ..entry.http_server import HttpServer
from ..errors import DispatchError
from ..errors import ErrorKind
from ..events import EventName
from ..http_messages import TEXT_TYPE
from ..http_messages import HttpResponse
from ..job_request import MAX_READ_BYTES
from ..link.message_counts import count_messages
from ..link.node import MAX_REDIAL_PAUSE_S
from ..link.node import LinkNode
from ..link.stream import make_stream_transport
from ..messages import PeerAddress
from ..messages import WrongRecipient
from ..messages.ownership import JobWithdrawal
from ..messages.ownership import OpenJobs
from ..messages.ownership import OwnerInquiry
from ..messages.ownership import OwnerReply
from ..messages.scheduling import AgentReport
from ..metrics import CounterName
from ..metrics import GaugeName
from ..metrics import HistogramName
from ..metrics import Metrics
from ..periodic import run_periodically
from ..policy.caller_limits import limit_waiting_callers
from ..policy.job_memory import limit_job_memory
from ..process_signals import handle_stop_signals
from ..process_signals import log_reload_signals
from ..setting_values import Address
from ..waiting_callers import RESERVED_THREADS
from ..waiting_callers import WaitingCallers
from .agent_views import AgentViews
from .caller_calls import CancelCall
from .caller_calls import PendingCall
from .caller_calls import StateCall
from .caller_calls import SubmitCall
from .disconnect import DisconnectWatch
from .disconnect import is_disconnected
from .earlier_entries import EarlierEntries
from .entry_readiness import FIRST_TARGET_WAIT_S
from .entry_readiness import EntryReadiness
from .entry_readiness import list_requirements
from .job import Job
from .job_errors import describe_full
from .job_scheduler import JobScheduler
from .operator_state import OperatorState
from .owner_beats import make_owner_beat
from .registration import Registration
from .run_replication import RunReplication
from .schedule_trigger import ScheduleTrigger
from .store_follower import StoreFollower


if TYPE_CHECKING:
    from ..http_messages import HttpRequest
    from ..logs import EventLog
    from ..messages import Message
    from ..store.interface import Store
    from .caller_calls import CallerCall
    from .caller_interface import CallerInterface
    from .operator_keys import OperatorKeys
    from .process_settings import ProcessSettings


TICK_INTERVAL_S = 0.05
SILENCE_CHECK_INTERVAL_S = 0.2
IDLE_LINK_CHECK_INTERVAL_S = 5.0
# Callers that may wait for answers; each blocks a thread.
MAX_WAITING_CALLERS = 160
# After SIGTERM, the balancer sends new connections for about two of its checks.
BALANCER_REMOVAL_S = 2.6
# Part of the shutdown time that is reserved for sending answers and exiting.
EXIT_MARGIN_S = 0.7
DRAIN_POLL_INTERVAL_S = 0.05
# A process that lacks processor time has requests that it has not read yet. They are
# refused for this time, because the end of the process would lose them.
LAST_REQUEST_S = 0.3
FIRST_TARGET_POLL_INTERVAL_S = 0.02
# Time after which all agents of a starting fleet have reported their capacity: targets
# send a heartbeat every 1.5 s.
AGENT_DISCOVERY_S = 2.0
METRICS_PATH = "/metrics"
MS_PER_S = 1000


class EntryNode:
    """One entry process."""

    def __init__(
        self,
        settings: ProcessSettings,
        log: EventLog,
        store: Store,
        keys: OperatorKeys,
        callers: CallerInterface,
        metrics_port: int,
    ) -> None:
        self.settings = settings
        self.log = log
        self.clock = read_boot_clock
        self.callers = callers
        self.metrics_port = metrics_port
        self.loop = asyncio.get_running_loop()
        self.address = PeerAddress(log.incarnation, settings.dialled_link)
        self.metrics = Metrics({"availability_zone": settings.availability_zone})
        self.operators = OperatorState(keys, log)
        self.node = LinkNode(
            listen=settings.link,
            address=self.address,
            clock=self.clock,
            log=log,
            transport=make_stream_transport(limit_links(settings.machine)),
            deliver=self.deliver,
            max_redial_pause_s=MAX_REDIAL_PAUSE_S,
        )
        self.views = AgentViews(
            settings.availability_zone, self.clock, log, self.node.redial
        )
        self.trigger = ScheduleTrigger(self.loop, self.clock, self._schedule)
        self.scheduler = JobScheduler(
            clock=self.clock,
            log=log,
            views=self.views,
            send=self.node.send,
            format_task_name=callers.format_task_name,
            evacuated_zones=lambda: self.operators.evacuated_zones,
            schedule_soon=self.trigger.plan,
            rng=random.Random(log.incarnation),
            remote_slowdown=settings.bounds.remote_slowdown,
            incarnation=log.incarnation,
            list_entries=self._list_other_entries,
            memory_limits=limit_job_memory(settings.machine.memory_bytes),
        )
        self.replication = RunReplication(
            link=self.address.link,
            clock=self.clock,
            views=self.views,
            assignments=self.scheduler.assignments.open,
            send=self.node.send,
        )
        self.earlier = EarlierEntries(
            clock=self.clock,
            peers=self.scheduler.ownership.peers,
            views=self.views,
            send=self.node.send,
        )
        self.follower = StoreFollower(store, self.operators, log, self.trigger.plan)
        self.registration = Registration(store, self.address, log)
        requirements = list_requirements(
            has_configuration=lambda: self.operators.configuration is not None,
            has_entry_list=lambda: self.registration.entry_list.is_read,
            has_announcements=self._has_announcements,
            has_agents=self.views.has_accepting,
            has_replicas=self.earlier.is_complete,
        )
        self.readiness = EntryReadiness(self.clock, log, requirements)
        self.refusals = RefusalCounts()
        self.caller_limits = limit_callers(settings.machine, MAX_READ_BYTES)
        self.waiting_callers = WaitingCallers(
            limit_waiting_callers(
                MAX_WAITING_CALLERS, self.caller_limits.max_connections
            )
        )
        self.in_flight = 0
        self.is_listening = False
        self.is_draining = False
        self.is_refusing = False
        self.stopped = asyncio.Event()

    def _list_other_entries(self) -> list[PeerAddress]:
        """Returns the entries that may run, without predecessors of this process."""
        registered = self.registration.entry_list.entries
        entries = dict.fromkeys([*registered, *self.earlier.list_running()])
        return [entry for entry in entries if entry.link != self.address.link]

    def _has_announcements(self) -> bool:
        """Returns whether every other entry has announced its jobs or has ended."""
        return self.scheduler.ownership.peers.has_all_announcements(
            has_ended=self.node.is_refused
        )

    # Messages of agents and of other entries.

    def deliver(self, sender: PeerAddress, message: Message) -> None:
        """Handles a message from a link."""
        match message:
            case AgentReport():
                self._handle_report(sender, message)
            case OpenJobs() | OwnerInquiry() | OwnerReply() | JobWithdrawal():
                self.scheduler.ownership.deliver(sender, message)
            case WrongRecipient():
                self.scheduler.ownership.peers.record_successor(sender)

    def _handle_report(self, sender: PeerAddress, report: AgentReport) -> None:
        view = self.scheduler.handle_report(sender, report)
        if view is None or not report.is_full:
            return
        self.earlier.record(sender.link, report.entries)
        beat = make_owner_beat(
            report,
            view,
            self.views,
            self.registration.entry_list,
            self.operators,
            self.scheduler.crashes,
            self.replication,
        )
        self.node.send(sender, beat)

    def _schedule(self) -> bool:
        self.scheduler.schedule()
        self.replication.send_added()
        return bool(self.scheduler.queue.jobs)

    # HTTP requests.

    def handle_http(self, request: HttpRequest) -> HttpResponse:
        """Answers a request; called on the threads of the HTTP server."""
        future = asyncio.run_coroutine_threadsafe(self._answer(request), self.loop)
        return future.result()

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        if self.callers.is_readiness_check(request):
            return self.callers.build_readiness_response(self.is_ready())
        if request.path == METRICS_PATH:
            return self._answer_metrics()
        started_at = self.clock()
        self.in_flight += 1
        try:
            response = await self._answer_guarded(request)
        finally:
            self.in_flight -= 1
        self.metrics.count(CounterName.HTTP_REQUESTS, request.method)
        self.metrics.count(CounterName.ANSWERS, str(response.status))
        took_s = self.clock() - started_at
        self.metrics.observe(HistogramName.REQUEST, took_s, request.method)
        return replace(response, close=True) if self.is_draining else response

    async def _answer_guarded(self, request: HttpRequest) -> HttpResponse:
        if self.is_refusing:
            text = "the entry is shutting down"
            error = DispatchError(ErrorKind.SHUTTING_DOWN, text)
            return self.callers.build_error_response(error)
        try:
            # Every call is refused without a configuration.
            is_ready = self.readiness.is_ready
            configuration = self.operators.configuration if is_ready else None
            call = self.callers.decode_call(request, configuration)
            request.discard_body()
            if call.is_err():
                return self._answer_refusal(request, call.unwrap_err())
            return await self._answer_call(call.unwrap(), request)
        except Exception:
            self.log.record_exception(f"answering {request.method} {request.path}")
            text = (
                "the entry failed to handle the request; see the traceback in its log"
            )
            error = DispatchError(ErrorKind.INTERNAL, text)
            return self.callers.build_error_response(error)

    def _answer_refusal(
        self, request: HttpRequest, error: DispatchError
    ) -> HttpResponse:
        configuration = self.operators.configuration
        self.log.record(
            EventName.JOB_REFUSED,
            method=request.method,
            path=request.path,
            kind=error.kind.value,
            reason=error.message,
            version=None if configuration is None else configuration.version,
        )
        return self.callers.build_error_response(error)

    async def _answer_call(
        self, call: CallerCall, request: HttpRequest
    ) -> HttpResponse:
        match call:
            case SubmitCall():
                return await self._answer_submit(call, request)
            case PendingCall():
                count = self.scheduler.count_pending(call.queue.name)
                return self.callers.build_pending_response(count)
            case CancelCall():
                job = self.scheduler.cancel(call.job_id)
            case StateCall():
                job = self.scheduler.find_job(call.job_id)
        if job is None:
            text = "no job has this id"
            error = DispatchError(ErrorKind.NO_SUCH_JOB, text)
            return self.callers.build_error_response(error)
        return self.callers.build_state_response(job)

    async def _answer_submit(
        self, call: SubmitCall, request: HttpRequest
    ) -> HttpResponse:
        if is_disconnected(request.connection):
            # The caller may have resubmitted the job through another entry.
            return self._answer_disconnected(call)
        if self.waiting_callers.is_full and not self.scheduler.has_answer(call.spec):
            may_run = self.scheduler.may_run(call.spec.job_id)
            return self._answer_refusal(request, describe_full(may_run=may_run))
        waiter: asyncio.Future[None] = self.loop.create_future()
        submitted = self.scheduler.submit(
            call.spec, call.queue, call.deadline_s, waiter
        )
        if not isinstance(submitted, Job):
            return self.callers.build_error_response(submitted)
        job = submitted

        def handle_disconnect() -> None:
            self.log.record(
                EventName.CALLER_DISCONNECTED,
                job=job.spec.job_id,
                waited_ms=round(MS_PER_S * (self.clock() - job.received_at), 1),
            )
            self.scheduler.handle_disconnect(job, waiter)
            if not waiter.done():
                waiter.set_result(None)

        with (
            self.waiting_callers,
            DisconnectWatch(request.connection, handle_disconnect),
        ):
            await waiter
        if not job.has_ended:
            # The job continues, because another request waits for its answer.
            text = "the caller disconnected"
            error = DispatchError(ErrorKind.CANCELLED, text)
            return self.callers.build_error_response(error)
        took_s = self.clock() - job.received_at
        self.metrics.observe(HistogramName.JOB, took_s, job.queue.name)
        return self.callers.build_job_response(job)

    def _answer_disconnected(self, call: SubmitCall) -> HttpResponse:
        self.log.record(
            EventName.CALLER_DISCONNECTED, job=call.spec.job_id, waited_ms=None
        )
        text = "the caller disconnected before the job was admitted"
        kind = ErrorKind.CANCELLED_BEFORE_START
        if self.scheduler.find_job(call.spec.job_id) is not None:
            text = "the caller disconnected; an earlier request may run the job"
            kind = ErrorKind.CANCELLED
        error = DispatchError(kind, text)
        return self.callers.build_error_response(error)

    def is_ready(self) -> bool:
        """Returns whether the entry can serve requests."""
        is_serving = self.is_listening and not self.is_draining
        return is_serving and self.readiness.is_ready and bool(self.views.views)

    def _answer_metrics(self) -> HttpResponse:
        metrics = self.metrics
        views = self.views.views.values()
        usable = sum(view.report.target.accepting for view in views)
        metrics.set_gauge(GaugeName.AGENTS, len(self.views.views), "heard")
        metrics.set_gauge(GaugeName.AGENTS, usable, "usable")
        unreachable = len(self.views.unreachable)
        metrics.set_gauge(GaugeName.AGENTS, unreachable, "unreachable")
        metrics.set_gauge(GaugeName.REQUESTS_IN_FLIGHT, self.in_flight)
        metrics.set_gauge(GaugeName.JOBS, len(self.scheduler.jobs), "open")
        metrics.set_gauge(GaugeName.JOBS, len(self.scheduler.queue.jobs), "waiting")
        configuration = self.operators.configuration
        version = 0 if configuration is None else configuration.version
        metrics.set_gauge(GaugeName.CONFIGURATION_REVISION, version)
        count_messages(metrics, self.node)
        metrics.replace_counts(CounterName.CLIENT_REFUSALS, self.refusals.read())
        held = self.scheduler.assignments.held_total
        metrics.replace_counts(CounterName.TASKS_HELD, held)
        self.scheduler.outcomes.export(metrics)
        body = metrics.render_text().encode()
        return HttpResponse(200, body, TEXT_TYPE)

    # Process lifecycle.

    async def run(self) -> None:
        """Serves requests until a stop is requested.

        It returns when the requests in flight are answered or the shutdown time is
        nearly over.
        """
        handle_stop_signals(self.loop, self.stop)
        log_reload_signals(self.loop, self.log)
        callers = self.settings.callers
        assert callers is not None, "an entry requires an address for callers"
        extra_addresses = [Address(self.settings.host, self.metrics_port)]
        if self.settings.readiness is not None:
            extra_addresses.append(self.settings.readiness)
        server = HttpServer(
            host=callers.host,
            port=callers.port,
            threads=MAX_WAITING_CALLERS + RESERVED_THREADS,
            limits=self.caller_limits,
            refusals=self.refusals,
            handle=self.handle_http,
            additional_addresses=extra_addresses,
        )
        with ExitStack() as stack:
            for resource in (
                self.node,
                self.follower.worker,
                self.registration.worker,
            ):
                stack.enter_context(resource)
            await self._wait_for_fleet()
            self.scheduler.queue.discovers_until = self.clock() + AGENT_DISCOVERY_S
            await self.loop.run_in_executor(None, server.__enter__)
            tasks = [
                asyncio.create_task(
                    run_periodically(TICK_INTERVAL_S, self.tick, self.log)
                ),
                asyncio.create_task(
                    run_periodically(
                        SILENCE_CHECK_INTERVAL_S, self.views.check_silence, self.log
                    )
                ),
                asyncio.create_task(
                    run_periodically(
                        IDLE_LINK_CHECK_INTERVAL_S, self.node.close_idle_links, self.log
                    )
                ),
                asyncio.create_task(
                    run_periodically(
                        REPORT_INTERVAL_S,
                        RefusalLog(self.refusals, self.log).report,
                        self.log,
                    )
                ),
            ]
            self.is_listening = True
            self.log.record(EventName.READY, listen=callers.port)
            await self.stopped.wait()
            await self._drain()
            await self.loop.run_in_executor(None, server.__exit__)
            for task in tasks:
                task.cancel()

    async def _wait_for_fleet(self) -> None:
        """Waits until the entry is ready, or is overdue and can only refuse calls."""
        listens_at = self.clock() + FIRST_TARGET_WAIT_S
        while not self.readiness.update() and not self.is_draining:
            can_serve = self.operators.configuration is not None and self.views.views
            if not can_serve and self.clock() >= listens_at:
                # Callers are refused instead of left without an answer.
                return
            self.earlier.request_replicas()
            # The process may end before its first tick, and after its first job.
            self.replication.advance()
            await asyncio.sleep(FIRST_TARGET_POLL_INTERVAL_S)
            if self.registration.entry_list.is_read:
                self.scheduler.ownership.advance(is_connected=True)

    def tick(self) -> None:
        """Makes the scheduler handle timeouts and assign tasks."""
        if not self.readiness.update():
            self.earlier.request_replicas()
        self.scheduler.tick()
        self.replication.advance()

    def stop(self) -> None:
        """Begins the drain; later calls have no effect."""
        if not self.is_draining:
            self.is_draining = True
            self.log.record(EventName.DRAINING, in_flight=self.in_flight)
            self.stopped.set()

    async def _drain(self) -> None:
        drain_started_at = self.clock()
        shutdown_at = drain_started_at + self.settings.bounds.shutdown_s - EXIT_MARGIN_S
        self.scheduler.queue.shutdown_at = shutdown_at
        while self.clock() < shutdown_at:
            is_out_of_rotation = self.clock() >= drain_started_at + BALANCER_REMOVAL_S
            has_work = self.in_flight or self.scheduler.jobs
            if is_out_of_rotation and not has_work:
                self.is_refusing = True
                await asyncio.sleep(LAST_REQUEST_S)
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        self.is_refusing = True
        self.scheduler.abandon_all()
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
