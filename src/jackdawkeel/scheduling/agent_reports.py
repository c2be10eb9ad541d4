"""Reports of an agent to the entries that it knows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..messages.scheduling import AgentReport
from ..messages.scheduling import TargetView
from .leases import LINK_SILENCE_S
from .leases import REPORT_INTERVAL_S


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..clock import Clock
    from ..messages import Message
    from ..messages import PeerAddress
    from .owners import Owner
    from .process_settings import ProcessSettings
    from .resources import Resources
    from .target_state import TargetState
    from .task_executor import TaskExecutor


# Least time between reports to an entry whose orders have not changed.
CHANGE_INTERVAL_S = 0.05
# Time between reports to an entry that has not been heard.
UNHEARD_INTERVAL_S = 0.5
# Part of its silence after which an entry's connection is replaced again.
REDIAL_SHARE = 0.25
# An entry that was not heard for so long, and that nobody names, is forgotten.
FORGET_S = 20.0


@dataclass(slots=True)
class EntryContact:
    """An entry that the agent reports to.

    Attributes:
        address: Its process; the incarnation is empty until it is known.
        heard_at: When a message from it last came; 0 if never.
        named_at: When something last named it as an entry.
        full_at: When the last full report was sent.
        sent_at: When any report was last sent.
        shown_free: The free room that it was last told.
        redialed_at: When its connection was last replaced.
        change_interval_s: Least time between reports of changed room that it asks for.
    """

    address: PeerAddress
    heard_at: float = 0.0
    named_at: float = 0.0
    full_at: float = 0.0
    sent_at: float = 0.0
    shown_free: Resources | None = None
    redialed_at: float = 0.0
    change_interval_s: float = 0.0


class AgentReports:
    """Decides when which entry is told what."""

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        clock: Clock,
        target: TargetState,
        executor: TaskExecutor,
        send: Callable[[PeerAddress, Message], None],
        redial: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.target = target
        self.executor = executor
        self.send = send
        self.redial = redial
        self.contacts: dict[str, EntryContact] = {}

    def add_entries(self, addresses: Iterable[PeerAddress]) -> None:
        """Adds entries that something names."""
        now = self.clock()
        for address in addresses:
            contact = self.contacts.get(address.link)
            if contact is None:
                contact = self.contacts[address.link] = EntryContact(address)
            contact.named_at = now

    def note_heard(self, address: PeerAddress) -> None:
        """Records that a message of an entry came, which may be a new process."""
        self.add_entries([address])
        contact = self.contacts[address.link]
        if contact.address != address:
            contact.address = address
            contact.full_at = 0.0
        contact.heard_at = self.clock()

    def set_change_interval(self, address: PeerAddress, interval_s: float) -> None:
        """Takes how often an entry wants to hear of changed room, in seconds."""
        self.contacts[address.link].change_interval_s = interval_s

    def tick(self) -> None:
        """Sends the reports that are due."""
        if not self.target.is_prepared:
            return
        now = self.clock()
        free = self.executor.free_capacity()
        for contact in list(self.contacts.values()):
            self._report_if_due(contact, now, free)
            self._replace_silent_link(contact, now)
            if now > max(contact.heard_at, contact.named_at) + FORGET_S:
                del self.contacts[contact.address.link]

    def _report_if_due(
        self, contact: EntryContact, now: float, free: Resources
    ) -> None:
        is_heard = now < contact.heard_at + LINK_SILENCE_S
        full_interval_s = REPORT_INTERVAL_S if is_heard else UNHEARD_INTERVAL_S
        if now >= contact.full_at + full_interval_s:
            self._send(contact, is_full=True)
            return
        is_changed = free != contact.shown_free
        interval_s = max(CHANGE_INTERVAL_S, contact.change_interval_s)
        if is_heard and is_changed and now >= contact.sent_at + interval_s:
            self._send(contact, is_full=False)

    def _replace_silent_link(self, contact: EntryContact, now: float) -> None:
        silent_s = now - contact.heard_at
        wait_s = max(LINK_SILENCE_S, REDIAL_SHARE * silent_s)
        if silent_s > LINK_SILENCE_S and now > contact.redialed_at + wait_s:
            contact.redialed_at = now
            self.redial(contact.address.link)

    def report_changes(self, owners: Iterable[Owner]) -> None:
        """Sends what has changed to the owners that it concerns."""
        for owner in owners:
            contact = self.contacts.get(owner.address.link)
            if contact is not None and contact.address == owner.address:
                self._send(contact, is_full=False)

    def send_all(self) -> None:
        """Sends a full report to every entry."""
        for contact in self.contacts.values():
            self._send(contact, is_full=True)

    def _send(self, contact: EntryContact, *, is_full: bool) -> None:
        now = self.clock()
        owner = self.executor.owners.get(contact.address.incarnation)
        free = self.executor.free_capacity()
        contact.sent_at = now
        contact.shown_free = free
        if is_full:
            contact.full_at = now
        ended, failed = self.executor.quality.count()
        report = AgentReport(
            sent_at=now,
            target=self._describe_target(now),
            free=free,
            orders_through=0 if owner is None else owner.orders_through,
            updates=[] if owner is None else owner.take_unsent(is_full),
            is_full=is_full,
            open_orders=[] if owner is None or not is_full else list(owner.runs),
            slowness=round(self.executor.read_slowness(), 2),
            recent_ended=ended,
            recent_failed=failed,
        )
        self.send(contact.address, report)

    def _describe_target(self, now: float) -> TargetView:
        report = self.target.report
        return TargetView(
            node=self.settings.node,
            service="" if report is None else report.service,
            availability_zone=self.settings.availability_zone,
            labels=[] if report is None else list(report.labels),
            capacity=self.target.capacity,
            accepting=self.target.find_refusal(now) is None,
        )
