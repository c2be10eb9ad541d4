"""Cases of the load benchmark: the offered load and the faults injected."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from bench.measures import TimeWindow
from bench.workload import WorkloadShape
from bench.workload import generate_jobs


if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.callers import Callers
    from bench.fleet import BenchFleet
    from bench.workload import JobArrival


QUIET_LOAD = 0.7
FULL_LOAD = 1.0
BURST_LOAD = 2.0
STRAGGLER_FACTOR = 10.0
OUT_OF_SERVICE_TICKET = 2
IN_SERVICE_TICKET = 3
SETTLE_S = 5.0


@dataclass(frozen=True, slots=True)
class CaseStep:
    """An action at a point of a case.

    Attributes:
        at: Time of the action, as a share of the length of the case.
        action: Function that acts on the fleet and the callers.
    """

    at: float
    action: Callable[[BenchFleet, Callers], None]


@dataclass(frozen=True, slots=True)
class WorkWindow:
    """Part of a case in which the utilisation of the slots is measured.

    Attributes:
        name: Name of the figure.
        start: Start of the window, as a share of the length of the case.
        end: End of the window, as a share of the length of the case.
        settle_s: Seconds excluded at the start of the window.
        excludes_last_zone: Whether the slots of the last availability zone are
            excluded, because it is out of service.
    """

    name: str
    start: float
    end: float
    settle_s: float = 0.0
    excludes_last_zone: bool = False

    def to_time_window(self, started_at: float, seconds: float) -> TimeWindow:
        """Returns the window in seconds of the monotonic clock."""
        start_s = started_at + self.start * seconds + self.settle_s
        return TimeWindow(start_s, started_at + self.end * seconds)


@dataclass(frozen=True, slots=True)
class Case:
    """A case of the load benchmark.

    Attributes:
        name: Name of the case.
        loads: Offered load as a share of all slots; each value applies to an equal
            part of the case.
        steps: Actions during the case.
        windows: Windows in which the utilisation is measured.
        uses_ids_for_all: Whether single requests are also sent under a job id.
        baseline: Whether tasks bypass the dispatcher and go to random targets.
    """

    name: str
    loads: tuple[float, ...] = (QUIET_LOAD,)
    steps: tuple[CaseStep, ...] = ()
    windows: tuple[WorkWindow, ...] = ()
    uses_ids_for_all: bool = False
    baseline: bool = False


@dataclass(slots=True)
class StepRunner:
    """Runs the steps of a case on a separate thread.

    Attributes:
        case: The case.
        fleet: Fleet that the steps act on.
        callers: Callers that the steps act on.
        errors: Representation of each error that a step raised.
    """

    case: Case
    fleet: BenchFleet
    callers: Callers
    errors: list[str] = field(default_factory=list)

    def start(self, started_at: float, seconds: float) -> threading.Thread:
        """Starts the thread that runs the steps, and returns it."""
        thread = threading.Thread(target=self._run, args=(started_at, seconds))
        thread.start()
        return thread

    def _run(self, started_at: float, seconds: float) -> None:
        for step in self.case.steps:
            time.sleep(max(0.0, started_at + step.at * seconds - time.monotonic()))
            try:
                step.action(self.fleet, self.callers)
            except Exception as error:
                self.errors.append(repr(error))


def make_arrivals(
    case: Case, slots: int, seconds: float, seed: int, single_share: float
) -> list[JobArrival]:
    """Returns the jobs of a case; each part of it has its own seed."""
    part_s = seconds / len(case.loads)
    arrivals: list[JobArrival] = []
    for number, load in enumerate(case.loads):
        shape = WorkloadShape(slots, load, part_s, single_share, seed + number)
        arrivals += [job.delayed(number * part_s) for job in generate_jobs(shape)]
    return arrivals


def fail_target(fleet: BenchFleet, _callers: Callers) -> None:
    """Makes one target fail every task immediately."""
    fleet.control(fleet.agents[0].target.url, fail_all=True, slow_factor=0.0)


def slow_target(fleet: BenchFleet, _callers: Callers) -> None:
    """Makes one target run every task ``STRAGGLER_FACTOR`` times longer."""
    fleet.control(fleet.agents[0].target.url, slow_factor=STRAGGLER_FACTOR)


def set_zone_out_of_service(fleet: BenchFleet, _callers: Callers) -> None:
    """Takes the last availability zone out of service with a ticket."""
    ticket = {"availability_zones": {fleet.zones[-1]: {"in_service": False}}}
    fleet.entries[0].caller.submit_ticket(OUT_OF_SERVICE_TICKET, ticket)


def set_zone_in_service(fleet: BenchFleet, _callers: Callers) -> None:
    """Puts the last availability zone back into service with a ticket."""
    ticket = {"availability_zones": {fleet.zones[-1]: {"in_service": True}}}
    fleet.entries[0].caller.submit_ticket(IN_SERVICE_TICKET, ticket)


def kill_entry(fleet: BenchFleet, _callers: Callers) -> None:
    """Kills the process of one entry."""
    fleet.entries[0].process.kill()


def stop_store(fleet: BenchFleet, _callers: Callers) -> None:
    """Makes the store refuse every call."""
    fleet.control(fleet.store_url, down="refuse")


def start_store(fleet: BenchFleet, _callers: Callers) -> None:
    """Makes the store answer calls again."""
    fleet.control(fleet.store_url, down="")


def cancel_all(_fleet: BenchFleet, callers: Callers) -> None:
    """Cancels every unanswered job that has an id."""
    callers.cancel_running()


CASES: dict[str, Case] = {
    case.name: case
    for case in (
        Case("baseline", baseline=True),
        Case("quiet", windows=(WorkWindow("all", 0, 1, SETTLE_S),)),
        Case(
            "burst",
            loads=(QUIET_LOAD, BURST_LOAD, QUIET_LOAD),
            windows=(WorkWindow("burst", 1 / 3, 2 / 3, 2.0),),
        ),
        Case("failing", steps=(CaseStep(0.2, fail_target),)),
        Case("straggler", steps=(CaseStep(0.0, slow_target),)),
        Case(
            "zone",
            loads=(FULL_LOAD,),
            steps=(
                CaseStep(1 / 3, set_zone_out_of_service),
                CaseStep(2 / 3, set_zone_in_service),
            ),
            windows=(
                WorkWindow("before", 0, 1 / 3, SETTLE_S),
                WorkWindow("out", 1 / 3, 2 / 3, 0.0, excludes_last_zone=True),
                WorkWindow("back", 2 / 3, 1, SETTLE_S),
            ),
        ),
        Case("entry", steps=(CaseStep(0.5, kill_entry),), uses_ids_for_all=True),
        Case(
            "store", steps=(CaseStep(1 / 3, stop_store), CaseStep(2 / 3, start_store))
        ),
        Case("cancel", steps=(CaseStep(0.5, cancel_all),), uses_ids_for_all=True),
    )
}
