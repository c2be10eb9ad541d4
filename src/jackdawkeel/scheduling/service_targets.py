"""Selects the targets that the tasks of a queue may use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import EventName
from ..policy.confinement import find_confined_share


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..logs import EventLog
    from ..policy.packing import TargetCapacity
    from .agent_views import AgentViews
    from .crash_records import CrashRecords
    from .queue_loads import QueueLoads
    from .specification import Queue


class ServiceTargets:
    """The usable targets of each service, apart for queues that crash targets."""

    def __init__(
        self,
        views: AgentViews,
        crashes: CrashRecords,
        loads: QueueLoads,
        evacuated_zones: Callable[[], frozenset[str]],
        log: EventLog,
    ) -> None:
        """Creates the selection.

        Args:
            views: The agents, as the entry knows them.
            crashes: Crashes of targets, and the tasks that may have caused them.
            loads: Recent work of each queue, and the confined queues.
            evacuated_zones: Returns the evacuated availability zones.
            log: Event log.
        """
        self.views = views
        self.crashes = crashes
        self.loads = loads
        self.evacuated_zones = evacuated_zones
        self.log = log

    def find(self, queue: Queue) -> list[TargetCapacity]:
        """Returns the targets that tasks of a queue may use, with their capacity."""
        evacuated = self.evacuated_zones()
        targets = self.views.target_capacities(queue.service, evacuated)
        loads = self.loads
        if not loads.confined:
            return targets
        offered = {
            name: load.offered_s
            for name, load in loads.by_service[queue.service].items()
        }
        share = find_confined_share(loads.confined, offered)
        agents = self.views.confined_agents(queue.service, evacuated, share)
        if not agents:
            return targets
        is_confined = queue.name in loads.confined
        return [target for target in targets if (target.name in agents) == is_confined]

    def update_confinement(self) -> None:
        """Confines the queues whose tasks crash targets, and releases the others."""
        confined = self.crashes.confined_queues()
        if confined != self.loads.confined:
            self.loads.confined = confined
            self.log.record(EventName.QUEUES_CONFINED, queues=sorted(confined))
