"""Assigns tasks of an entry's jobs to agents and stops assignments."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from ..events import EventName
from ..messages.scheduling import JobAssignments
from ..messages.scheduling import StartTasks
from ..messages.scheduling import StopTasks
from ..messages.scheduling import TaskAssignment
from ..policy.packing import RunTimeLimit
from ..policy.packing import count_fitting_tasks
from ..policy.packing import place_tasks
from ..policy.target_rank import is_near_data
from ..policy.target_rank import predict_slowdown
from ..policy.target_speed import find_distance_factor
from .job import OpenAssignment
from .job import TaskPhase
from .open_assignments import OpenAssignments
from .rack_demands import RackDemands


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from ..clock import Clock
    from ..logs import EventLog
    from ..messages import Message
    from ..messages import PeerAddress
    from ..messages.scheduling import AgentReport
    from ..policy.packing import TargetCapacity
    from .agent_views import AgentView
    from .agent_views import AgentViews
    from .crash_records import CrashRecords
    from .job import Job
    from .job import Task
    from .run_times import RunTimes
    from .specification import StepSpec


# An agent without room returns an assignment at once: another target is likely to have
# room sooner, and the entry knows which of its waiting jobs goes first.
ASSIGNMENT_WAIT_MS = 0
# An older assignment that its agent does not list is considered undelivered.
ASSIGNMENT_RESEND_AGE_S = 0.35
# Time after which a stop is resent if its assignment is still open.
STOP_RESEND_INTERVAL_S = 0.3
# Lost runs of one task after which agents no longer end it for lack of progress.
MAX_LOST_RUNS = 2
# Jobs whose tasks are held back are recorded, so that each task is counted once. A job
# that ends while it is held remains until this number is reached.
MAX_HELD_JOBS = 1000
MS_PER_S = 1000


class AssignmentSender:
    """Owns the open assignments of an entry and the messages about them.

    Attributes:
        open: The open assignments.
        next_stop_at: When the stop of a cancelled assignment is sent again, by number.
        rack_demands: Demand for the racks that recent and waiting jobs prefer.
        held: Number of tasks of a job that were held back for a target on which they
            end in time, by job id.
        held_total: Number of tasks that were held back since the start, by queue.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        views: AgentViews,
        run_times: RunTimes,
        crashes: CrashRecords,
        send: Callable[[PeerAddress, Message], None],
        remote_slowdown: float,
    ) -> None:
        """Creates a sender without assignments.

        Args:
            clock: Clock in seconds.
            log: Event log.
            views: The agents, as the entry knows them.
            run_times: Predicts run times from the callers' estimates.
            crashes: Crashes of targets, and the tasks that may have caused them.
            send: Sends a message to a process.
            remote_slowdown: Run time of a task outside the rack of its data, divided by
                that within it.
        """
        self.clock = clock
        self.log = log
        self.views = views
        self.run_times = run_times
        self.crashes = crashes
        self.send = send
        self.remote_slowdown = remote_slowdown
        self.open = OpenAssignments()
        self.next_number = 1
        self.next_stop_at: dict[int, float] = {}
        self.rack_demands = RackDemands(run_times)
        self.held: dict[str, int] = {}
        self.held_total: Counter[str] = Counter()

    def assign_ready_tasks(
        self,
        job: Job,
        targets: list[TargetCapacity],
        reserves: Mapping[str, float],
    ) -> None:
        """Assigns the ready tasks of a job to targets that have room.

        Args:
            job: The job.
            targets: Targets of its service; their free capacity is reduced.
            reserves: Processors that tasks without a preferred rack leave free in each
                rack, in thousandths of a core.
        """
        held = 0
        waiting_trials = 0
        for index in range(len(job.spec.steps)):
            groups: dict[frozenset[str], list[Task]] = {}
            for task in job.ready_tasks(index):
                if not self.crashes.trial_s(task.name):
                    groups.setdefault(task.avoided, []).append(task)
                elif not self._assign_suspect(job, task, targets, reserves):
                    waiting_trials += _has_capacity(job, task, targets)
            for avoided, tasks in groups.items():
                held += self._assign_group(
                    job, index, tasks, avoided, targets, reserves
                )
        job.held = held + waiting_trials
        self._count_held(job, held)

    def _assign_suspect(
        self,
        job: Job,
        task: Task,
        targets: list[TargetCapacity],
        reserves: Mapping[str, float],
    ) -> bool:
        """Assigns a task that may have crashed a target to one without a trial.

        Returns:
            Whether it was assigned.
        """
        without_trial = [target for target in targets if not target.has_trial]
        self._assign_group(
            job, task.step, [task], task.avoided, without_trial, reserves
        )
        for assignment in job.open_assignments.values():
            if assignment.task is task:
                self.views.views[assignment.agent].last_trial = assignment.number
                for target in without_trial:
                    target.has_trial |= target.name == assignment.agent
                return True
        return False

    def _assign_group(
        self,
        job: Job,
        index: int,
        ready: list[Task],
        avoided: frozenset[str],
        targets: list[TargetCapacity],
        reserves: Mapping[str, float],
    ) -> int:
        """Assigns equal tasks and returns how many are held back."""
        _count_placed(job, index, targets)
        for target in targets:
            target.is_avoided = target.name in avoided
        now = self.clock()
        limit = RunTimeLimit(
            job.timing.max_slowdown(now),
            self.remote_slowdown,
            may_wait=not _is_late(job),
            predict_release=partial(self._predict_release, job.timing.expected_s, now),
        )
        step = job.spec.steps[index]
        placement = place_tasks(step, len(ready), targets, limit, reserves)
        by_agent: dict[str, list[Task]] = {}
        for task, name in zip(ready, placement.names, strict=False):
            by_agent.setdefault(name, []).append(task)
        chosen = {target.name: target for target in placement.targets}
        for name, tasks in by_agent.items():
            self._assign_to_agent(job, index, chosen[name], tasks)
        return placement.held

    def _predict_release(
        self, expected_s: float, now: float, target: TargetCapacity
    ) -> float:
        """Returns when a full target may have capacity, in expected run times.

        Runs of other entries may end at any time.
        """
        own = self.open.list_of_agent(target.name)
        claimed = sum(assignment.demand.cpu_millis for assignment in own)
        used = target.capacity.cpu_millis - target.free.cpu_millis
        if not own or claimed < used or expected_s <= 0:
            return 0.0
        ends_at = min(assignment.sent_at + assignment.expected_s for assignment in own)
        return max(0.0, ends_at - now) / expected_s

    def _count_held(self, job: Job, held: int) -> None:
        """Counts the tasks of a job that were not held back in earlier passes."""
        job_id = job.spec.job_id
        if not job.has_ready_tasks():
            self.held.pop(job_id, None)
            return
        counted = self.held.get(job_id, 0)
        if held <= counted:
            return
        self.held_total[job.queue.name] += held - counted
        self.held[job_id] = held
        if len(self.held) > MAX_HELD_JOBS:
            del self.held[next(iter(self.held))]

    def _assign_to_agent(
        self, job: Job, step: int, target: TargetCapacity, tasks: list[Task]
    ) -> None:
        agent = target.name
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
            **self._describe_choice(job, step, target, now),
        )

    def _describe_choice(
        self, job: Job, step: int, target: TargetCapacity, now: float
    ) -> dict[str, float | str]:
        """Returns the log fields with the inputs that decided a placement."""
        spec = job.spec.steps[step]
        expected_ms = self.run_times.scale_estimate(
            job.queue.service, job.queue.name, spec.estimate_ms
        )
        predicted_ms = expected_ms * predict_slowdown(
            spec, target, self.remote_slowdown
        )
        ends_by = job.timing.arrived_at + job.timing.objective_s
        return {
            "run_time_factor": round(target.run_time_factor, 2),
            "slowness": round(target.slowness, 2),
            "distance": _describe_distance(spec, target),
            "predicted_ms": round(predicted_ms, 1),
            "spare_ms": round(MS_PER_S * (ends_by - now) - predicted_ms, 1),
        }

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
                    trial_ms=round(
                        MS_PER_S * self.crashes.trial_s(assignment.task.name)
                    ),
                )
                for assignment in assignments
            ],
        )
        self.send(view.address, StartTasks(view.report.sent_at, [message]))

    def resend_missing(
        self, view: AgentView, report: AgentReport, may_start: Callable[[Job], bool]
    ) -> None:
        """Sends assignments again that a full report of their agent does not list.

        Args:
            view: The agent.
            report: Its report.
            may_start: Returns whether tasks of a job may start now.
        """
        listed = set(report.open_assignments)
        oldest = self.clock() - ASSIGNMENT_RESEND_AGE_S
        for assignment in self.open.list_of_agent(view.address.incarnation):
            is_missing = assignment.number not in listed
            if assignment.is_cancelled or not is_missing:
                continue
            if assignment.sent_at < oldest and may_start(assignment.job):
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


def _has_capacity(job: Job, task: Task, targets: Iterable[TargetCapacity]) -> bool:
    return count_fitting_tasks(job.spec.steps[task.step], targets) > 0


def _is_late(job: Job) -> bool:
    """Returns whether a running task of a job is predicted to end late."""
    ends_by = job.timing.arrived_at + job.timing.objective_s
    return any(
        assignment.sent_at + assignment.expected_s > ends_by
        for assignment in job.open_assignments.values()
    )


def _describe_distance(step: StepSpec, target: TargetCapacity) -> str:
    if not step.preferred_rack:
        return "none"
    return "near" if is_near_data(step, target) else "remote"


def _count_placed(job: Job, index: int, targets: list[TargetCapacity]) -> None:
    placed: dict[str, int] = {}
    for assignment in job.open_assignments.values():
        if assignment.task.step == index:
            placed[assignment.agent] = placed.get(assignment.agent, 0) + 1
    for target in targets:
        target.placed = placed.get(target.name, 0)
