"""Finds tasks with two runs at the same time in the event logs of all processes."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import UTC
from datetime import datetime
from enum import StrEnum
from itertools import combinations
from typing import TYPE_CHECKING

import msgspec

from ..events import EventName
from ..logs import SHORT_INCARNATION_LENGTH
from ..messages.scheduling import TaskStatus
from ..scheduling.task_run import StopCause
from .merged_events import format_fields
from .merged_events import format_time


if TYPE_CHECKING:
    from collections.abc import Iterable

    from .merged_events import LoggedEvent


MS_PER_S = 1000
RUN_EVENTS = frozenset(
    {EventName.TASK_STARTED, EventName.TASK_STOPPING, EventName.TASK_RUN}
)
# An assignment that ended with one of these has not run.
STATUSES_WITHOUT_RUN = frozenset({TaskStatus.NOT_STARTED, TaskStatus.REJECTED})


class RunFields(msgspec.Struct, frozen=True):
    """Fields of a log line about a run; all but the task may be missing."""

    task: str
    job: str | None = None
    order: int | None = None
    attempt: int | None = None
    entry: str | None = None
    status: str | None = None
    cause: str | None = None
    sent_ms: float | None = None
    last_listed_ms: float | None = None


class Certainty(StrEnum):
    """Whether two runs overlap."""

    CERTAIN = "certain"
    POSSIBLE = "possible"


@dataclass(slots=True)
class LoggedRun:
    """A run of a task, as the logs show it.

    Its times are in seconds since 1970, by the wall clock of its agent.

    Attributes:
        task: Name of the task.
        attempt: Attempt number of the run at its target.
        agent: Incarnation of the agent, shortened.
        node: Name of the agent's VM, if known.
        job: Id of the job, if known.
        order: Number of the assignment, if known.
        entry: Incarnation of the entry that owns the run, if known.
        entry_node: Name of that entry's VM, if known.
        sent_at: When its start was sent; it did not run before.
        confirmed_at: When the target had confirmed the start, if it did.
        listed_at: When it was surely still running, if a listing shows that.
        ended_at: When its end was listed; it did not run after that. None if the logs
            do not show its end.
        status: How it ended, if known.
        cause: Why it was stopped first, if it was.
    """

    task: str
    attempt: int | None
    agent: str
    node: str | None
    sent_at: float
    job: str | None = None
    order: int | None = None
    entry: str | None = None
    entry_node: str | None = None
    confirmed_at: float | None = None
    listed_at: float | None = None
    ended_at: float | None = None
    status: str | None = None
    cause: str | None = None

    @property
    def latest_end(self) -> float:
        """The latest time at which it may have run."""
        return math.inf if self.ended_at is None else self.ended_at

    def is_running_throughout(self, start: float, end: float) -> bool:
        """Returns whether it surely ran from one time to another."""
        if self.confirmed_at is None or self.listed_at is None:
            return False
        return self.confirmed_at <= start <= end <= self.listed_at


@dataclass(frozen=True, slots=True)
class RunOverlap:
    """Two runs of one task that overlap.

    Attributes:
        first: The run whose start was sent first.
        second: The other run.
        certainty: Whether they surely ran at the same time.
    """

    first: LoggedRun
    second: LoggedRun
    certainty: Certainty

    @property
    def longest_ms(self) -> float | None:
        """Its greatest possible duration in milliseconds; None if it has no end."""
        end = min(self.first.latest_end, self.second.latest_end)
        if math.isinf(end):
            return None
        return max(0.0, round(MS_PER_S * (end - self.second.sent_at), 1))


class RunCollector:
    """Collects runs from log lines.

    Attributes:
        nodes: Names of the VMs of processes, by shortened incarnation.
        runs: The runs, by agent, task, attempt and assignment.
    """

    def __init__(self) -> None:
        self.nodes: dict[str, str] = {}
        self.runs: dict[tuple[str, str, int | None, int | None], LoggedRun] = {}

    def handle_event(self, event: LoggedEvent) -> None:
        """Updates the runs; events of one process must arrive in their order."""
        if event.line.message_type not in RUN_EVENTS:
            return
        try:
            fields = msgspec.convert(event.fields, type=RunFields)
        except msgspec.ValidationError:
            # A line of the project's own protocol, which has other fields.
            return
        at = event.line.timestamp
        agent = event.line.incarnation
        if fields.cause == StopCause.UNKNOWN_RUN:
            self._handle_unknown_run(agent, fields, at)
            return
        key = (agent, fields.task, fields.attempt, fields.order)
        if fields.status in STATUSES_WITHOUT_RUN:
            self._discard_unconfirmed(key)
            return
        run = self.runs.get(key)
        if run is None:
            if fields.sent_ms is None:
                return
            run = self._add(agent, fields, _seconds_before(at, fields.sent_ms))
        self._update(run, event.line.message_type, fields, at)

    def _update(self, run: LoggedRun, name: str, fields: RunFields, at: float) -> None:
        run.cause = run.cause or fields.cause
        if fields.last_listed_ms is not None:
            run.listed_at = _seconds_before(at, fields.last_listed_ms)
        if name == EventName.TASK_STARTED:
            run.confirmed_at = at
            # The agent had given it up before its start was confirmed.
            run.ended_at = None
        elif name == EventName.TASK_RUN:
            run.ended_at = at
            run.status = fields.status

    def _handle_unknown_run(self, agent: str, fields: RunFields, at: float) -> None:
        """Records a run of an earlier process, or one that the agent had given up."""
        node = self.nodes.get(agent)
        listed_at = _seconds_before(at, fields.last_listed_ms or 0.0)
        earlier = [
            run
            for run in self.runs.values()
            if (run.task, run.attempt) == (fields.task, fields.attempt)
            and (run.agent == agent or (node is not None and run.node == node))
        ]
        run = max(earlier, key=lambda run: run.sent_at, default=None)
        if run is None:
            run = self._add(agent, fields, listed_at)
            run.confirmed_at = at
        run.listed_at = listed_at
        run.ended_at = None
        run.cause = run.cause or fields.cause

    def _add(self, agent: str, fields: RunFields, sent_at: float) -> LoggedRun:
        run = LoggedRun(
            fields.task,
            fields.attempt,
            agent,
            self.nodes.get(agent),
            sent_at,
            fields.job,
            fields.order,
            fields.entry,
        )
        self.runs[agent, fields.task, fields.attempt, fields.order] = run
        return run

    def _discard_unconfirmed(
        self, key: tuple[str, str, int | None, int | None]
    ) -> None:
        run = self.runs.get(key)
        if run is not None and run.confirmed_at is None:
            del self.runs[key]


def collect_runs(events: Iterable[LoggedEvent]) -> list[LoggedRun]:
    """Returns the runs that the events of all processes show, ordered by time."""
    events = list(events)
    collector = RunCollector()
    collector.nodes = _collect_nodes(events)
    for event in events:
        collector.handle_event(event)
    runs = list(collector.runs.values())
    for run in runs:
        run.entry_node = _find_node(collector.nodes, run.entry)
    return sorted(runs, key=lambda run: run.sent_at)


def find_overlaps(
    runs: Iterable[LoggedRun], clock_difference_s: float
) -> list[RunOverlap]:
    """Returns the pairs of runs of one task that overlap, ordered by time.

    Args:
        runs: The runs, ordered by time.
        clock_difference_s: Greatest assumed difference between the wall clocks of two
            VMs, in seconds.
    """
    by_task: dict[str, list[LoggedRun]] = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    overlaps = []
    for group in by_task.values():
        for first, second in combinations(group, 2):
            certainty = _compare(first, second, clock_difference_s)
            if certainty is not None:
                overlaps.append(RunOverlap(first, second, certainty))
    return sorted(overlaps, key=lambda overlap: overlap.second.sent_at)


def render_overlap(overlap: RunOverlap) -> str:
    """Formats an overlap as three lines: the task, and each run."""
    heading = {"task": overlap.first.task, "at_most_ms": overlap.longest_ms}
    lines = [f"{overlap.certainty} {format_fields(heading)}"]
    lines += [f"  {_render_run(run)}" for run in (overlap.first, overlap.second)]
    return "\n".join(lines)


def _render_run(run: LoggedRun) -> str:
    return format_fields(
        {
            "node": run.node,
            "agent": run.agent,
            "entry_node": run.entry_node,
            "entry": run.entry,
            "job": run.job,
            "order": run.order,
            "attempt": run.attempt,
            "sent": _render_time(run.sent_at),
            "confirmed": _render_time(run.confirmed_at),
            "listed": _render_time(run.listed_at),
            "ended": _render_time(run.ended_at),
            "status": run.status,
            "cause": run.cause,
        }
    )


def _render_time(at: float | None) -> str | None:
    return None if at is None else format_time(datetime.fromtimestamp(at, UTC))


def _compare(
    first: LoggedRun, second: LoggedRun, clock_difference_s: float
) -> Certainty | None:
    difference_s = 0.0 if _share_clock(first, second) else clock_difference_s
    may_overlap = (
        second.sent_at < first.latest_end + difference_s
        and first.sent_at < second.latest_end + difference_s
    )
    if not may_overlap:
        return None
    is_certain = _surely_overlap(first, second, difference_s) or _surely_overlap(
        second, first, difference_s
    )
    return Certainty.CERTAIN if is_certain else Certainty.POSSIBLE


def _share_clock(first: LoggedRun, second: LoggedRun) -> bool:
    if first.agent == second.agent:
        return True
    return first.node is not None and first.node == second.node


def _surely_overlap(run: LoggedRun, other: LoggedRun, difference_s: float) -> bool:
    """Returns whether a run was surely running when the other one surely ran."""
    if other.confirmed_at is None:
        return False
    begin = other.sent_at
    if other.listed_at is not None and other.listed_at >= other.confirmed_at:
        begin = other.confirmed_at
    return run.is_running_throughout(
        begin - difference_s, other.confirmed_at + difference_s
    )


def _collect_nodes(events: Iterable[LoggedEvent]) -> dict[str, str]:
    nodes = {}
    for event in events:
        node = event.fields.get("node")
        is_start = event.line.message_type == EventName.PROCESS_STARTED
        if is_start and isinstance(node, str):
            nodes[event.line.incarnation] = node
    return nodes


def _find_node(nodes: dict[str, str], incarnation: str | None) -> str | None:
    if incarnation is None:
        return None
    return nodes.get(incarnation[:SHORT_INCARNATION_LENGTH])


def _seconds_before(at: float, ms: float) -> float:
    return at - ms / MS_PER_S
