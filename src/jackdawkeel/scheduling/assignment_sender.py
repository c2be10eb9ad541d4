"""Assigns tasks of an entry's jobs to agents and stops assignments."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import EventName
from ..messages.scheduling import JobAssignments
from ..messages.scheduling import StartTasks
from ..messages.scheduling import StopTasks
from ..messages.scheduling import TaskAssignment
from ..policy.packing import RunTimeLimit
from ..policy.packing import place_tasks
from ..policy.target_speed import find_distance_factor
from .job import OpenAssignment
from .job import TaskPhase
from .open_assignments import OpenAssignments


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import Message
    from ..messages import PeerAddress
    from ..messages.scheduling import AgentReport
    from ..policy.packing import TargetCapacity
    from .agent_views import AgentView
    from .agent_views import AgentViews
    from .job import Job
    from .job import Task
    from .run_times import RunTimes


# An agent without room returns an assignment at once: another target is likely to have
# room sooner, and the entry knows which of its waiting jobs goes first.
ASSIGNMENT_WAIT_MS = 0
# An older assignment that its agent does not list is considered undelivered.
ASSIGNMENT_RESEND_AGE_S = 0.35
# Time after which a stop is resent if its assignment is still open.
STOP_RESEND_INTERVAL_S = 0.3
# Lost runs of one task after which agents no longer end it for lack of progress.
MAX_LOST_RUNS = 2
MS_PER_S = 1000


class AssignmentSender:
    """Owns the open assignments of an entry and the messages about them.

    Attributes:
        open: The open assignments.
        next_stop_at: When the stop of a cancelled assignment is sent again, by number.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        views: AgentViews,
        run_times: RunTimes,
        send: Callable[[PeerAddress, Message], None],
        remote_slowdown: float,
    ) -> None:
        """Creates a sender without assignments.

        Args:
            clock: Clock in seconds.
            log: Event log.
            views: The agents, as the entry knows them.
            run_times: Predicts run times from the callers' estimates.
            send: Sends a message to a process.
            remote_slowdown: Run time of a task outside the rack of its data, divided by
                that within it.
        """
        self.clock = clock
        self.log = log
        self.views = views
        self.run_times = run_times
        self.send = send
        self.remote_slowdown = remote_slowdown
        self.open = OpenAssignments()
        self.next_number = 1
        self.next_stop_at: dict[int, float] = {}

    def assign_ready_tasks(self, job: Job, targets: list[TargetCapacity]) -> None:
        """Assigns the ready tasks of a job to targets that have room.

        Args:
            job: The job.
            targets: Targets of its service; their free capacity is reduced.
        """
        for index in range(len(job.spec.steps)):
            groups: dict[frozenset[str], list[Task]] = {}
            for task in job.ready_tasks(index):
                groups.setdefault(task.avoided, []).append(task)
            for avoided, tasks in groups.items():
                self._assign_group(job, index, tasks, avoided, targets)

    def _assign_group(
        self,
        job: Job,
        index: int,
        ready: list[Task],
        avoided: frozenset[str],
        targets: list[TargetCapacity],
    ) -> None:
        _count_placed(job, index, targets)
        for target in targets:
            target.is_avoided = target.name in avoided
        limit = RunTimeLimit(
            job.timing.max_slowdown(self.clock()), self.remote_slowdown
        )
        placement = place_tasks(job.spec.steps[index], len(ready), targets, limit)
        by_agent: dict[str, list[Task]] = {}
        for task, name in zip(ready, placement.names, strict=False):
            by_agent.setdefault(name, []).append(task)
        for name, tasks in by_agent.items():
            self._assign_to_agent(job, index, name, tasks)

    def _assign_to_agent(
        self, job: Job, step: int, agent: str, tasks: list[Task]
    ) -> None:
        view = self.views.views[agent]
        now = self.clock()
        assignments = [self._open(job, step, agent, task, now) for task in tasks]
        self._send_start(view, assignments)
        self.log.record(
            EventName.TASK_DISPATCHED,
            job=job.spec.job_id,
            agent=agent,
            node=view.report.target.node,
            orders=[assignment.number for assignment in assignments],
            attempts=max(task.attempts for task in tasks),
            view_age_ms=round(MS_PER_S * (now - view.last_seen_at), 1),
            free_cpu_millis=view.free_capacity().cpu_millis,
            waited_ms=round(MS_PER_S * (now - job.timing.arrived_at), 1),
        )

    def _open(
        self, job: Job, step: int, agent: str, task: Task, now: float
    ) -> OpenAssignment:
        spec = job.spec.steps[step]
        view = self.views.views[agent]
        distance_factor = find_distance_factor(
            spec.preferred_rack, view.labels, self.remote_slowdown
        )
        service = job.queue.service
        expected_s = (
            self.run_times.scale_estimate(
                service, job.queue.name, spec.estimate_ms / MS_PER_S
            )
            * self.run_times.find_factor(service, view.kind)
            * distance_factor
        )
        task.phase = TaskPhase.ASSIGNED
        task.attempts += 1
        assignment = OpenAssignment(
            self.next_number, job, task, agent, spec.demand, now, expected_s
        )
        self.next_number += 1
        self.open.add(assignment)
        view.unreported[assignment.number] = spec.demand
        return assignment

    def _send_start(self, view: AgentView, assignments: list[OpenAssignment]) -> None:
        job = assignments[0].job
        message = JobAssignments(
            job_id=job.spec.job_id,
            queue=job.queue.name,
            priority=job.queue.priority,
            payload=job.spec.payload,
            assignments=[
                TaskAssignment(
                    number=assignment.number,
                    task=assignment.task.name,
                    attempt=assignment.task.attempts,
                    demand=assignment.demand,
                    start_within_ms=ASSIGNMENT_WAIT_MS,
                    expected_ms=round(MS_PER_S * assignment.expected_s),
                    may_move=assignment.task.lost_runs < MAX_LOST_RUNS,
                )
                for assignment in assignments
            ],
        )
        self.send(view.address, StartTasks(view.report.sent_at, [message]))

    def resend_missing(self, view: AgentView, report: AgentReport) -> None:
        """Sends assignments again that a full report of their agent does not list."""
        listed = set(report.open_assignments)
        oldest = self.clock() - ASSIGNMENT_RESEND_AGE_S
        for assignment in self.open.list_of_agent(view.address.incarnation):
            is_missing = assignment.number not in listed
            if assignment.is_cancelled or not is_missing:
                continue
            if assignment.sent_at < oldest:
                # An agent ignores assignments that it has seen.
                assignment.sent_at = self.clock()
                self._send_start(view, [assignment])

    def stop(self, assignments: Iterable[OpenAssignment]) -> None:
        """Asks agents to end assignments; repeated until they have ended."""
        now = self.clock()
        by_agent: dict[str, list[int]] = {}
        for assignment in assignments:
            assignment.is_cancelled = True
            self.next_stop_at[assignment.number] = now + STOP_RESEND_INTERVAL_S
            by_agent.setdefault(assignment.agent, []).append(assignment.number)
        for agent, numbers in by_agent.items():
            view = self.views.views.get(agent)
            if view is not None:
                self.send(view.address, StopTasks(numbers))

    def resend_stops(self) -> None:
        """Repeats the stops that are due."""
        now = self.clock()
        due = [
            self.open.by_number[number]
            for number, at in self.next_stop_at.items()
            if now >= at and number in self.open.by_number
        ]
        self.stop(due)

    def close(self, assignment: OpenAssignment) -> None:
        """Removes an assignment whose task can't be running any more."""
        self.open.close(assignment)
        self.next_stop_at.pop(assignment.number, None)
        view = self.views.views.get(assignment.agent)
        if view is not None:
            view.unreported.pop(assignment.number, None)


def _count_placed(job: Job, index: int, targets: list[TargetCapacity]) -> None:
    placed: dict[str, int] = {}
    for assignment in job.open_assignments.values():
        if assignment.task.step == index:
            placed[assignment.agent] = placed.get(assignment.agent, 0) + 1
    for target in targets:
        target.placed = placed.get(target.name, 0)
