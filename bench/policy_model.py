"""Compares ways of deciding in the model, at the sizes of today.

Usage: .venv/bin/python -m bench.policy_model [--seconds 300] [--seed 1] [TABLE...]
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from bench.model.simulator import Simulator
from bench.model.state import Agent
from bench.model.state import Entry
from bench.model.state import Job
from bench.model.state import JobOrder
from bench.model.state import Tally
from bench.model.state import Ways
from bench.model.state import default_order
from bench.model.ways import aged_size
from bench.model.ways import arrival_order
from bench.model.ways import executor_of
from bench.model.ways import home_of
from bench.model.ways import singles_first
from bench.model.ways import smallest_first
from bench.model.ways import turns
from bench.workload import WorkloadShape
from bench.workload import generate_jobs
from bench.workload import ideal_s


if TYPE_CHECKING:
    from collections.abc import Callable


ZONES = ("z1", "z2", "z3")
TARGETS = 10
SLOTS = 8
WARM_UP_S = 10.0

Row = dict[str, float | str]


@dataclass(frozen=True, slots=True)
class Options:
    """Length and seed of each run."""

    seconds: float
    seed: int


def build_agents() -> list[Agent]:
    """Returns ten agents over three availability zones."""
    return [
        Agent(f"agent{index}", ZONES[index % len(ZONES)], SLOTS)
        for index in range(TARGETS)
    ]


def run_model(
    ways: Ways,
    options: Options,
    load: float = 0.7,
    single_share: float = 0.9,
    prepare: Callable[[Simulator], None] = lambda _: None,
) -> Tally:
    """Runs one way and returns its tally."""
    entries = [Entry(zone) for zone in ZONES]
    simulator = Simulator(build_agents(), entries, ways, options.seed)
    prepare(simulator)
    slots = TARGETS * SLOTS
    shape = WorkloadShape(slots, load, options.seconds, single_share, options.seed)
    return simulator.run(generate_jobs(shape), options.seconds)


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile by rank, 0 of nothing."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def ratios(jobs: list[Job]) -> list[float]:
    """Returns response times against the ideal, after the warm-up."""
    slots = TARGETS * SLOTS
    return [
        (job.ended_s - job.arrival.at_s) / ideal_s(job.arrival.run_s, slots)
        for job in jobs
        if job.ended_s is not None and job.arrival.at_s >= WARM_UP_S
    ]


def summarise(name: str, tally: Tally) -> Row:
    """Returns the figures of a run as a row."""
    good = [job for job in tally.jobs if not job.failed]
    singles = ratios([job for job in good if len(job.arrival.run_s) == 1])
    large = ratios([job for job in good if len(job.arrival.run_s) > 1])
    tasks = max(len(tally.work), 1)
    return {
        "way": name,
        "single p50": round(quantile(singles, 0.5), 3),
        "p90": round(quantile(singles, 0.9), 3),
        "p99": round(quantile(singles, 0.99), 3),
        "job p50": round(quantile(large, 0.5), 2),
        "job p99": round(quantile(large, 0.99), 2),
        "messages/task": round(tally.messages / tasks, 3),
        "queued mean": round(
            sum(tally.queued_samples) / max(len(tally.queued_samples), 1), 3
        ),
        "done": len(good),
        "failed": len(tally.jobs) - len(good),
        "refused": tally.refused,
        "work": work_share(tally, WARM_UP_S, tally.ended_s, TARGETS * SLOTS),
    }


def compare_homes(options: Options) -> list[Row]:
    """Homes of single requests only, so that nothing else fills the slots."""
    names = ["random", "least of all", "of two", "of three", "of five", "policy"]
    return [
        summarise(name, run_model(Ways(home=home_of(name)), options, single_share=1.0))
        for name in names
    ]


def compare_homes_mixed(options: Options) -> list[Row]:
    """Homes with the brief's mix of single requests and jobs."""
    names = ["random", "least of all", "of two", "policy"]
    return [
        summarise(name, run_model(Ways(home=home_of(name)), options)) for name in names
    ]


def compare_executors(options: Options) -> list[Row]:
    """Targets of tasks."""
    names = ["random", "least of all", "of two", "policy"]
    return [
        summarise(name, run_model(Ways(executor=executor_of(name)), options))
        for name in names
    ]


def compare_allowances(options: Options) -> list[Row]:
    """Free slots only, or short queues."""
    return [
        summarise(f"{load:.0%}, allowance {allowance}", run_model(ways, options, load))
        for load in (0.7, 2.0)
        for allowance in (0, 1, 2, 4, 1000)
        for ways in [Ways(queue_allowance=allowance, refuses=True)]
    ]


def compare_orders(options: Options) -> list[Row]:
    """Whose tasks go first in queues."""
    orders: dict[str, JobOrder] = {
        "arrival": arrival_order,
        "turns": turns,
        "singles first": singles_first,
        "smallest first": smallest_first,
        "arrival + 5 ms a task": aged_size(0.005),
        "arrival + 25 ms a task": aged_size(0.025),
        "arrival + 100 ms a task": default_order,
    }
    return [
        summarise(f"{load:.0%}, {name}", run_model(ways, options, load))
        for load in (0.7, 2.0)
        for name, order in orders.items()
        for ways in [Ways(order=order, refuses=load > 1)]
    ]


