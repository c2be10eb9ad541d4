"""Figures of a case of the load benchmark, and their table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.fleet import ProcessUsage
from bench.fleet import read_usage
from bench.measures import Quantiles
from bench.measures import compute_quantiles
from bench.measures import compute_refusal_ms
from bench.measures import compute_response_ratios
from bench.measures import compute_slot_utilisation
from bench.measures import count_outcomes
from bench.measures import count_repeated_starts
from bench.measures import count_started_refusals


if TYPE_CHECKING:
    from bench.callers import Call
    from bench.cases import Case
    from bench.fleet import BenchFleet


@dataclass(frozen=True, slots=True)
class RoleUsage:
    """Highest resource usage among the processes of a role.

    Attributes:
        processor_share: Highest processor time, as a share of one core.
        resident_mb: Highest resident memory in mebibytes.
    """

    processor_share: float
    resident_mb: float


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of a case; the names of the fields are keys of the printed JSON.

    Attributes:
        case: Name of the case.
        single: Response times of single requests, relative to the ideal duration.
        job: Response times of jobs with several tasks, relative to the ideal duration.
        outcomes: Number of answers by outcome and error kind.
        tasks_done: Number of tasks of the jobs answered ``done``.
        envelopes_per_task: Envelopes sent between processes for each task done.
        refusal_ms: Response times of refusals, in milliseconds.
        work: Utilisation of the slots in each window.
        repeated_starts: Repeated starts of tasks that are not idempotent.
        started_refusals: Jobs answered ``not_run`` although one of their tasks started.
        not_whole: Answers with missing results or results of another job.
        late_ms: Delays of the load generator after the due times, in milliseconds.
        agent: Highest resource usage of an agent.
        entry: Highest resource usage of an entry.
        errors: Errors that the steps of the case raised.
    """

    case: str
    single: Quantiles
    job: Quantiles
    outcomes: dict[str, int]
    tasks_done: int
    envelopes_per_task: float
    refusal_ms: Quantiles
    work: dict[str, float]
    repeated_starts: int
    started_refusals: int
    not_whole: int
    late_ms: Quantiles
    agent: RoleUsage
    entry: RoleUsage
    errors: list[str]


@dataclass(slots=True)
class UsageMeter:
    """Counters of a fleet before a case, as a base for the usage during it.

    Attributes:
        envelopes: Envelopes sent before the case, by incarnation.
        usages: Resource usage of each process before the case, by name.
    """

    envelopes: dict[str, int]
    usages: dict[str, ProcessUsage]

    def count_envelopes(self, fleet: BenchFleet) -> int:
        """Returns the number of envelopes sent since the meter was created."""
        sent = fleet.count_envelopes()
        return sum(sent.values()) - sum(self.envelopes.get(name, 0) for name in sent)

    def find_max_usage(self, fleet: BenchFleet, role: str, seconds: float) -> RoleUsage:
        """Returns the highest usage among the running processes of a role.

        Args:
            fleet: The fleet.
            role: Prefix of the process names, ``agent`` or ``entry``.
            seconds: Duration in seconds by which the processor time is divided.
        """
        shares, memory = [0.0], [0.0]
        for process in fleet.entry_and_agent_processes():
            if process.name.startswith(role) and process.is_running:
                usage = read_usage(process)
                used_s = usage.processor_s - self.usages[process.name].processor_s
                shares.append(used_s / seconds)
                memory.append(usage.resident_mb)
        return RoleUsage(round(max(shares), 4), round(max(memory), 1))


def start_usage_meter(fleet: BenchFleet) -> UsageMeter:
    """Returns a meter with the current counters of a fleet."""
    usages = {
        process.name: read_usage(process)
        for process in fleet.entry_and_agent_processes()
    }
    return UsageMeter(fleet.count_envelopes(), usages)


def make_figures(
    case: Case,
    fleet: BenchFleet,
    calls: list[Call],
    started_at: float,
    seconds: float,
    envelopes: int,
    usages: tuple[RoleUsage, RoleUsage],
    errors: list[str],
) -> Figures:
    """Computes the figures of a case.

    Args:
        case: The case.
        fleet: The fleet, whose targets have recorded the task starts.
        calls: All calls.
        started_at: Start of the arrivals, in seconds of the monotonic clock.
        seconds: Duration of the arrivals in seconds.
        envelopes: Number of envelopes sent between processes.
        usages: Highest usage of an agent and of an entry.
        errors: Errors that the steps raised.
    """
    starts = fleet.starts()
    slots = fleet.total_slots
    tasks_done = sum(
        len(call.arrival.run_s) for call in calls if call.outcome == "done"
    )
    work: dict[str, float] = {}
    for window in case.windows:
        zone = fleet.zones[-1]
        window_slots = fleet.slots_outside(zone) if window.excludes_last_zone else slots
        clock_window = window.to_time_window(started_at, seconds)
        work[window.name] = round(
            compute_slot_utilisation(starts, calls, clock_window, window_slots), 4
        )
    return Figures(
        case=case.name,
        single=compute_response_ratios(
            [call for call in calls if call.tasks == 1], slots
        ),
        job=compute_response_ratios([call for call in calls if call.tasks > 1], slots),
        outcomes=count_outcomes(calls),
        tasks_done=tasks_done,
        envelopes_per_task=round(envelopes / max(tasks_done, 1), 3),
        refusal_ms=compute_refusal_ms(calls),
        work=work,
        repeated_starts=count_repeated_starts(starts, calls),
        started_refusals=count_started_refusals(starts, calls),
        not_whole=sum(not call.is_complete for call in calls),
        late_ms=compute_quantiles(call.late_s * 1000 for call in calls),
        agent=usages[0],
        entry=usages[1],
        errors=errors,
    )


def print_table(rows: list[Figures]) -> None:
    """Prints the figures as a table; quantiles are shown as p50/p90/p99."""
    header = ["case", "single ratio", "job ratio", "tasks", "envelopes/task"]
    header += ["refusal ms", "agent core", "MB", "entry core", "MB", "late ms"]
    table = [header, *(_make_cells(row) for row in rows)]
    widths = [max(len(line[column]) for line in table) for column in range(len(header))]
    for line in table:
        pairs = zip(line, widths, strict=True)
        print("  ".join(cell.rjust(width) for cell, width in pairs))
    for row in rows:
        outcomes = ", ".join(f"{name} {n}" for name, n in sorted(row.outcomes.items()))
        work = ", ".join(f"{name} {share:.1%}" for name, share in row.work.items())
        faults = (
            f"repeated starts {row.repeated_starts}, "
            f"started refusals {row.started_refusals}, not whole {row.not_whole}"
        )
        print(f"{row.case}: {outcomes}; work: {work or 'not measured'}; {faults}")
        for error in row.errors:
            print(f"{row.case}: step failed: {error}")


def _make_cells(row: Figures) -> list[str]:
    return [
        row.case,
        str(row.single),
        str(row.job),
        str(row.tasks_done),
        str(row.envelopes_per_task),
        str(row.refusal_ms),
        f"{row.agent.processor_share:.1%}",
        str(row.agent.resident_mb),
        f"{row.entry.processor_share:.1%}",
        str(row.entry.resident_mb),
        str(row.late_ms),
    ]
