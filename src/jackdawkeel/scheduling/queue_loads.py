"""Work that the queues of each service have offered to an entry recently."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..policy.sharing import QueueLoad
from ..policy.sharing import exceeds_share


if TYPE_CHECKING:
    from .job import Job
    from .specification import Queue


# Queues without recent work are removed, so that renamed queues need no memory.
MIN_OFFERED_S = 1e-6


@dataclass(slots=True)
class QueueLoads:
    """Recent work by service and queue.

    Attributes:
        by_service: Load of each queue, by service and name of the queue.
        updated_at: When the loads of a service were last reduced, in seconds.
        confined: Queues that use other targets than the rest of their service.
    """

    by_service: defaultdict[str, dict[str, QueueLoad]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    updated_at: dict[str, float] = field(default_factory=dict)
    confined: frozenset[str] = frozenset()

    def find_load(self, job: Job, now: float) -> QueueLoad:
        """Returns the load of a job's queue, reduced to the present time."""
        service = job.queue.service
        loads = self.by_service[service]
        age_s = now - self.updated_at.get(service, now)
        self.updated_at[service] = now
        for name, load in list(loads.items()):
            load.forget(age_s)
            if load.offered_s < MIN_OFFERED_S:
                del loads[name]
        load = loads.setdefault(job.queue.name, QueueLoad(job.queue.priority))
        load.priority = job.queue.priority
        return load

    def find_pool(self, queue: Queue) -> str:
        """Returns the name of the pool of targets that a queue uses."""
        is_confined = queue.name in self.confined
        return f"{queue.service}/confined" if is_confined else queue.service

    def list_pool(self, queue: Queue) -> list[QueueLoad]:
        """Returns the loads of the queues that use the same targets as a queue."""
        is_confined = queue.name in self.confined
        return [
            load
            for name, load in self.by_service[queue.service].items()
            if (name in self.confined) == is_confined
        ]

    def exceeds_share(self, job: Job, now: float) -> bool:
        """Returns whether the queue of a new job exceeds its share."""
        load = self.find_load(job, now)
        return exceeds_share(load, self.list_pool(job.queue))

    def record(self, job: Job, now: float, *, is_admitted: bool) -> None:
        """Adds a new job, and whether it was admitted to be in time."""
        load = self.find_load(job, now)
        work_s = job.work_s()
        load.offered_s += work_s
        load.admitted_s += work_s * is_admitted