def compare_reserves(options: Options) -> list[Row]:
    """Slots of each target that jobs leave to single requests, and how long."""
    cases = {
        "none": Ways(reserved=0),
        "1": Ways(reserved=1),
        "2": Ways(reserved=2),
        "1 below 80% busy": Ways(reserved=1, reserve_below=0.8),
        "1 below 85% busy": Ways(reserved=1, reserve_below=0.85),
        "2 below 75% busy": Ways(reserved=2, reserve_below=0.75),
    }
    return [
        summarise(f"{load:.0%}, {name}", run_model(used, options, load))
        for load in (0.7, 2.0)
        for name, ways in cases.items()
        for used in [replace(ways, refuses=load > 1)]
    ]


def compare_ejection(options: Options) -> list[Row]:
    """One worker fails everything at once."""

    def fail_one(simulator: Simulator) -> None:
        simulator.agents["agent0"].fails = True

    return [
        summarise(name, run_model(Ways(ejects=ejects), options, prepare=fail_one))
        for name, ejects in (("no ejection", False), ("ejection", True))
    ]


def compare_hedging(options: Options) -> list[Row]:
    """One worker is ten times slower; single requests, half of them idempotent."""

    def slow_one(simulator: Simulator) -> None:
        simulator.agents["agent0"].speed = 0.1

    rows: list[Row] = []
    for name, hedges in (("no hedging", False), ("hedging", True)):
        tally = run_model(Ways(hedges=hedges), options, 0.5, 1.0, slow_one)
        row = summarise(name, tally)
        row["hedges"] = tally.hedges
        row["starts/task"] = round(tally.started / max(len(tally.work), 1), 3)
        idempotent = [job for job in tally.jobs if job.arrival.idempotent]
        row["idempotent p99"] = round(quantile(ratios(idempotent), 0.99), 2)
        rows.append(row)
    return rows


def compare_zone_change(options: Options) -> list[Row]:
    """A zone of three targets goes out for a third of the run at full load."""
    rows: list[Row] = []
    for allowance in (0, 1, 2, 4):
        for takes_back in (True, False):
            ways = Ways(queue_allowance=allowance, takes_back=takes_back)
            rows.append(run_zone_change(ways, options))
    return rows


def run_zone_change(ways: Ways, options: Options) -> Row:
    """Runs one way through a zone change."""
    out_s, back_s = options.seconds / 3, 2 * options.seconds / 3

    def change(simulator: Simulator) -> None:
        simulator.schedule(out_s, lambda: simulator.set_zone("z3", False))
        simulator.schedule(back_s, lambda: simulator.set_zone("z3", True))

    tally = run_model(ways, options, 1.2, prepare=change)
    left = sum(agent.slots for agent in build_agents() if agent.zone != "z3")
    taken = "taken back" if ways.takes_back else "left"
    row = summarise(f"allowance {ways.queue_allowance}, {taken}", tally)
    row["work out"] = work_share(tally, out_s + 5, back_s, left)
    row["work 5 s after return"] = work_share(
        tally, back_s + 5, back_s + 15, TARGETS * SLOTS
    )
    return row


def work_share(tally: Tally, from_s: float, to_s: float, slots: int) -> float:
    """Returns the work that ended in a window, relative to its slots."""
    work_s = sum(run_s for end_s, run_s in tally.work if from_s <= end_s < to_s)
    return round(work_s / ((to_s - from_s) * slots), 3)


def compare_refusal(options: Options) -> list[Row]:
    """A burst at twice the capacity, refused early or queued."""
    rows: list[Row] = []
    for name, refuses in (("queue everything", False), ("refuse early", True)):
        tally = run_model(replace(Ways(), refuses=refuses), options, 2.0)
        row = summarise(name, tally)
        rows.append(row)
    return rows


TABLES: dict[str, Callable[[Options], list[Row]]] = {
    "homes": compare_homes,
    "homes_mixed": compare_homes_mixed,
    "executors": compare_executors,
    "allowances": compare_allowances,
    "orders": compare_orders,
    "reserves": compare_reserves,
    "ejection": compare_ejection,
    "hedging": compare_hedging,
    "zone_change": compare_zone_change,
    "refusal": compare_refusal,
}


def print_table(title: str, rows: list[Row]) -> None:
    """Prints rows as a table."""
    names = list(rows[0])
    widths = [max(len(name), *(len(str(row[name])) for row in rows)) for name in names]
    print(f"\n{title}")
    for cells in [names, *([str(row[name]) for name in names] for row in rows)]:
        print(
            "  ".join(
                cell.rjust(width) for cell, width in zip(cells, widths, strict=True)
            )
        )


def main(arguments: list[str]) -> None:
    """Runs the chosen tables and prints them, and one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("tables", nargs="*", choices=[[], *TABLES], default=[])
    parser.add_argument("--seconds", type=float, default=300.0)
    parser.add_argument("--seed", type=int, default=1)
    parsed = parser.parse_args(arguments)
    options = Options(parsed.seconds, parsed.seed)
    results: dict[str, list[Row]] = {}
    for name in parsed.tables or TABLES:
        began = time.monotonic()
        results[name] = TABLES[name](options)
        print_table(f"{name}: {TABLES[name].__doc__}", results[name])
        print(f"({time.monotonic() - began:.1f} s)", file=sys.stderr)
    print(json.dumps({"seconds": options.seconds, "seed": options.seed, **results}))


if __name__ == "__main__":
    main(sys.argv[1:])
