"""The assignments of an entry whose tasks may be running."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .job import Job
    from .job import OpenAssignment


@dataclass(slots=True)
class ClaimedCapacity:
    """Processors that the open assignments of one service claim.

    Attributes:
        cores: Claimed processors.
        work_s: Expected processor seconds of the assignments from their start.
    """

    cores: float = 0.0
    work_s: float = 0.0

    @property
    def freed_cores_per_s(self) -> float:
        """Processors that the ends of these assignments free per second."""
        return self.cores * self.cores / self.work_s if self.work_s > 0 else 0.0


class OpenAssignments:
    """Open assignments by number, agent and job id, and the capacity they claim.

    Attributes:
        unreachable: Incarnations of agents whose assignments claim no capacity, because
            the agents are not counted as capacity either.
        added_job_ids: Jobs whose assignments were added since they were last sent to
            the agents with replicas.
    """

    def __init__(self) -> None:
        self.unreachable: set[str] = set()
        self.added_job_ids: set[str] = set()
        self.by_number: dict[int, OpenAssignment] = {}
        self.by_agent: defaultdict[str, dict[int, OpenAssignment]] = defaultdict(dict)
        self.by_job_id: defaultdict[str, dict[int, OpenAssignment]] = defaultdict(dict)
        self.claimed: defaultdict[str, ClaimedCapacity] = defaultdict(ClaimedCapacity)

    def __len__(self) -> int:
        return len(self.by_number)

    def add(self, assignment: OpenAssignment) -> None:
        """Adds an assignment that is about to be sent."""
        self.by_number[assignment.number] = assignment
        self.by_agent[assignment.agent][assignment.number] = assignment
        job_id = assignment.job.spec.job_id
        self.by_job_id[job_id][assignment.number] = assignment
        assignment.job.open_assignments[assignment.number] = assignment
        self.added_job_ids.add(job_id)
        self._claim(assignment, 1)

    def close(self, assignment: OpenAssignment) -> None:
        """Removes an assignment whose task can't be running any more."""
        if self.by_number.pop(assignment.number, None) is None:
            return
        self.by_agent[assignment.agent].pop(assignment.number, None)
        if not self.by_agent[assignment.agent]:
            del self.by_agent[assignment.agent]
        job_id = assignment.job.spec.job_id
        self.by_job_id[job_id].pop(assignment.number, None)
        if not self.by_job_id[job_id]:
            del self.by_job_id[job_id]
        assignment.job.open_assignments.pop(assignment.number, None)
        if assignment.agent not in self.unreachable:
            self._claim(assignment, -1)
        elif assignment.agent not in self.by_agent:
            self.unreachable.remove(assignment.agent)

    def set_reachable(self, agent: str, *, is_reachable: bool) -> None:
        """Sets whether the assignments of an agent claim capacity."""
        if agent not in self.by_agent or is_reachable != (agent in self.unreachable):
            return
        if is_reachable:
            self.unreachable.remove(agent)
        else:
            self.unreachable.add(agent)
        for assignment in self.by_agent[agent].values():
            self._claim(assignment, 1 if is_reachable else -1)

    def list_of_agent(self, agent: str) -> list[OpenAssignment]:
        """Returns the assignments of an agent, by its incarnation."""
        return list(self.by_agent.get(agent, {}).values())

    def has_job(self, job_id: str) -> bool:
        """Returns whether any task of a job may be running."""
        return job_id in self.by_job_id

    def has_earlier_submission(self, job: Job) -> bool:
        """Returns whether tasks of an earlier job with the same id may be running."""
        of_same_id = self.by_job_id.get(job.spec.job_id, {})
        return any(assignment.job is not job for assignment in of_same_id.values())

    def _claim(self, assignment: OpenAssignment, sign: int) -> None:
        claimed = self.claimed[assignment.job.queue.service]
        cores = sign * assignment.demand.cpu_millis / 1000
        claimed.cores += cores
        claimed.work_s += cores * assignment.expected_s
