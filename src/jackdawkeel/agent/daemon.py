"""The agent process: connects its controllers to event loop, link, target and store."""

from __future__ import annotations

import asyncio
import logging
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from ..backoff import Backoff
from ..backoff import add_jitter
from ..clock import read_boot_clock
from ..controllers.admission import AdmissionController
from ..controllers.agent_configuration import AgentConfigurationController
from ..controllers.dispatch import DispatchController
from ..controllers.entry_roster import EntryRosterController
from ..controllers.execution import ExecutionController
from ..controllers.peers import PeerController
from ..events import EventName
from ..job_id import mint_incarnation
from ..link.nng import NNG_TRANSPORT
from ..link.node import LinkNode
from ..logs import EventLog
from ..messages import AgentDescription
from ..messages import PeerAddress
from ..messages import PeerStatus
from ..periodic import restart_on_error
from ..periodic import run_periodically
from ..process_signals import handle_stop_signals
from ..store.entries import list_entries
from ..store.etcd import EtcdStore
from ..target.client import TargetClient
from ..target.client import TargetResult
from ..task_state import TaskState
from .heartbeat import make_heartbeat
from .home import Home
from .leaving import announce_end
from .leaving import announce_leaving
from .refusals import find_job_refusal
from .routing import route_message


if TYPE_CHECKING:
    from ..answer import Answer
    from ..controllers.execution import TaskRecord
    from ..messages import HeartbeatReply
    from ..messages import Message
    from ..settings import AgentSettings


TICK_INTERVAL_S = 0.05
HEARTBEAT_INTERVAL_S = 1.0
# Used while less than HEARTBEAT_INTERVAL_S of the configuration lease remains.
EXPIRING_LEASE_HEARTBEAT_INTERVAL_S = 0.3
HEARTBEAT_JITTER_RATIO = 0.1
STORE_READ_MIN_DELAY_S = 1.0
STORE_READ_MAX_DELAY_S = 30.0
STORE_READ_FIRST_DELAY_S = 2.0
MAX_TARGET_CALL_S = 120.0
# Time that a target call may exceed the task's remaining time.
TARGET_CALL_GRACE_S = 2.0
MAX_QUEUED_TASKS_PER_SLOT = 2
DRAIN_POLL_INTERVAL_S = 0.05
# Time between the end of all work and the wait for homes to settle the results.
DRAIN_NOTICE_S = 3.0
DRAIN_SETTLE_TIMEOUT_S = 5.0
# Time for the last messages to leave before the links are closed.
DRAIN_LINGER_S = 0.3


