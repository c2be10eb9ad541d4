"""The figures of one case of the load tool, and their table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.fleet import ProcessUse
from bench.fleet import read_use
from bench.measures import Quantiles
from bench.measures import count_outcomes
from bench.measures import count_repeated_starts
from bench.measures import count_started_refusals
from bench.measures import find_quantiles
from bench.measures import find_ratios
from bench.measures import find_refusal_ms
from bench.measures import find_work_share


if TYPE_CHECKING:
    from bench.callers import Call
    from bench.cases import Case
    from bench.fleet import BenchFleet


@dataclass(frozen=True, slots=True)
class RoleUse:
    """The most that one process of a role used.

    Attributes:
        processor_share: Share of a core.
        resident_mb: Resident memory in megabytes.
    """

    processor_share: float
    resident_mb: float


@dataclass(frozen=True, slots=True)
class Figures:
    """What a case gave.

    Attributes:
        case: Its name.
        single: Response time of single requests against the ideal.
        job: Response time of larger jobs against the ideal.
        outcomes: Answers by outcome and kind.
        tasks_done: Tasks of jobs that were answered ``done``.
        envelopes_per_task: Envelopes between processes for each of them.
        refusal_ms: How long refusals took.
        work: Slot time used in each window, against the slots there.
        repeated_starts: Further starts of tasks that are not idempotent.
        started_refusals: Jobs answered ``not_run`` of which a task started.
        not_whole: Answers with missing or foreign results.
        late_ms: How late the tool sent.
        agent: The most that an agent used.
        entry: The most that an entry used.
        errors: What went wrong with the steps of the case.
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
    agent: RoleUse
    entry: RoleUse
    errors: list[str]


@dataclass(slots=True)
class Meter:
    """Reads the counters of a fleet before and after a case.

    Attributes:
        envelopes: Envelopes sent before, by incarnation.
        uses: What processes had used before, by name.
    """

    envelopes: dict[str, int]
    uses: dict[str, ProcessUse]

    def count_envelopes(self, fleet: BenchFleet) -> int:
        """Returns the envelopes sent since."""
        now = fleet.count_envelopes()
        return sum(now.values()) - sum(self.envelopes.get(name, 0) for name in now)

    def find_use(self, fleet: BenchFleet, role: str, seconds: float) -> RoleUse:
        """Returns the most that a live process of a role used since."""
        shares, memory = [0.0], [0.0]
        for process in fleet.entry_and_agent_processes():
            if process.name.startswith(role) and process.is_running:
                use = read_use(process)
                used_s = use.processor_s - self.uses[process.name].processor_s
                shares.append(used_s / seconds)
                memory.append(use.resident_mb)
        return RoleUse(round(max(shares), 4), round(max(memory), 1))


def open_meter(fleet: BenchFleet) -> Meter:
    """Reads the counters before a case."""
    uses = {one.name: read_use(one) for one in fleet.entry_and_agent_processes()}
    return Meter(fleet.count_envelopes(), uses)


def make_figures(
    case: Case,
    fleet: BenchFleet,
    calls: list[Call],
    began: float,
    seconds: float,
    envelopes: int,
    uses: tuple[RoleUse, RoleUse],
    errors: list[str],
) -> Figures:
    """Works out the figures of a case.

    Args:
        case: The case.
        fleet: The fleet, for what its targets recorded.
        calls: All calls.
        began: When the arrivals began, in seconds of the monotonic clock.
        seconds: Length of the arrivals.
        envelopes: Envelopes sent between processes.
        uses: The most that an agent and an entry used.
        errors: What went wrong with the steps.
    """
    starts = fleet.starts()
    slots = fleet.total_slots
    tasks_done = sum(len(one.arrival.run_s) for one in calls if one.outcome == "done")
    work: dict[str, float] = {}
    for window in case.windows:
        zone = fleet.zones[-1]
        counted = fleet.slots_outside(zone) if window.without_zone else slots
        placed = window.place(began, seconds)
        work[window.name] = round(find_work_share(starts, calls, placed, counted), 4)
    return Figures(
        case=case.name,
        single=find_ratios([one for one in calls if one.tasks == 1], slots),
        job=find_ratios([one for one in calls if one.tasks > 1], slots),
        outcomes=count_outcomes(calls),
        tasks_done=tasks_done,
        envelopes_per_task=round(envelopes / max(tasks_done, 1), 3),
        refusal_ms=find_refusal_ms(calls),
        work=work,
        repeated_starts=count_repeated_starts(starts, calls),
        started_refusals=count_started_refusals(starts, calls),
        not_whole=sum(not one.whole for one in calls),
        late_ms=find_quantiles(one.late_s * 1000 for one in calls),
        agent=uses[0],
        entry=uses[1],
        errors=errors,
    )


def print_table(rows: list[Figures]) -> None:
    """Prints the figures for reading; quantiles are p50/p90/p99."""
    head = ["case", "single ratio", "job ratio", "tasks", "envelopes/task"]
    head += ["refusal ms", "agent core", "MB", "entry core", "MB", "late ms"]
    table = [head, *(_make_cells(row) for row in rows)]
    widths = [max(len(line[column]) for line in table) for column in range(len(head))]
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
