"""Schedules the jobs of one entry, driven by calls, messages and a clock."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..connections.limits import DEFAULT_MEMORY_BYTES
from ..events import EventName
from ..messages.scheduling import TaskStatus
from ..policy.job_memory import limit_job_memory
from ..policy.target_speed import find_distance_factor
from ..policy.waiting import would_end_too_late
from .agent_connectivity import AgentConnectivity
from .agent_events import record_lost
from .agent_events import record_unreachable
from .assignment_sender import AssignmentSender
from .crash_records import CrashRecords
from .job import Job
from .job import JobResult
from .job import TaskPhase
from .job_admission import JobQueue
from .job_admission import ServicePass
from .job_admission import admit_job
from .job_admission import make_start_check
from .job_admission import predict_release_s
from .job_creation import make_job
from .job_errors import describe_deadline
from .job_errors import describe_disconnect
from .job_errors import describe_late_refusal
from .job_errors import describe_refused_takeover
from .job_errors import describe_shutdown
from .job_memory import JobMemory
from .job_memory import refuse_for_memory
from .job_outcomes import JobOutcomes
from .job_ownership import JobActions
from .job_ownership import JobOwnership
from .service_targets import ServiceTargets


if TYPE_CHECKING:
    import asyncio
    import random
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..clock import Clock
    from ..errors import DispatchError
    from ..logs import EventLog
    from ..messages import Message
    from ..messages import PeerAddress
    from ..messages.scheduling import AgentReport
    from ..messages.scheduling import TaskUpdate
    from ..policy.job_memory import JobMemoryLimits
    from .agent_views import AgentView
    from .agent_views import AgentViews
    from .job import OpenAssignment
    from .job import Task
    from .job import TaskNamer
    from .job_admission import Refusal
    from .specification import JobSpec
    from .specification import Queue


# Number of ended jobs whose answer is kept for repeated requests.
# Agents of earlier versions also send the status of a run that has started.
END_STATUSES = frozenset(status.value for status in TaskStatus)
MS_PER_S = 1000


class JobScheduler:
    """Manages the jobs of an entry and assigns their tasks to agents.

    Attributes:
        queue: Jobs with tasks that wait for capacity.
        assignments: Sends assignments to agents and records the open ones.
        connectivity: Detects outages of the connection to all agents.
        outcomes: Counts and logs how jobs end.
        crashes: Crashes of targets, and the tasks that may have caused them.
        targets: Selects the targets that tasks of a queue may use.
        ownership: Agrees with other entries on which of them runs a job.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        views: AgentViews,
        send: Callable[[PeerAddress, Message], None],
        format_task_name: TaskNamer,
        evacuated_zones: Callable[[], frozenset[str]],
        schedule_soon: Callable[[], None],
        rng: random.Random,
        remote_slowdown: float = 1.0,
        incarnation: str = "",
        list_entries: Callable[[], Iterable[PeerAddress]] = tuple,
        memory_limits: JobMemoryLimits | None = None,
    ) -> None:
        """Creates a scheduler without jobs.

        Args:
            clock: Clock in seconds that includes the time that the machine was
                suspended.
            log: Event log.
            views: The agents, as this entry knows them.
            send: Sends a message to a process.
            format_task_name: Builds the name under which a target knows a task.
            evacuated_zones: Returns the evacuated availability zones.
            schedule_soon: Requests one call of ``schedule`` in the near future.
            rng: Randomises the retry delays of refused callers.
            remote_slowdown: Run time of a task outside the rack of its data, divided by
                that within it.
            incarnation: Incarnation of the entry.
            list_entries: Returns the other entries that are registered in the store.
            memory_limits: Limits on the memory of jobs; None for those of a process
                with the default memory.
        """
        self.clock = clock
        self.log = log
        self.views = views
        self.format_task_name = format_task_name
        self.schedule_soon = schedule_soon
        self.rng = rng
        self.jobs: dict[str, Job] = {}
        self.ended_jobs: dict[str, Job] = {}
        self.memory = JobMemory(memory_limits or limit_job_memory(DEFAULT_MEMORY_BYTES))
        self.queue = JobQueue()
        self.run_times = views.run_times
        self.remote_slowdown = remote_slowdown
        self.connectivity = AgentConnectivity()
        self.outcomes = JobOutcomes(log)
        self.crashes = CrashRecords(clock, log)
        self.targets = ServiceTargets(
            views, self.crashes, self.queue.loads, evacuated_zones, log
        )
        self.assignments = AssignmentSender(
            clock=clock,
            log=log,
            views=views,
            run_times=self.run_times,
            crashes=self.crashes,
            send=send,
            remote_slowdown=remote_slowdown,
        )
        self.ownership = JobOwnership(
            clock=clock,
            log=log,
            incarnation=incarnation,
            send=send,
            redial=views.redial,
            list_entries=list_entries,
            has_silent_agent=views.has_silent_agent,
            is_agent_settled=views.is_settled,
            measure_agent_silence_s=views.measure_silence_s,
            jobs=self.jobs,
            ended_jobs=self.ended_jobs,
            assignments=self.assignments.open,
            actions=JobActions(
                resume=self._resume,
                stop=self._stop_runs,
                finish=self._end,
                leave=self._end_without_callers,
                cancel=self.cancel,
            ),
        )

    # Requests of callers.

    def find_job(self, job_id: str) -> Job | None:
        """Returns a job that is open or has recently ended."""
        return self.jobs.get(job_id) or self.ended_jobs.get(job_id)

    def has_answer(self, spec: JobSpec) -> bool:
        """Returns whether an equal job with the same id has ended with a result."""
        job = self.ended_jobs.get(spec.job_id)
        return job is not None and job.spec == spec and job.error is None

    def may_run(self, job_id: str) -> bool:
        """Returns whether a job may be running, at this entry or at another one."""
        return job_id in self.jobs or bool(self.ownership.find_holders(job_id))

    def submit(
        self,
        spec: JobSpec,
        queue: Queue,
        deadline_s: float,
        waiter: asyncio.Future[None],
    ) -> Job | DispatchError:
        """Accepts a job, or attaches the request to an equal job with the same id.

        An equal job that ended with an error is accepted again. One that another entry
        owns is not started here; the request waits for the result of its owner.

        Args:
            spec: The job.
            queue: Its queue.
            deadline_s: How long the caller waits for the answer, in seconds.
            waiter: Future that is resolved when the job has ended.

        Returns:
            The job, or the reason for its refusal; a refused job never runs.
        """
        existing = self.find_job(spec.job_id)
        if existing is not None and existing.spec == spec and existing.error is None:
            if existing.has_ended:
                waiter.set_result(None)
            else:
                existing.waiters.append(waiter)
            return existing
        if not self.memory.has_room(spec):
            refusal = refuse_for_memory(may_run=self.may_run(spec.job_id))
            self._record_refused(spec, queue, refusal)
            return refusal.error
        job = make_job(
            spec,
            queue,
            deadline_s,
            now=self.clock(),
            run_times=self.run_times,
            format_task_name=self.format_task_name,
        )
        if self._end_if_given_up(job):
            waiter.set_result(None)
            return job
        holders = self.ownership.find_holders(spec.job_id)
        if holders:
            self._open(job, waiter)
            self.ownership.join(job, holders)
            return job
        error = self._find_refusal(job)
        if error is not None:
            return error
        self._open(job, waiter)
        self._queue_admitted(job)
        return job

    def _open(self, job: Job, waiter: asyncio.Future[None]) -> None:
        job.waiters.append(waiter)
        self.jobs[job.spec.job_id] = job
        self.memory.record_opened(job.spec)

    def _queue_admitted(self, job: Job) -> None:
        now = self.clock()
        self.queue.jobs.append(job)
        self.assignments.rack_demands.record(job, now)
        self.log.record(
            EventName.JOB_ADMITTED,
            job=job.spec.job_id,
            queue=job.queue.name,
            tasks=sum(step.count for step in job.spec.steps),
            deadline_ms=round(MS_PER_S * (job.timing.deadline_at - now)),
        )
        self.schedule_soon()

    def _resume(self, job: Job) -> None:
        """Admits a job whose earlier owner has not brought it to an end.

        Its objective counts from now, because no capacity could shorten its wait.
        """
        job.timing = replace(job.timing, arrived_at=self.clock())
        refusal = self._find_refusal(job)
        if refusal is None:
            self._queue_admitted(job)
            return
        error = describe_refused_takeover(refusal) if job.has_run else refusal
        self._end(job, error=error)

    def _stop_runs(self, job: Job) -> None:
        self.queue.jobs = [other for other in self.queue.jobs if other is not job]
        self.assignments.stop(list(job.open_assignments.values()))

    def _find_refusal(self, job: Job) -> DispatchError | None:
        refusal = admit_job(
            job,
            self.targets.find(job.queue),
            self.queue,
            self.assignments.open,
            self.clock(),
            self.rng,
        )
        if refusal is None:
            return None
        self._record_refused(job.spec, job.queue, refusal)
        return refusal.error

    def _record_refused(self, spec: JobSpec, queue: Queue, refusal: Refusal) -> None:
        waiting, assigned = len(self.queue.jobs), len(self.assignments.open)
        self.outcomes.record_refused(spec, queue, refusal, waiting, assigned)

    def handle_disconnect(self, job: Job, waiter: asyncio.Future[None]) -> None:
        """Removes a disconnected caller; a job without callers is cancelled."""
        if waiter in job.waiters:
            job.waiters.remove(waiter)
        if not job.waiters and not job.followers and not job.has_ended:
            self._end_without_callers(job)

    def _end_without_callers(self, job: Job) -> None:
        self._end(job, error=describe_disconnect())

    def cancel(self, job_id: str) -> Job | None:
        """Cancels a job and returns it, or None if it is unknown."""
        job = self.find_job(job_id)
        if job is not None and not job.has_ended:
            self._end(job, result=JobResult.CANCELLED)
        return job

    def count_pending(self, queue_name: str) -> int:
        """Returns the number of jobs of a queue of which no task has been assigned."""
        return sum(
            job.queue.name == queue_name and not job.has_begun
            for job in self.jobs.values()
        )

    def abandon_all(self) -> None:
        """Ends all open jobs with an error, because the process is about to exit."""
        for job in list(self.jobs.values()):
            self._end(job, error=describe_shutdown(job))

    # Scheduling.

    def schedule(self) -> None:
        """Assigns ready tasks of waiting jobs to agents with free capacity."""
        now = self.clock()
        if not self.queue.jobs:
            self.queue.measure_shortage(now, [])
            return
        self.queue.jobs = [
            job
            for job in self.queue.jobs
            if not job.has_ended and job.has_ready_tasks()
        ]
        self.queue.jobs.sort(key=lambda job: job.rank(now))
        passes: dict[str, ServicePass] = {}
        startable = [job for job in self.queue.jobs if self._may_start(job, now)]
        for job in startable:
            service = job.queue.service
            pool = self.queue.loads.find_pool(job.queue)
            if pool not in passes:
                targets = self.targets.find(job.queue)
                passes[pool] = ServicePass(
                    targets,
                    make_start_check(targets, now),
                    self.assignments.rack_demands.measure(service, startable, now),
                )
            this_pass = passes[pool]
            if this_pass.may_use_capacity(job):
                job.is_late = not job.can_be_in_time(now)
                self.assignments.assign_ready_tasks(
                    job, this_pass.targets, this_pass.reserves
                )
        self.queue.measure_shortage(now, startable)

    def _may_start(self, job: Job, now: float) -> bool:
        if self.assignments.open.has_earlier_submission(job):
            return False
        return now >= self.connectivity.earliest_start(job.received_at)

    # Reports of agents.

    def handle_report(
        self, sender: PeerAddress, report: AgentReport
    ) -> AgentView | None:
        """Records an agent's report and applies its updates.

        Returns:
            The agent's view, or None if a newer process has replaced the agent: its
            report was delayed and says nothing about the tasks of its successor.
        """
        if self.views.is_replaced(sender, report):
            self.log.record(
                EventName.MESSAGE_DROPPED,
                reason="replaced_agent",
                peer=sender.link,
                details=f"incarnation {sender.incarnation}",
            )
            return None
        outage_s = self.connectivity.record_report(self.clock())
        if outage_s is not None:
            self.log.record(
                EventName.CONNECTIVITY_RESTORED, outage_s=round(outage_s, 3)
            )
        view, replaced = self.views.record_report(sender, report)
        self.assignments.open.set_reachable(sender.incarnation, is_reachable=True)
        self._receive_crashes(view, report)
        if replaced is not None:
            self.handle_lost_agent(replaced, "replaced", successor=sender.incarnation)
        for update in view.accept_updates(report):
            self._apply_update(update, sender.incarnation)
        if report.is_full:
            now = self.clock()
            self.assignments.resend_missing(
                view, report, lambda job: self._may_start(job, now)
            )
        if report.is_last and not self.assignments.open.list_of_agent(
            sender.incarnation
        ):
            self.views.remove(sender.incarnation)
        if self.queue.jobs:
            self.schedule_soon()
        return view

    def _receive_crashes(self, view: AgentView, report: AgentReport) -> None:
        agent = view.address.incarnation
        if self.crashes.receive(report.crashes, view.crashes, agent):
            self.targets.update_confinement()
            for job in list(self.jobs.values()):
                self._end_if_given_up(job)

    def _apply_update(self, update: TaskUpdate, agent: str) -> None:
        assignment = self.assignments.open.by_number.get(update.number)
        if assignment is None or assignment.agent != agent:
            return
        if update.status not in END_STATUSES:
            return
        self.assignments.close(assignment)
        job = assignment.job
        status = TaskStatus(update.status)
        job.has_run |= status is not TaskStatus.NOT_STARTED
        if job.has_ended:
            self._unblock_successor(job)
            return
        if status in (TaskStatus.FAILED, TaskStatus.LOST):
            assignment.task.avoided |= {agent}
        assignment.task.lost_runs += status is TaskStatus.LOST
        if status is TaskStatus.DONE and update.run_ms:
            self._record_run_time(assignment, update.run_ms)
        self._apply_end(job, assignment.task, status)

    def _record_run_time(self, assignment: OpenAssignment, run_ms: float) -> None:
        job = assignment.job
        step = job.spec.steps[assignment.task.step]
        view = self.views.views[assignment.agent]
        distance_factor = find_distance_factor(
            step.preferred_rack, view.labels, self.remote_slowdown
        )
        self.run_times.record(
            job.queue.service,
            job.queue.name,
            view.kind,
            run_ms,
            step.estimate_ms * distance_factor,
            job.run_logs.setdefault(assignment.task.step, {}),
        )

    def _apply_end(self, job: Job, task: Task, status: TaskStatus) -> None:
        if status is TaskStatus.DONE:
            task.phase = TaskPhase.DONE
            job.unblock_steps()
            if all(job.is_step_done(index) for index in range(len(job.tasks))):
                self._end(job, result=JobResult.COMPLETED)
                return
        elif status is TaskStatus.REJECTED:
            self._end(job, result=JobResult.FAILED)
            return
        else:
            if status is TaskStatus.FAILED:
                task.failures += 1
            if task.failures >= job.queue.max_attempts:
                self._end(job, result=JobResult.FAILED)
                return
            task.phase = TaskPhase.READY
            if self._end_if_given_up(job):
                return
        self._requeue(job)

    def _requeue(self, job: Job) -> None:
        if job.has_ready_tasks() and not job.owners:
            if job not in self.queue.jobs:
                self.queue.jobs.append(job)
            self.schedule_soon()

    def _unblock_successor(self, job: Job) -> None:
        if not job.open_assignments and job.spec.job_id in self.jobs:
            self.schedule_soon()

    def handle_lost_agent(
        self, view: AgentView, reason: str, successor: str | None = None
    ) -> None:
        """Closes all assignments of an agent that can't run them any more.

        Tasks of jobs that have not ended become ready again.

        Args:
            view: The agent, as last reported.
            reason: Why it can't run them, for the log.
            successor: Incarnation that has replaced the agent, if any.
        """
        incarnation = view.address.incarnation
        lost = self.assignments.open.list_of_agent(incarnation)
        record_lost(
            self.log, view, lost, self.clock(), reason=reason, successor=successor
        )
        for assignment in lost:
            self.assignments.close(assignment)
            assignment.job.has_run = True
            if assignment.job.has_ended:
                self._unblock_successor(assignment.job)
            else:
                self._apply_end(assignment.job, assignment.task, TaskStatus.LOST)

    def _handle_unreachable_agent(self, view: AgentView) -> None:
        """Keeps the assignments of a silent agent open.

        Its VM may be suspended. The runs go on when it is resumed, until their agent
        has stopped them.
        """
        incarnation = view.address.incarnation
        kept = self.assignments.open.list_of_agent(incarnation)
        self.assignments.open.set_reachable(incarnation, is_reachable=False)
        record_unreachable(self.log, view, kept, self.clock())

    # End of jobs.

    def _end_if_given_up(self, job: Job) -> bool:
        """Ends a job as failed if one of its tasks must not start again."""
        if not self.crashes.counts:
            return False
        for tasks in job.tasks:
            for task in tasks:
                if task.phase is TaskPhase.DONE:
                    continue
                if self.crashes.must_give_up(task.name):
                    counts = self.crashes.counts[task.name]
                    self.outcomes.record_given_up(job, task, counts)
                    self._end(job, result=JobResult.FAILED)
                    return True
        return False

    def _end(
        self,
        job: Job,
        result: JobResult | None = None,
        error: DispatchError | None = None,
    ) -> None:
        job.result = result
        job.error = error
        self.jobs.pop(job.spec.job_id, None)
        # A job that replaces an ended one with the same id is the newest.
        self.ended_jobs.pop(job.spec.job_id, None)
        self.ended_jobs[job.spec.job_id] = job
        self.memory.record_ended(job.spec)
        self.memory.drop_ended(self.ended_jobs)
        self.assignments.stop(list(job.open_assignments.values()))
        for waiter in job.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.ownership.handle_end(job)
        self.outcomes.record_ended(job, self.clock() - job.received_at)
        # Open assignments refer to their tasks themselves.
        job.drop_tasks()

    def tick(self) -> None:
        """Handles timeouts and assigns waiting tasks.

        Agents that have expired are lost, jobs that are past their deadline or would
        end too late are ended, and stops of open assignments are resent.
        """
        now = self.clock()
        for view in self.views.set_unreachable():
            self._handle_unreachable_agent(view)
        for view in self.views.remove_expired():
            self.handle_lost_agent(view, "expired")
        for job in list(self.jobs.values()):
            if now >= job.timing.deadline_at:
                self._end(job, error=describe_deadline(job))
        self._refuse_late_jobs(now)
        self.crashes.drop_expired()
        self.targets.update_confinement()
        self.assignments.resend_stops()
        self.ownership.advance(is_connected=self.connectivity.is_connected(now))
        self.schedule()

    def _refuse_late_jobs(self, now: float) -> None:
        for job in list(self.queue.jobs):
            if job.has_begun or job.has_ended:
                continue
            start_at = self.connectivity.earliest_start(job.received_at)
            held_s = max(0.0, start_at - job.timing.arrived_at)
            if would_end_too_late(job.timing, now - held_s, 0.0):
                release_s = predict_release_s(
                    job,
                    self.targets.find(job.queue),
                    self.queue,
                    self.assignments.open,
                    now,
                )
                error = describe_late_refusal(job, release_s, now, self.rng)
                self._end(job, error=error)