class Agent:
    """One agent process.

    The state of its controllers is changed on the event loop only. Calls to the target
    run on threads, which pass their results to the loop.
    """

    def __init__(self, settings: AgentSettings, log: EventLog) -> None:
        self.settings = settings
        self.log = log
        self.clock = read_boot_clock
        self.address = PeerAddress(log.incarnation, settings.advertise)
        self.description = self._describe()
        self.loop = asyncio.get_running_loop()
        self.configuration = AgentConfigurationController(
            settings.availability_zone, self.clock
        )
        self.entries = EntryRosterController(self.clock)
        self.node = LinkNode(
            listen=settings.link,
            address=self.address,
            clock=self.clock,
            log=log,
            transport=NNG_TRANSPORT,
            deliver=self.deliver,
        )
        self.peers = self._make_peers()
        self.execution = self._make_execution()
        self.dispatch = self._make_dispatch()
        self.admission = AdmissionController(self.address.incarnation, self.clock)
        self.home = self._make_home()
        self.target = TargetClient(settings.target, settings.connections, self.clock)
        self.threads = ThreadPoolExecutor(settings.slots, "target")
        self.store = EtcdStore(settings.store)
        self.store_read_backoff = Backoff(
            STORE_READ_MIN_DELAY_S,
            STORE_READ_MAX_DELAY_S,
            STORE_READ_FIRST_DELAY_S,
            self.clock,
        )
        self.stopped = asyncio.Event()
        self.had_lease = False

    def _describe(self) -> AgentDescription:
        return AgentDescription(
            address=self.address,
            target=self.settings.target,
            services=self.settings.services,
            availability_zone=self.settings.availability_zone,
            rack=self.settings.rack,
            slots=self.settings.slots,
            connections=self.settings.connections,
        )

    def _make_peers(self) -> PeerController:
        return PeerController(
            PeerStatus(
                self.address,
                self.settings.services,
                self.settings.availability_zone,
                self.settings.slots,
            ),
            self.clock,
            self.configuration.is_zone_in_service,
            lambda: self.execution.count_open_tasks_for_others(
                self.address.incarnation
            ),
        )

    def _make_execution(self) -> ExecutionController:
        return ExecutionController(
            slots=self.settings.slots,
            queue_limit=self.settings.slots * MAX_QUEUED_TASKS_PER_SLOT,
            clock=self.clock,
            log=self.log,
            send=self.node.send,
            start=self.start_task,
            find_start_refusal=self.configuration.find_start_refusal,
        )

    def _make_dispatch(self) -> DispatchController:
        return DispatchController(
            clock=self.clock,
            log=self.log,
            peers=self.peers,
            send=self.node.send,
            redial=self.node.redial,
            finish=self.finish_job,
        )

    def _make_home(self) -> Home:
        return Home(
            admission=self.admission,
            dispatch=self.dispatch,
            log=self.log,
            send=self.node.send,
            find_job_refusal=lambda message: find_job_refusal(self, message),
        )

    def deliver(self, sender: PeerAddress, message: Message) -> None:
        """Handles one message that the link received."""
        route_message(self, sender, message)

    def finish_job(self, job_id: str, answer: Answer) -> None:
        """Passes the final answer of a job to the home."""
        self.home.finish(job_id, answer)

    def start_task(self, record: TaskRecord) -> None:
        """Starts a task on a thread; ``end_task`` is called on the loop when it ends.

        The permit to start ends with the configuration lease, or earlier with the
        task's own deadline.
        """
        self.log.record(
            EventName.TASK_STARTED, job=record.task.job_id, index=record.task.index
        )
        permit_expires_at = min(self.configuration.lease_until, record.expires_at)
        self.threads.submit(self._run_task, record, permit_expires_at)

    def _run_task(self, record: TaskRecord, permit_expires_at: float) -> None:
        try:
            result = self._call_target(record, permit_expires_at)
        except Exception:
            self.log.record_exception(f"calling the target for {record.task.job_id}")
            reason = "the agent failed while calling the target"
            result = TargetResult(TaskState.UNKNOWN, b"", reason, 0.0)
        self.loop.call_soon_threadsafe(self.end_task, record, result)

    def _call_target(
        self, record: TaskRecord, permit_expires_at: float
    ) -> TargetResult:
        task = record.task
        remaining_s = max(0.0, record.expires_at - self.clock())
        return self.target.call(
            task.job_id,
            task.index,
            task.service,
            task.payload,
            permit_expires_at,
            min(MAX_TARGET_CALL_S, remaining_s + TARGET_CALL_GRACE_S),
        )

    def end_task(self, record: TaskRecord, result: TargetResult) -> None:
        """Records and reports a task result, then starts and dispatches more tasks."""
        self.execution.handle_result(record, result)
        self.dispatch.dispatch_ready()

    def apply_heartbeat_reply(self, sender: PeerAddress, reply: HeartbeatReply) -> None:
        """Applies configuration, lease, entries and peers from an entry's reply."""
        listed_peers = self.entries.record_reply(sender, reply)
        self.entries.add(reply.entries)
        if self.configuration.apply_reply(reply):
            revision = self.configuration.configuration.revision
            self.log.record(EventName.CONFIGURATION_APPLIED, revision=revision)
        self.peers.own_ejected = reply.ejected
        self.peers.apply_list(listed_peers, reply.loads)
        self.execution.start_ready()
        self.dispatch.dispatch_ready()

    async def run(self) -> None:
        """Serves until a stop signal, then until all work at this agent has ended."""
        with self.node, self.target, self.store:
            handle_stop_signals(self.loop, self.stop)
            tasks = [
                asyncio.create_task(
                    restart_on_error(
                        self._heartbeat_forever, self.log, HEARTBEAT_INTERVAL_S
                    )
                ),
                asyncio.create_task(
                    run_periodically(TICK_INTERVAL_S, self.tick, self.log)
                ),
            ]
            await self.stopped.wait()
            await self._drain()
            for task in tasks:
                task.cancel()
            announce_end(self)
            await asyncio.sleep(DRAIN_LINGER_S)
        self.threads.shutdown(wait=False)

    def stop(self) -> None:
        """Starts the drain; later calls have no effect."""
        if self.stopped.is_set():
            return
        self.log.record(EventName.DRAINING)
        self.configuration.leaving = True
        self.peers.own_leaving = True
        self.execution.start_ready()
        self.send_heartbeats()
        announce_leaving(self)
        self.stopped.set()

    async def _drain(self) -> None:
        while self.dispatch.jobs or self.execution.running:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await asyncio.sleep(DRAIN_NOTICE_S)
        settle_deadline = self.clock() + DRAIN_SETTLE_TIMEOUT_S
        while self.execution.has_unsettled() and self.clock() < settle_deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def tick(self) -> None:
        """Runs the time-dependent steps of all controllers and logs lease changes."""
        self.execution.tick()
        self.dispatch.tick()
        self.admission.tick()
        self._log_lease_change()

    def _log_lease_change(self) -> None:
        has_lease = self.configuration.has_lease()
        if has_lease != self.had_lease:
            self.had_lease = has_lease
            name = EventName.LEASE_RENEWED if has_lease else EventName.LEASE_LOST
            self.log.record(name)

    async def _heartbeat_forever(self) -> None:
        while True:
            if self.store_read_backoff.is_due(self.entries.is_isolated()):
                await self._read_entries()
            for entry in self.entries.list_to_redial():
                self.node.redial(entry.address.link)
            self.send_heartbeats()
            self.node.close_idle_links()
            lease_s = self.configuration.lease_until - self.clock()
            is_expiring = lease_s < HEARTBEAT_INTERVAL_S
            interval_s = (
                EXPIRING_LEASE_HEARTBEAT_INTERVAL_S
                if is_expiring
                else HEARTBEAT_INTERVAL_S
            )
            await asyncio.sleep(add_jitter(interval_s, HEARTBEAT_JITTER_RATIO))

    async def _read_entries(self) -> None:
        listed = await self.loop.run_in_executor(
            None, list_entries, self.store, self.log
        )
        if listed.is_ok():
            self.entries.add(listed.unwrap())

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to each entry that this agent reports to."""
        for entry in self.entries.choose():
            self.node.send(entry.address, make_heartbeat(self, entry))


def run_agent(settings: AgentSettings) -> int:
    """Runs an agent until a stop signal; returns the exit code."""
    # A target's malformed response is reported in the task's result; urllib3 would
    # also print it.
    logging.getLogger("urllib3").setLevel(logging.CRITICAL)
    with EventLog("agent", mint_incarnation(), settings.availability_zone) as log:
        log.record(EventName.PROCESS_STARTED, link=settings.link)
        asyncio.run(_run(settings, log))
        log.record(EventName.PROCESS_STOPPED)
    return 0


async def _run(settings: AgentSettings, log: EventLog) -> None:
    await Agent(settings, log).run()
