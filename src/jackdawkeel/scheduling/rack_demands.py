"""Demand for the racks that recent and waiting jobs of an entry prefer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..policy.rack_demand import DEMAND_TIME_S
from ..policy.rack_demand import decay_work
from ..policy.rack_demand import reserve_millis


if TYPE_CHECKING:
    from collections.abc import Iterable

    from .job import Job
    from .run_times import RunTimes


# Callers choose the names of racks; beyond this number the oldest record is dropped.
MAX_RACKS = 1000
# Time without a new job after which the record of a small demand is dropped; its work
# has decayed to less than a hundredth.
MAX_IDLE_S = 5 * DEMAND_TIME_S
MS_PER_S = 1000


@dataclass(slots=True)
class RecentWork:
    """Work of the jobs that recently preferred a rack.

    Attributes:
        millis_s: Decayed sum of the run times of their tasks, each multiplied by its
            processors, in thousandths of a core times seconds.
        updated_at: Time of the last decay, in seconds.
    """

    millis_s: float
    updated_at: float


class RackDemands:
    """Demand by service and rack.

    Attributes:
        recent: Work of recent jobs, by service and then by rack.
    """

    def __init__(self, run_times: RunTimes) -> None:
        """Creates an empty record.

        Args:
            run_times: Predicts run times from the callers' estimates.
        """
        self.run_times = run_times
        self.recent: dict[str, dict[str, RecentWork]] = {}

    def record(self, job: Job, now: float) -> None:
        """Records a job that has arrived; ``now`` is in seconds."""
        for step in job.spec.steps:
            if not step.preferred_rack:
                continue
            expected_s = self.run_times.scale_estimate(
                job.queue.service, job.queue.name, step.estimate_ms / MS_PER_S
            )
            racks = self.recent.setdefault(job.queue.service, {})
            work = racks.setdefault(step.preferred_rack, RecentWork(0.0, now))
            work.millis_s = decay_work(work.millis_s, now - work.updated_at)
            work.millis_s += step.count * step.demand.cpu_millis * expected_s
            work.updated_at = now
            if len(racks) > MAX_RACKS:
                del racks[next(iter(racks))]

    def measure(
        self, service: str, waiting: Iterable[Job], now: float
    ) -> dict[str, float]:
        """Returns the processors to keep free by rack, in thousandths of a core.

        Racks whose demand has ended are removed.

        Args:
            service: The service.
            waiting: Jobs that wait for capacity, also those of other services.
            now: Time in seconds.
        """
        racks = self.recent.get(service)
        if not racks:
            return {}
        waiting_millis = _sum_waiting(service, waiting)
        reserves: dict[str, float] = {}
        for rack, work in list(racks.items()):
            recent = decay_work(work.millis_s, now - work.updated_at)
            reserve = reserve_millis(recent, waiting_millis.get(rack, 0.0))
            if reserve:
                reserves[rack] = reserve
            elif now - work.updated_at > MAX_IDLE_S:
                del racks[rack]
        return reserves


def _sum_waiting(service: str, waiting: Iterable[Job]) -> dict[str, float]:
    by_rack: dict[str, float] = {}
    for job in waiting:
        if job.queue.service != service:
            continue
        for index, step in enumerate(job.spec.steps):
            if step.preferred_rack:
                millis = len(job.ready_tasks(index)) * step.demand.cpu_millis
                rack = step.preferred_rack
                by_rack[rack] = by_rack.get(rack, 0.0) + millis
    return by_rack
