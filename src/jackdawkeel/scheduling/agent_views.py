"""The agents as an entry sees them, each view with its age."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from statistics import median_high
from typing import TYPE_CHECKING

from ..events import EventName
from ..policy.packing import TargetCapacity
from ..policy.suspects import TargetQuality
from ..policy.suspects import find_suspects
from .leases import LINK_SILENCE_S
from .leases import latest_end


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import PeerAddress
    from ..messages.scheduling import AgentReport
    from .resources import Resources


# An agent whose report is older gets no new orders; two reports may be lost.
USABLE_AGE_S = 0.5
# Reports of changed room that an entry wants to hear in a second, beside the full ones;
# as many as the full reports of 80 agents.
MAX_CHANGES_PER_S = 400


@dataclass(slots=True, eq=False)
class AgentView:
    """An agent as this entry last heard it.

    Attributes:
        address: The agent's process.
        report: Its newest report.
        heard_at: When that came, in seconds of the entry's clock.
        updates_through: The last update taken from it.
        unseen: Demands of orders sent that its reports do not count yet, by number.
        is_silent: Whether its silence has been logged.
    """

    address: PeerAddress
    report: AgentReport
    heard_at: float
    updates_through: int = 0
    unseen: dict[int, Resources] = field(default_factory=dict)
    is_silent: bool = False

    def free_capacity(self) -> Resources:
        """Returns what is free after the orders that are still on their way."""
        free = self.report.free
        for demand in self.unseen.values():
            free = free.minus(demand)
        return free


class AgentViews:
    """Keeps the reports of all agents."""

    def __init__(
        self,
        availability_zone: str,
        clock: Clock,
        log: EventLog,
        redial: Callable[[str], None],
    ) -> None:
        self.availability_zone = availability_zone
        self.clock = clock
        self.log = log
        self.redial = redial
        self.views: dict[str, AgentView] = {}
        self.links: dict[str, str] = {}
        self.suspects: dict[str, frozenset[str]] = {}

    def take_report(
        self, sender: PeerAddress, report: AgentReport
    ) -> tuple[AgentView, str | None]:
        """Records a report.

        Returns:
            The view, and the incarnation that the sender has replaced, if any. The
            sender reports only after its target ran nothing of that incarnation.
        """
        now = self.clock()
        view = self.views.get(sender.incarnation)
        if view is not None:
            if report.sent_at >= view.report.sent_at:
                view.report = report
            view.heard_at = now
            if view.is_silent:
                view.is_silent = False
                self._log_heard(view)
        else:
            view = AgentView(sender, report, now)
            self.views[sender.incarnation] = view
            self._log_heard(view)
        replaced = self.links.get(sender.link)
        self.links[sender.link] = sender.incarnation
        if replaced == sender.incarnation:
            replaced = None
        if replaced is not None:
            self.views.pop(replaced, None)
        view.unseen = {
            number: demand
            for number, demand in view.unseen.items()
            if number > report.orders_through
        }
        return view, replaced

    def _log_heard(self, view: AgentView) -> None:
        target = view.report.target
        self.log.record(
            EventName.AGENT_HEARD,
            agent=view.address.incarnation,
            node=target.node,
            service=target.service,
            accepting=target.accepting,
            cpu_millis=target.capacity.cpu_millis,
        )

    def find_gone(self) -> list[AgentView]:
        """Removes and returns agents that certainly run nothing of this entry."""
        now = self.clock()
        gone = [view for view in self.views.values() if now > latest_end(view.heard_at)]
        for view in gone:
            del self.views[view.address.incarnation]
            if self.links.get(view.address.link) == view.address.incarnation:
                del self.links[view.address.link]
        return gone

    def note_silence(self) -> None:
        """Logs agents that have become silent, and dials them anew."""
        now = self.clock()
        for view in self.views.values():
            silent_s = now - view.heard_at
            if silent_s < LINK_SILENCE_S:
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

    def usable(self, service: str, evacuated: frozenset[str]) -> Iterator[AgentView]:
        """Yields the agents that may get orders for a service."""
        oldest = self.clock() - USABLE_AGE_S
        for view in self.views.values():
            target = view.report.target
            if not target.accepting or target.service != service:
                continue
            if view.heard_at >= oldest and target.availability_zone not in evacuated:
                yield view

    def change_interval_s(self) -> float:
        """Returns how often agents may report changed room, in seconds.

        Load it answers: in a large fleet the room of some agent changes all the time,
        and each entry hears of each change.
        """
        return len(self.views) / MAX_CHANGES_PER_S

    def usual_slowness(self) -> float:
        """Returns the median of the slowness that agents report, at least 1."""
        known = [view.report.slowness for view in self.views.values()]
        return max(1.0, median_high(known)) if known else 1.0

    def has_accepting(self) -> bool:
        """Returns whether any agent takes new tasks."""
        return any(view.report.target.accepting for view in self.views.values())

    def target_capacities(
        self, service: str, evacuated: frozenset[str]
    ) -> list[TargetCapacity]:
        """Returns the targets that may run tasks of a service, with their capacity.

        Those that serve their tasks much worse than the others are left out.
        """
        usable = list(self.usable(service, evacuated))
        suspects = self._find_suspects(service, usable)
        return [
            TargetCapacity(
                name=view.address.incarnation,
                labels=frozenset(view.report.target.labels),
                free=view.free_capacity(),
                capacity=view.report.target.capacity,
                is_local=view.report.target.availability_zone == self.availability_zone,
                slowness=view.report.slowness,
            )
            for view in usable
            if view.address.incarnation not in suspects
        ]

    def _find_suspects(self, service: str, usable: list[AgentView]) -> frozenset[str]:
        qualities = [
            TargetQuality(
                name=view.address.incarnation,
                ended=view.report.recent_ended,
                failed=view.report.recent_failed,
                slowness=view.report.slowness,
            )
            for view in usable
        ]
        suspects = find_suspects(qualities)
        if suspects != self.suspects.get(service, frozenset()):
            self.suspects[service] = suspects
            suspected = [item for item in qualities if item.name in suspects]
            self.log.record(
                EventName.TARGETS_SUSPECTED,
                service=service,
                nodes=[self.views[item.name].report.target.node for item in suspected],
                ended=[item.ended for item in suspected],
                failed=[item.failed for item in suspected],
                slowness=[item.slowness for item in suspected],
            )
        return suspects
