"""The cases of the load tool: what arrives, and what happens meanwhile."""

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
    """Something done at a moment of a case, as a share of its length."""

    at: float
    action: Callable[[BenchFleet, Callers], None]


@dataclass(frozen=True, slots=True)
class WorkWindow:
    """Part of a case in which the work done is measured.

    Attributes:
        name: Name of the figure.
        start: Beginning, as a share of the case.
        end: End, likewise.
        settle_s: Time left out at its beginning, in seconds.
        without_zone: Whether the slots of the zone that goes out don't count.
    """

    name: str
    start: float
    end: float
    settle_s: float = 0.0
    excludes_last_zone: bool = False

    def to_time_window(self, started_at: float, seconds: float) -> TimeWindow:
        """Returns the window on the monotonic clock."""
        start_s = started_at + self.start * seconds + self.settle_s
        return TimeWindow(start_s, started_at + self.end * seconds)


@dataclass(frozen=True, slots=True)
class Case:
    """One case.

    Attributes:
        name: Its name.
        loads: Load of each equal part of its length, relative to all slots.
        steps: What is done meanwhile.
        windows: Where the work done is measured.
        ids_for_all: Whether single requests go under an id too.
        baseline: Whether a random target is chosen for each task instead.
    """

    name: str
    loads: tuple[float, ...] = (QUIET_LOAD,)
    steps: tuple[CaseStep, ...] = ()
    windows: tuple[WorkWindow, ...] = ()
    uses_ids_for_all: bool = False
    baseline: bool = False


@dataclass(slots=True)
class StepRunner:
    """Does the steps of a case on a thread of its own.

    Attributes:
        errors: What went wrong with steps.
    """

    case: Case
    fleet: BenchFleet
    callers: Callers
    errors: list[str] = field(default_factory=list)

    def start(self, started_at: float, seconds: float) -> threading.Thread:
        """Starts the thread."""
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
    """Returns the jobs of a case."""
    part_s = seconds / len(case.loads)
    arrivals: list[JobArrival] = []
    for number, load in enumerate(case.loads):
        shape = WorkloadShape(slots, load, part_s, single_share, seed + number)
        arrivals += [job.delayed(number * part_s) for job in generate_jobs(shape)]
    return arrivals


def fail_target(fleet: BenchFleet, _callers: Callers) -> None:
    """Has one target fail everything at once."""
    fleet.control(fleet.agents[0].target.url, fail_all=True, slow_factor=0.0)


def slow_target(fleet: BenchFleet, _callers: Callers) -> None:
    """Has one target take ten times longer."""
    fleet.control(fleet.agents[0].target.url, slow_factor=STRAGGLER_FACTOR)


def set_zone_out_of_service(fleet: BenchFleet, _callers: Callers) -> None:
    """Takes the last availability zone out of service."""
    ticket = {"availability_zones": {fleet.zones[-1]: {"in_service": False}}}
    fleet.entries[0].caller.submit_ticket(OUT_OF_SERVICE_TICKET, ticket)


def set_zone_in_service(fleet: BenchFleet, _callers: Callers) -> None:
    """Brings it back."""
    ticket = {"availability_zones": {fleet.zones[-1]: {"in_service": True}}}
    fleet.entries[0].caller.submit_ticket(IN_SERVICE_TICKET, ticket)


def kill_entry(fleet: BenchFleet, _callers: Callers) -> None:
    """Kills one entry."""
    fleet.entries[0].process.kill()


def stop_store(fleet: BenchFleet, _callers: Callers) -> None:
    """Has the store refuse every call."""
    fleet.control(fleet.store_url, down="refuse")


def start_store(fleet: BenchFleet, _callers: Callers) -> None:
    """Has the store answer again."""
    fleet.control(fleet.store_url, down="")


def cancel_all(_fleet: BenchFleet, callers: Callers) -> None:
    """Cancels every job that runs under an id."""
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
