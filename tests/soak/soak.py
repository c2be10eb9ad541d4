"""One soak: a fleet, callers, a seeded series of faults, and the judge."""

from __future__ import annotations

import heapq
import random
import shutil
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tests.soak.callers import SoakCallers
from tests.soak.faults import FAULTS
from tests.soak.faults import Disruptions
from tests.soak.judge import Judge
from tests.standins.platform_fleet import PlatformFleet
from tests.standins.processes import wait_until


if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path


FIRST_FAULT_S = 1.0
MAX_GAP_S = 1.5
MIN_FAULT_S = 0.2
MAX_FAULT_S = 4.0
SERIES_SHARE = 0.25
MAX_SERIES = 3
RUN_TIMES_S = (0.1, 0.3, 1.0, 2.5)
RECOVERY_S = 15.0
# For a machine with other work, where only the recovery itself is judged.
PATIENT_RECOVERY_S = 60.0


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of a plan; times are in seconds from its start."""

    at: float
    kind: str
    lasts_s: float
    seed: int


@dataclass(frozen=True, slots=True)
class SoakSize:
    """How many processes and callers a soak has."""

    entries: int = 2
    agents: int = 3
    callers: int = 6


@dataclass(frozen=True, slots=True)
class SoakReport:
    """What a soak found.

    Attributes:
        seed: Its seed.
        jobs: Jobs by what their callers were told last.
        faults: Faults by kind.
        findings: Broken promises, each in a line.
    """

    seed: int
    jobs: Counter[str]
    faults: Counter[str]
    findings: list[str]


def plan_faults(seed: int, seconds: float, kinds: list[str]) -> list[PlannedFault]:
    """Returns the faults of a seed; some come in series, and they may overlap."""
    rng = random.Random(seed)
    plan: list[PlannedFault] = []
    at = FIRST_FAULT_S
    while at < seconds:
        kind = rng.choice(kinds)
        is_series = rng.random() < SERIES_SHARE
        for _ in range(rng.randint(2, MAX_SERIES) if is_series else 1):
            lasts_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
            plan.append(PlannedFault(at, kind, lasts_s, rng.randrange(2**32)))
            at += rng.uniform(0.0, MAX_GAP_S)
    return plan


def run_soak(
    seed: int,
    seconds: float,
    size: SoakSize,
    *,
    is_timed: bool,
    kinds: list[str] | None = None,
    keep: Path | None = None,
) -> SoakReport:
    """Plays one soak and judges it.

    Args:
        seed: Seed of the faults and the callers.
        seconds: How long faults come.
        size: Processes and callers.
        is_timed: Whether promises with a time bound are judged.
        kinds: Kinds of faults; all of them by default.
        keep: Where the logs of a soak with findings are kept.
    """
    plan = plan_faults(seed, seconds, kinds or list(FAULTS))
    with ExitStack() as stack:
        fleet = stack.enter_context(
            PlatformFleet(size.entries, size.agents, proxied=True)
        )
        run_s = random.Random(seed).choice(RUN_TIMES_S)
        for agent in fleet.agents:
            agent.target.faults.run_s = run_s
        disruptions = Disruptions(fleet)
        callers = SoakCallers(fleet, seed, size.callers, run_s)
        judge = Judge(fleet, callers, disruptions, is_timed)
        with judge, callers:
            _play(plan, disruptions)
            recovery_s = RECOVERY_S if is_timed else PATIENT_RECOVERY_S
            _judge_recovery(fleet, callers, judge, recovery_s)
        judge.judge_records()
        if judge.findings and keep is not None:
            shutil.copytree(fleet.folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    told = Counter(
        job.attempts[-1].state or str(job.attempts[-1].status)
        for job in callers.jobs
        if job.attempts
    )
    faults = Counter(fault.kind for fault in plan)
    return SoakReport(seed, told, faults, judge.findings)


def _play(plan: list[PlannedFault], disruptions: Disruptions) -> None:
    began_at = time.monotonic()
    ends: list[tuple[float, int, Callable[[], None]]] = []
    for number, fault in enumerate(plan):
        _end_faults(ends, began_at, fault.at)
        _sleep_until(began_at + fault.at)
        end = FAULTS[fault.kind](disruptions, random.Random(fault.seed))
        heapq.heappush(ends, (fault.at + fault.lasts_s, number, end))
    _end_faults(ends, began_at, float("inf"))


def _end_faults(
    ends: list[tuple[float, int, Callable[[], None]]], began_at: float, until: float
) -> None:
    while ends and ends[0][0] <= until:
        at, _, end = heapq.heappop(ends)
        _sleep_until(began_at + at)
        end()


def _sleep_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.monotonic()))


def _judge_recovery(
    fleet: PlatformFleet, callers: SoakCallers, judge: Judge, recovery_s: float
) -> None:
    since = time.monotonic()

    def has_recovered() -> bool:
        return fleet.is_ready() and all(
            callers.count_completed(entry, since) for entry in range(len(fleet.entries))
        )

    try:
        wait_until(has_recovered, "the fleet to serve again", recovery_s)
    except TimeoutError as error:
        judge.note(f"no recovery: {error}")
