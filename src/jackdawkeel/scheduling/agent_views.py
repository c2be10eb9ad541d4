"""The agents as an entry knows them from their reports."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from statistics import median_high
from typing import TYPE_CHECKING

from ..events import EventName
from ..policy.confinement import choose_confined_targets
from ..policy.packing import TargetCapacity
from ..policy.reporting import request_change_interval_s
from ..policy.suspects import TargetStats
from ..policy.suspects import find_suspects
from ..policy.target_speed import find_kind
from .crash_records import ExchangeProgress
from .leases import LATEST_STOP_S
from .leases import LINK_SILENCE_TIMEOUT_S
from .leases import latest_run_end
from .leases import latest_suspended_run_end
from .run_times import RunTimes


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import PeerAddress
    from ..messages.scheduling import AgentReport
    from ..messages.scheduling import TaskUpdate
    from .resources import Resources


# Agents with an older report get no assignments; two reports may be lost.
USABLE_AGE_S = 0.5
# Number of replaced incarnations that are remembered, because their messages may still
# arrive.
MAX_REPLACED_AGENTS = 4000
# Age up to which suspects, the median slowness and the number of targets of each kind
# are used again: one tick of the entry. Passes of the scheduler are more frequent.
SUMMARY_AGE_S = 0.05


@dataclass(slots=True, eq=False)
class AgentView:
    """An agent as this entry knows it from its newest report.

    Attributes:
        address: Address of the agent's process.
        report: Its newest report.
        last_seen_at: When a report last arrived, in seconds of the entry's clock.
        updates_through: Sequence number of the last update that was applied; no earlier
            one is missing.
        unreported: Demands of assignments, by number, that its reports do not count
            yet.
        is_silent: Whether its silence has been logged.
        listed_version: Version of the list of entries that was last sent to it.
        listed_at: When that list was sent, in seconds of the entry's clock.
        replicas_version: Version of the list of agents with replicas that was last
            sent to it.
        labels: Labels of its target.
        kind: Kind of its target; empty if none.
        crashes: How far crashes were exchanged with it.
        last_trial: Number of the last assignment whose run is on trial there.
        settled_at: When it has stopped the runs of owners whose leases expired before
            it was heard for the first time, or again, in seconds of the entry's clock.
    """

    address: PeerAddress
    report: AgentReport
    last_seen_at: float
    updates_through: int = 0
    unreported: dict[int, Resources] = field(default_factory=dict)
    is_silent: bool = False
    listed_version: int = -1
    listed_at: float = 0.0
    replicas_version: int = -1
    labels: frozenset[str] = frozenset()
    kind: str = ""
    crashes: ExchangeProgress = field(default_factory=ExchangeProgress)
    last_trial: int = 0
    settled_at: float = 0.0

    def __post_init__(self) -> None:
        self._read_labels()

    def set_report(self, report: AgentReport) -> None:
        """Replaces the report."""
        has_new_labels = report.target.labels != self.report.target.labels
        self.report = report
        if has_new_labels:
            self._read_labels()

    def accept_updates(self, report: AgentReport) -> list[TaskUpdate]:
        """Returns the updates of a report that are due, and records their receipt.

        A full report has all updates that are not acknowledged. Any other one may
        follow a lost report, whose updates the next full report repeats.
        """
        accepted = []
        for update in report.updates:
            if update.sequence <= self.updates_through:
                continue
            if not report.is_full and update.sequence != self.updates_through + 1:
                break
            self.updates_through = update.sequence
            accepted.append(update)
        return accepted

    def _read_labels(self) -> None:
        self.labels = frozenset(self.report.target.labels)
        self.kind = find_kind(self.report.target.labels)

    def has_trial(self) -> bool:
        """Returns whether a run that may have crashed a target is on trial there."""
        return self.report.has_trial or self.last_trial in self.unreported

    def free_capacity(self) -> Resources:
        """Returns the reported free capacity, less that of unreported assignments."""
        free = self.report.free
        for demand in self.unreported.values():
            free = free.minus(demand)
        return free


@dataclass(slots=True)
class ServiceSummary:
    """What an entry has derived from the reports of a service's usable agents.

    Attributes:
        made_at: When it was made, in seconds of the entry's clock.
        names: Incarnations of these agents.
        suspects: Those of them whose targets are suspect.
    """

    made_at: float
    names: list[str]
    suspects: frozenset[str]


class AgentViews:
    """The newest reports of all agents.

    Attributes:
        views: The agents that report, by incarnation.
        unreachable: Agents that have not reported for so long that only a suspension of
            their VMs can have kept their runs from ending, by incarnation.
        links: Incarnation of the last agent at each link address, also of one that no
            longer reports, so that a report of its predecessor is recognised.
        replaced: Incarnations of agents that another process at their link address has
            replaced, oldest first.
        run_times: Run times learnt from the ends of runs.
        stops_pending_until: Until when an agent that was silent may be stopping the
            runs of owners whose leases have expired, in seconds of the clock.
    """

    def __init__(
        self,
        availability_zone: str,
        clock: Clock,
        log: EventLog,
        redial: Callable[[str], bool],
    ) -> None:
        self.availability_zone = availability_zone
        self.clock = clock
        self.log = log
        self.redial = redial
        self.views: dict[str, AgentView] = {}
        self.unreachable: dict[str, AgentView] = {}
        self.links: dict[str, str] = {}
        self.replaced: dict[str, None] = {}
        self.run_times = RunTimes(clock, log)
        self.suspects: dict[str, frozenset[str]] = {}
        self.summaries: dict[str, ServiceSummary] = {}
        self.stops_pending_until = 0.0
        self.median = 1.0
        self.median_made_at = -math.inf

    def is_replaced(self, sender: PeerAddress, report: AgentReport) -> bool:
        """Returns whether a newer process has reported from the agent's address.

        Processes of one VM share a clock. After a reboot it starts anew, so an earlier
        time proves nothing once the other process is unreachable.
        """
        if sender.incarnation in self.replaced:
            return True
        current = self.views.get(self.links.get(sender.link, ""))
        if current is None or current.address == sender:
            return False
        return report.sent_at < current.report.sent_at

    def record_report(
        self, sender: PeerAddress, report: AgentReport
    ) -> tuple[AgentView, AgentView | None]:
        """Records a report.

        Returns:
            The view, and the view of the incarnation that the sender has replaced, if
            any. A sender reports only once its target runs nothing of that incarnation.
        """
        now = self.clock()
        if sender.incarnation in self.unreachable:
            returned = self.unreachable.pop(sender.incarnation)
            self.views[sender.incarnation] = returned
        view = self.views.get(sender.incarnation)
        if view is not None:
            if report.sent_at >= view.report.sent_at:
                view.set_report(report)
            if now > view.last_seen_at + USABLE_AGE_S:
                # A further suspension, which interrupts the stops, is noticed until
                # then.
                self.stops_pending_until = now + LATEST_STOP_S + USABLE_AGE_S
                view.settled_at = self.stops_pending_until
            view.last_seen_at = now
            if view.is_silent:
                view.is_silent = False
                self._log_agent_seen(view)
        else:
            view = AgentView(sender, report, now)
            view.settled_at = now + LATEST_STOP_S + USABLE_AGE_S
            self.views[sender.incarnation] = view
            self._log_agent_seen(view)
        previous = self.links.get(sender.link)
        self.links[sender.link] = sender.incarnation
        replaced = None
        if previous is not None and previous != sender.incarnation:
            replaced = self.views.pop(previous, None)
            if replaced is None:
                replaced = self.unreachable.pop(previous, None)
            self.replaced[previous] = None
            if len(self.replaced) > MAX_REPLACED_AGENTS:
                del self.replaced[next(iter(self.replaced))]
        view.unreported = {
            number: demand
            for number, demand in view.unreported.items()
            if number > report.assignments_through
        }
        return view, replaced

    def remove(self, incarnation: str) -> None:
        """Removes an agent that reports to other entries from now on."""
        view = self.views.pop(incarnation, None)
        if view is None:
            return
        self.log.record(
            EventName.AGENT_LEAVING, agent=incarnation, node=view.report.target.node
        )

    def _log_agent_seen(self, view: AgentView) -> None:
        target = view.report.target
        self.log.record(
            EventName.AGENT_HEARD,
            agent=view.address.incarnation,
            node=target.node,
            service=target.service,
            accepting=target.accepting,
            cpu_millis=target.capacity.cpu_millis,
        )

    def set_unreachable(self) -> list[AgentView]:
        """Sets aside and returns the agents that run nothing unless suspended."""
        now = self.clock()
        silent = [
            view
            for view in self.views.values()
            if now > latest_run_end(view.last_seen_at)
        ]
        for view in silent:
            del self.views[view.address.incarnation]
            self.unreachable[view.address.incarnation] = view
        return silent

    def remove_expired(self) -> list[AgentView]:
        """Removes and returns the agents that can't run anything of this entry."""
        now = self.clock()
        expired = [
            view
            for view in self.unreachable.values()
            if now > latest_suspended_run_end(view.last_seen_at)
        ]
        for view in expired:
            del self.unreachable[view.address.incarnation]
        return expired

    def has_silent_agent(self) -> bool:
        """Returns whether runs of an entry that has failed may go on at an agent.

        Agents that are silent may be suspended with their VMs. Those that were silent
        may not have stopped such runs yet.
        """
        now = self.clock()
        oldest = now - USABLE_AGE_S
        return (
            now < self.stops_pending_until
            or bool(self.unreachable)
            or any(view.last_seen_at < oldest for view in self.views.values())
        )

    def is_settled(self, link: str) -> bool:
        """Returns whether an agent has stopped the runs of earlier entries.

        It has if it was heard for long enough without a silence. One that has not
        reported, or was silent soon afterwards, may be suspended.
        """
        view = self.views.get(self.links.get(link, ""))
        return view is not None and view.last_seen_at >= view.settled_at

    def measure_silence_s(self, link: str) -> float:
        """Returns the time since an agent was heard; infinite if it never was."""
        incarnation = self.links.get(link, "")
        view = self.views.get(incarnation) or self.unreachable.get(incarnation)
        return math.inf if view is None else self.clock() - view.last_seen_at

    def list_usable_zones(self) -> dict[str, str]:
        """Returns the zones of the agents that are not silent, by link address."""
        oldest = self.clock() - USABLE_AGE_S
        return {
            view.address.link: view.report.target.availability_zone
            for view in self.views.values()
            if view.last_seen_at >= oldest
        }

    def find_address(self, link: str) -> PeerAddress | None:
        """Returns the address of the agent that reports from a link address."""
        view = self.views.get(self.links.get(link, ""))
        return None if view is None else view.address

    def find_link(self, incarnation: str) -> str | None:
        """Returns the link address of an agent, also if it is unreachable."""
        view = self.views.get(incarnation) or self.unreachable.get(incarnation)
        return None if view is None else view.address.link

    def check_silence(self) -> None:
        """Logs agents that have become silent and replaces their connections."""
        now = self.clock()
        for view in self.views.values():
            silent_s = now - view.last_seen_at
            if silent_s < LINK_SILENCE_TIMEOUT_S:
                continue
            self.redial(view.address.link)
            if not view.is_silent:
                view.is_silent = True
                self.log.record(
                    EventName.AGENT_SILENT,
                    agent=view.address.incarnation,
                    node=view.report.target.node,
                    silent_s=round(silent_s, 3),
                )

    def usable_agents(
        self, service: str, evacuated: frozenset[str]
    ) -> Iterator[AgentView]:
        """Yields the agents that may receive assignments for a service."""
        oldest = self.clock() - USABLE_AGE_S
        for view in self.views.values():
            target = view.report.target
            if not target.accepting or target.service != service:
                continue
            if (
                view.last_seen_at >= oldest
                and target.availability_zone not in evacuated
            ):
                yield view

    def change_interval_s(self) -> float:
        """Returns the minimum time between reports of changed capacity, in seconds."""
        return request_change_interval_s(len(self.views))

    def median_slowness(self) -> float:
        """Returns the median of the slowness that agents report, at least 1.

        It is up to ``SUMMARY_AGE_S`` old.
        """
        now = self.clock()
        if now >= self.median_made_at + SUMMARY_AGE_S:
            self.median_made_at = now
            reported = [view.report.slowness for view in self.views.values()]
            self.median = max(1.0, median_high(reported)) if reported else 1.0
        return self.median

    def has_accepting(self) -> bool:
        """Returns whether any agent accepts new tasks."""
        return any(view.report.target.accepting for view in self.views.values())

    def target_capacities(
        self, service: str, evacuated: frozenset[str]
    ) -> list[TargetCapacity]:
        """Returns the targets that may run tasks of a service, with their capacity.

        Suspect targets are excluded; reports of the last ``SUMMARY_AGE_S`` may not be
        included in that decision.
        """
        usable = list(self.usable_agents(service, evacuated))
        suspects = self._summarise(service, usable).suspects
        factors = {
            kind: self.run_times.find_factor(service, kind)
            for kind in {view.kind for view in usable}
        }
        return [
            TargetCapacity(
                name=view.address.incarnation,
                labels=view.labels,
                free=view.free_capacity(),
                capacity=view.report.target.capacity,
                is_local=view.report.target.availability_zone == self.availability_zone,
                slowness=view.report.slowness,
                run_time_factor=factors[view.kind],
                has_trial=view.has_trial(),
            )
            for view in usable
            if view.address.incarnation not in suspects
        ]

    def confined_agents(
        self, service: str, evacuated: frozenset[str], share: float
    ) -> frozenset[str]:
        """Returns the agents whose targets confined queues of a service use.

        Args:
            service: The service.
            evacuated: Evacuated availability zones.
            share: Part of its targets to use.
        """
        links = {
            view.address.link: view.address.incarnation
            for view in self.views.values()
            if view.report.target.service == service
            and view.report.target.availability_zone not in evacuated
        }
        return frozenset(links[link] for link in choose_confined_targets(links, share))

    def _summarise(self, service: str, usable: list[AgentView]) -> ServiceSummary:
        """Returns the summary of the usable agents, made anew if it is out of date.

        It is valid only for the same agents, because the share of targets that may be
        excluded depends on their number.
        """
        now = self.clock()
        names = [view.address.incarnation for view in usable]
        summary = self.summaries.get(service)
        if (
            summary is None
            or now >= summary.made_at + SUMMARY_AGE_S
            or names != summary.names
        ):
            self.run_times.set_targets(service, self._count_kinds(service))
            suspects = self._find_suspects(service, usable)
            summary = ServiceSummary(now, names, suspects)
            self.summaries[service] = summary
        return summary

    def _count_kinds(self, service: str) -> dict[str, int]:
        targets: dict[str, int] = {}
        for view in self.views.values():
            if view.kind and view.report.target.service == service:
                targets[view.kind] = targets.get(view.kind, 0) + 1
        return targets

    def _find_suspects(self, service: str, usable: list[AgentView]) -> frozenset[str]:
        unsettled = {
            kind
            for kind in {view.kind for view in usable}
            if not self.run_times.is_settled(service, kind)
        }
        target_stats = [
            TargetStats(
                name=view.address.incarnation,
                ended=view.report.recent_ended,
                failed=view.report.recent_failed,
                slowness=view.report.slowness,
                group=view.kind if view.kind in unsettled else "",
            )
            for view in usable
        ]
        suspects = find_suspects(target_stats)
        if suspects != self.suspects.get(service, frozenset()):
            self.suspects[service] = suspects
            suspected = [target for target in target_stats if target.name in suspects]
            self.log.record(
                EventName.TARGETS_SUSPECTED,
                service=service,
                nodes=[
                    self.views[target.name].report.target.node for target in suspected
                ],
                ended=[target.ended for target in suspected],
                failed=[target.failed for target in suspected],
                slowness=[target.slowness for target in suspected],
            )
        return suspects
