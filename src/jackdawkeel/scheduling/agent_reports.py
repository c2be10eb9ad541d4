"""Sends reports of an agent to the entries that it has chosen."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..messages.scheduling import AgentReport
from ..messages.scheduling import TargetView
from ..policy.neighbourhood import choose_entries
from ..policy.neighbourhood import count_entries
from ..policy.neighbourhood import update_idle_since
from ..policy.neighbourhood import weigh_entry
from ..policy.reporting import choose_change_interval_s
from .crash_records import ExchangeProgress
from .leases import LINK_SILENCE_TIMEOUT_S
from .leases import REPORT_INTERVAL_S
from .run_replicas import RunReplicas


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..clock import Clock
    from ..messages import Message
    from ..messages import PeerAddress
    from ..messages.ownership import KnownEntry
    from ..messages.scheduling import CrashExchange
    from .owners import Owner
    from .process_settings import ProcessSettings
    from .resources import Resources
    from .target_state import TargetState
    from .task_executor import TaskExecutor


# Time between reports to an entry from which no message arrives.
SILENT_ENTRY_INTERVAL_S = 0.5
# Time between reconnects to a silent entry, as a fraction of its silence so far.
REDIAL_SILENCE_FRACTION = 0.25
# An entry is removed after this time without a message from it or an announcement.
ENTRY_EXPIRY_S = 20.0
# Silence after which another entry is chosen in addition, until the silent one replies.
REPLACEMENT_SILENCE_S = 1.0
# Time for which an entry that has asked for reports receives them.
REQUESTED_REPORTS_S = 1.5


@dataclass(slots=True)
class EntryContact:
    """An entry that the agent knows.

    Attributes:
        address: Address of its process; the incarnation is empty until it is known.
        weight: Its rank among the entries that the agent may choose.
        chosen_at: When the agent chose to report to it; None if it has not. The agent
            also reports to an owner of open assignments that it has not chosen.
        last_seen_at: When a message from it last arrived; 0 if never.
        announced_at: When it was last announced as an entry.
        full_report_at: When the last full report was sent.
        sent_at: When any report was last sent.
        reported_free: The free capacity in the last report.
        reported_accepting: Whether the target accepted new tasks in the last report.
        redialled_at: When its connection was last replaced.
        change_interval_s: Minimum time between reports of changed free capacity that
            the entry requests, in seconds.
        is_reported_to: Whether the entry expects further reports.
        crashes: How far crashes were exchanged with it.
        requested_until: Until when it has asked for reports, also if it is not chosen.
        is_behind: Whether it has started, or was cut off, or another entry has fallen
            silent, and it has not received what the agent keeps of other entries.
        caught_up_by: When the first report that contains it was sent, if any.
    """

    address: PeerAddress
    weight: int
    chosen_at: float | None = None
    last_seen_at: float = 0.0
    announced_at: float = 0.0
    full_report_at: float = 0.0
    sent_at: float = 0.0
    reported_free: Resources | None = None
    reported_accepting: bool = False
    redialled_at: float = 0.0
    change_interval_s: float = 0.0
    is_reported_to: bool = False
    crashes: ExchangeProgress = field(default_factory=ExchangeProgress)
    requested_until: float = 0.0
    is_behind: bool = True
    caught_up_by: float | None = None

    def measure_silence_s(self, now: float) -> float:
        """Returns for how long it has not replied to reports, in seconds."""
        return now - max(self.last_seen_at, self.chosen_at or 0.0)

    def set_behind(self) -> None:
        """Makes the next full reports include what the agent keeps of entries."""
        self.is_behind = True
        self.caught_up_by = None

    def is_silent(self, now: float) -> bool:
        """Returns whether it has been chosen for some time, but does not reply."""
        is_chosen = self.chosen_at is not None
        return is_chosen and self.measure_silence_s(now) > REPLACEMENT_SILENCE_S


class AgentReports:
    """Decides which report is sent to which entry and when.

    Attributes:
        contacts: All known entries, by link address.
        chosen_at: When entries were last chosen, in seconds of the clock.
        is_choice_outdated: Whether entries were added since.
        idle_since: Since when the target has been idle; None if it is not.
        replicas: What the agent keeps of the entries.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        clock: Clock,
        target: TargetState,
        executor: TaskExecutor,
        send: Callable[[PeerAddress, Message], None],
        redial: Callable[[str], bool],
        reported_entries: int,
    ) -> None:
        """Creates the reports of an agent that knows no entry yet.

        Args:
            settings: Settings of the process.
            clock: Clock in seconds.
            target: The agent's knowledge about its target.
            executor: The assignments that it runs.
            send: Sends a message to a process.
            redial: Replaces the connection to a link address, unless that was done
                shortly before; returns whether it did.
            reported_entries: Number of entries to report to.
        """
        self.settings = settings
        self.clock = clock
        self.target = target
        self.executor = executor
        self.send = send
        self.redial = redial
        self.reported_entries = reported_entries
        self.contacts: dict[str, EntryContact] = {}
        self.chosen_at = 0.0
        self.is_choice_outdated = True
        self.idle_since: float | None = None
        self.replicas = RunReplicas(settings.dialled_link, clock)

    def add_entries(self, addresses: Iterable[PeerAddress]) -> None:
        """Adds entries found in the settings, the store or a message."""
        now = self.clock()
        for address in addresses:
            contact = self.contacts.get(address.link)
            if contact is None:
                weight = weigh_entry(self.settings.dialled_link, address.link)
                contact = self.contacts[address.link] = EntryContact(address, weight)
                self.is_choice_outdated = True
            contact.announced_at = now

    def record_contact(self, address: PeerAddress) -> None:
        """Records a message from an entry, which may be a new process at its link."""
        self.add_entries([address])
        contact = self.contacts[address.link]
        if contact.address != address:
            contact.address = address
            contact.full_report_at = 0.0
            contact.crashes = ExchangeProgress()
            contact.set_behind()
        now = self.clock()
        if now > contact.last_seen_at + LINK_SILENCE_TIMEOUT_S:
            contact.set_behind()
        contact.last_seen_at = now
        self.replicas.record_contact(address)

    def record_beat(self, address: PeerAddress, echo: float) -> None:
        """Records the reply of an entry to the full report that was sent at a time."""
        contact = self.contacts[address.link]
        if contact.caught_up_by is not None and echo >= contact.caught_up_by:
            contact.is_behind = False

    def record_request(self, address: PeerAddress) -> None:
        """Sends reports for some time to an entry that has asked for them."""
        contact = self.contacts[address.link]
        contact.requested_until = self.clock() + REQUESTED_REPORTS_S
        if not contact.is_reported_to:
            contact.full_report_at = 0.0

    def receive_crashes(
        self, address: PeerAddress, exchange: CrashExchange | None
    ) -> None:
        """Records the crashes that an entry knows."""
        progress = self.contacts[address.link].crashes
        self.executor.crashes.receive(exchange, progress, address.incarnation)

    def set_change_interval(self, address: PeerAddress, interval_s: float) -> None:
        """Sets the minimum time between reports of changed capacity, in seconds."""
        self.contacts[address.link].change_interval_s = interval_s

    def tick(self) -> None:
        """Sends the reports that are due."""
        if not self.target.is_prepared:
            return
        now = self.clock()
        free = self.executor.free_capacity()
        is_refusing = self.target.find_refusal(now) is not None
        if now >= self.chosen_at + REPORT_INTERVAL_S or self.is_choice_outdated:
            self._choose_entries(now, free)
        if self.replicas.has_newly_silent():
            for contact in self.contacts.values():
                contact.set_behind()
        for contact in list(self.contacts.values()):
            if self._is_reported_to(contact, now):
                self._report_if_due(contact, now, free, is_refusing)
                self._replace_silent_link(contact, now)
            elif contact.is_reported_to:
                self._send(contact, is_full=False)
            if now > max(contact.last_seen_at, contact.announced_at) + ENTRY_EXPIRY_S:
                del self.contacts[contact.address.link]

    def _choose_entries(self, now: float, free: Resources) -> None:
        self.chosen_at = now
        self.is_choice_outdated = False
        free_share = free.cpu_millis / max(1, self.target.capacity.cpu_millis)
        self.idle_since = update_idle_since(self.idle_since, now, free_share)
        count = count_entries(self.reported_entries, now, self.idle_since)
        ranked = sorted(
            self.contacts, key=lambda link: self.contacts[link].weight, reverse=True
        )
        chosen = choose_entries(
            ranked,
            lambda link: self.contacts[link].is_silent(now),
            count,
        )
        for link, contact in self.contacts.items():
            if link in chosen:
                if contact.chosen_at is None:
                    contact.chosen_at = now
                    contact.full_report_at = 0.0
            else:
                contact.chosen_at = None

    def _is_reported_to(self, contact: EntryContact, now: float) -> bool:
        is_requested = now < contact.requested_until
        is_chosen = contact.chosen_at is not None
        return is_chosen or is_requested or self._has_open_work(contact)

    def _has_open_work(self, contact: EntryContact) -> bool:
        owner = self.executor.leases.owners.get(contact.address.incarnation)
        return owner is not None and bool(owner.runs or owner.updates)

    def _report_if_due(
        self, contact: EntryContact, now: float, free: Resources, is_refusing: bool
    ) -> None:
        is_responsive = now < contact.last_seen_at + LINK_SILENCE_TIMEOUT_S
        full_interval_s = (
            REPORT_INTERVAL_S if is_responsive else SILENT_ENTRY_INTERVAL_S
        )
        if now >= contact.full_report_at + full_interval_s:
            self._send(contact, is_full=True)
            return
        if contact.reported_accepting and is_refusing:
            # Entries would assign tasks to a target that refuses them, for example
            # because it drains, until the next report.
            self._send(contact, is_full=False)
            return
        is_changed = free != contact.reported_free
        interval_s = choose_change_interval_s(
            contact.change_interval_s, REPORT_INTERVAL_S
        )
        if is_responsive and is_changed and now >= contact.sent_at + interval_s:
            self._send(contact, is_full=False)

    def _replace_silent_link(self, contact: EntryContact, now: float) -> None:
        silent_s = contact.measure_silence_s(now)
        wait_s = max(LINK_SILENCE_TIMEOUT_S, REDIAL_SILENCE_FRACTION * silent_s)
        is_due = now > contact.redialled_at + wait_s
        is_silent = silent_s > LINK_SILENCE_TIMEOUT_S
        if is_silent and is_due and self.redial(contact.address.link):
            contact.redialled_at = now

    def report_changes(self, owners: Iterable[Owner]) -> None:
        """Sends a report with its new updates to each of the owners."""
        for owner in owners:
            contact = self.contacts.get(owner.address.link)
            if contact is not None and contact.address == owner.address:
                self._send(contact, is_full=False)

    def send_all(self) -> None:
        """Sends a full report to every entry that the agent reports to."""
        for contact in self.contacts.values():
            if contact.is_reported_to:
                self._send(contact, is_full=True)

    def _send(self, contact: EntryContact, *, is_full: bool) -> None:
        now = self.clock()
        owner = self.executor.leases.owners.get(contact.address.incarnation)
        free = self.executor.free_capacity()
        contact.sent_at = now
        contact.reported_free = free
        if is_full:
            contact.full_report_at = now
        is_chosen = contact.chosen_at is not None
        is_accepting = is_chosen and self.target.find_refusal(now) is None
        contact.reported_accepting = is_accepting
        contact.is_reported_to = self._is_reported_to(contact, now)
        ended, failed = self.executor.quality.recent_ends
        report = AgentReport(
            sent_at=now,
            target=self._describe_target(is_accepting),
            free=free,
            assignments_through=0 if owner is None else owner.assignments_through,
            updates=[] if owner is None else owner.collect_updates(is_full),
            is_full=is_full,
            open_assignments=[] if owner is None or not is_full else list(owner.runs),
            slowness=round(self.executor.quality.slowness, 2),
            recent_ended=ended,
            recent_failed=failed,
            is_last=not contact.is_reported_to,
            crashes=self.executor.crashes.collect(
                contact.crashes, contact.address.incarnation
            ),
            has_trial=self.executor.has_trial(),
            entries=self._list_missed(contact) if is_full else [],
        )
        self.send(contact.address, report)

    def _list_missed(self, contact: EntryContact) -> list[KnownEntry]:
        """Returns the other entries, if a recipient has not received them."""
        if not contact.is_behind:
            return []
        if contact.caught_up_by is None:
            contact.caught_up_by = self.clock()
        return self.replicas.list_others(contact.address)

    def _describe_target(self, is_accepting: bool) -> TargetView:
        report = self.target.report
        return TargetView(
            node=self.settings.node,
            service="" if report is None else report.service,
            availability_zone=self.settings.availability_zone,
            labels=[] if report is None else list(report.labels),
            capacity=self.target.capacity,
            accepting=is_accepting,
        )
