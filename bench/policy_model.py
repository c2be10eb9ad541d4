"""Compares policy variants in the discrete-event model, at the current size.

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
from bench.model.state import PolicyVariant
from bench.model.state import QueueOrder
from bench.model.state import RunStatistics
from bench.model.state import default_order
from bench.model.strategies import arrival_order
from bench.model.strategies import make_executor_choice
from bench.model.strategies import make_home_choice
from bench.model.strategies import make_size_weighted_order
from bench.model.strategies import round_robin_order
from bench.model.strategies import singles_first_order
from bench.model.strategies import smallest_first_order
from bench.workload import WorkloadShape
from bench.workload import generate_jobs
from bench.workload import ideal_duration_s


if TYPE_CHECKING:
    from collections.abc import Callable


ZONES = ("z1", "z2", "z3")
TARGETS = 10
SLOTS = 8
WARM_UP_S = 10.0

Row = dict[str, float | str]


@dataclass(frozen=True, slots=True)
class Options:
    """Simulated duration in seconds and seed of each run."""

    seconds: float
    seed: int


def build_agents() -> list[Agent]:
    """Returns ten agents in three availability zones."""
    return [
        Agent(f"agent{index}", ZONES[index % len(ZONES)], SLOTS)
        for index in range(TARGETS)
    ]


def run_model(
    variant: PolicyVariant,
    options: Options,
    load: float = 0.7,
    single_share: float = 0.9,
    prepare: Callable[[Simulator], None] = lambda _: None,
) -> RunStatistics:
    """Runs the model with one policy variant and returns its statistics.

    Args:
        variant: Policies of the run.
        options: Duration and seed.
        load: Offered work as a share of all slots.
        single_share: Share of jobs with a single task.
        prepare: Called with the simulator before the run, for example to add faults.
    """
    entries = [Entry(zone) for zone in ZONES]
    simulator = Simulator(build_agents(), entries, variant, options.seed)
    prepare(simulator)
    slots = TARGETS * SLOTS
    shape = WorkloadShape(slots, load, options.seconds, single_share, options.seed)
    return simulator.run(generate_jobs(shape), options.seconds)


def compute_quantile(values: list[float], share: float) -> float:
    """Returns a quantile by rank; 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def compute_ratios(jobs: list[Job]) -> list[float]:
    """Returns response times, relative to the ideal, of jobs after the warm-up."""
    slots = TARGETS * SLOTS
    return [
        (job.ended_s - job.arrival.at_s) / ideal_duration_s(job.arrival.run_s, slots)
        for job in jobs
        if job.ended_s is not None and job.arrival.at_s >= WARM_UP_S
    ]


def summarise(name: str, statistics: RunStatistics) -> Row:
    """Returns the figures of a run as a table row."""
    succeeded = [job for job in statistics.jobs if not job.failed]
    single_ratios = compute_ratios(
        [job for job in succeeded if len(job.arrival.run_s) == 1]
    )
    job_ratios = compute_ratios(
        [job for job in succeeded if len(job.arrival.run_s) > 1]
    )
    tasks = max(len(statistics.work), 1)
    return {
        "way": name,
        "single p50": round(compute_quantile(single_ratios, 0.5), 3),
        "p90": round(compute_quantile(single_ratios, 0.9), 3),
        "p99": round(compute_quantile(single_ratios, 0.99), 3),
        "job p50": round(compute_quantile(job_ratios, 0.5), 2),
        "job p99": round(compute_quantile(job_ratios, 0.99), 2),
        "messages/task": round(statistics.messages / tasks, 3),
        "queued mean": round(
            sum(statistics.queued_samples) / max(len(statistics.queued_samples), 1), 3
        ),
        "done": len(succeeded),
        "failed": len(statistics.jobs) - len(succeeded),
        "refused": statistics.refused,
        "work": compute_work_share(
            statistics, WARM_UP_S, statistics.ended_s, TARGETS * SLOTS
        ),
    }


def compare_homes(options: Options) -> list[Row]:
    """Choice of homes, with single requests only, so that no jobs fill the slots."""
    names = ["random", "least of all", "of two", "of three", "of five", "policy"]
    return [
        summarise(
            name,
            run_model(
                PolicyVariant(home=make_home_choice(name)), options, single_share=1.0
            ),
        )
        for name in names
    ]


def compare_homes_mixed(options: Options) -> list[Row]:
    """Choice of homes, with the users' mix of single requests and jobs."""
    names = ["random", "least of all", "of two", "policy"]
    return [
        summarise(name, run_model(PolicyVariant(home=make_home_choice(name)), options))
        for name in names
    ]


def compare_executors(options: Options) -> list[Row]:
    """Choice of targets for tasks."""
    names = ["random", "least of all", "of two", "policy"]
    return [
        summarise(
            name, run_model(PolicyVariant(executor=make_executor_choice(name)), options)
        )
        for name in names
    ]


def compare_queue_allowances(options: Options) -> list[Row]:
    """Dispatch to free slots only, or also to short queues at the targets."""
    return [
        summarise(
            f"{load:.0%}, allowance {allowance}", run_model(variant, options, load)
        )
        for load in (0.7, 2.0)
        for allowance in (0, 1, 2, 4, 1000)
        for variant in [PolicyVariant(queue_allowance=allowance, refuses=True)]
    ]


def compare_orders(options: Options) -> list[Row]:
    """Order of tasks in queues."""
    orders: dict[str, QueueOrder] = {
        "arrival": arrival_order,
        "turns": round_robin_order,
        "singles first": singles_first_order,
        "smallest first": smallest_first_order,
        "arrival + 5 ms a task": make_size_weighted_order(0.005),
        "arrival + 25 ms a task": make_size_weighted_order(0.025),
        "arrival + 100 ms a task": default_order,
    }
    return [
        summarise(f"{load:.0%}, {name}", run_model(variant, options, load))
        for load in (0.7, 2.0)
        for name, order in orders.items()
        for variant in [PolicyVariant(order=order, refuses=load > 1)]
    ]


def compare_reserved_slots(options: Options) -> list[Row]:
    """Slots of each target reserved for single requests, and up to which load."""
    cases = {
        "none": PolicyVariant(reserved=0),
        "1": PolicyVariant(reserved=1),
        "2": PolicyVariant(reserved=2),
        "1 below 80% busy": PolicyVariant(reserved=1, reserve_below=0.8),
        "1 below 85% busy": PolicyVariant(reserved=1, reserve_below=0.85),
        "2 below 75% busy": PolicyVariant(reserved=2, reserve_below=0.75),
    }
    return [
        summarise(f"{load:.0%}, {name}", run_model(adjusted, options, load))
        for load in (0.7, 2.0)
        for name, variant in cases.items()
        for adjusted in [replace(variant, refuses=load > 1)]
    ]


def compare_ejection(options: Options) -> list[Row]:
    """One worker fails every task immediately."""

    def fail_agent(simulator: Simulator) -> None:
        simulator.agents["agent0"].fails = True

    return [
        summarise(
            name, run_model(PolicyVariant(ejects=ejects), options, prepare=fail_agent)
        )
        for name, ejects in (("no ejection", False), ("ejection", True))
    ]


def compare_hedging(options: Options) -> list[Row]:
    """One worker is ten times slower; single requests only, half idempotent."""

    def slow_agent(simulator: Simulator) -> None:
        simulator.agents["agent0"].speed = 0.1

    rows: list[Row] = []
    for name, hedges in (("no hedging", False), ("hedging", True)):
        statistics = run_model(
            PolicyVariant(hedges=hedges), options, 0.5, 1.0, slow_agent
        )
        row = summarise(name, statistics)
        row["hedges"] = statistics.hedges
        row["starts/task"] = round(statistics.started / max(len(statistics.work), 1), 3)
        idempotent = [job for job in statistics.jobs if job.arrival.idempotent]
        row["idempotent p99"] = round(
            compute_quantile(compute_ratios(idempotent), 0.99), 2
        )
        rows.append(row)
    return rows


def compare_zone_change(options: Options) -> list[Row]:
    """A zone of three targets is out of service for a third of the run, at load 1.2."""
    rows: list[Row] = []
    for allowance in (0, 1, 2, 4):
        for returns_unstarted in (True, False):
            variant = PolicyVariant(
                queue_allowance=allowance, returns_unstarted=returns_unstarted
            )
            rows.append(run_zone_change(variant, options))
    return rows


def run_zone_change(variant: PolicyVariant, options: Options) -> Row:
    """Runs one variant with a zone out of service in the middle third of the run."""
    out_s, back_s = options.seconds / 3, 2 * options.seconds / 3

    def change(simulator: Simulator) -> None:
        simulator.schedule(out_s, lambda: simulator.set_zone_service("z3", False))
        simulator.schedule(back_s, lambda: simulator.set_zone_service("z3", True))

    statistics = run_model(variant, options, 1.2, prepare=change)
    slots_left = sum(agent.slots for agent in build_agents() if agent.zone != "z3")
    queue_label = "taken back" if variant.returns_unstarted else "left"
    row = summarise(f"allowance {variant.queue_allowance}, {queue_label}", statistics)
    row["work out"] = compute_work_share(statistics, out_s + 5, back_s, slots_left)
    row["work 5 s after return"] = compute_work_share(
        statistics, back_s + 5, back_s + 15, TARGETS * SLOTS
    )
    return row


def compute_work_share(
    statistics: RunStatistics, window_start_s: float, window_end_s: float, slots: int
) -> float:
    """Returns the work completed in a window, relative to the slot time in it."""
    work_s = sum(
        run_s
        for end_s, run_s in statistics.work
        if window_start_s <= end_s < window_end_s
    )
    return round(work_s / ((window_end_s - window_start_s) * slots), 3)


def compare_refusal(options: Options) -> list[Row]:
    """Load at twice the capacity, refused early or queued."""
    rows: list[Row] = []
    for name, refuses in (("queue everything", False), ("refuse early", True)):
        statistics = run_model(replace(PolicyVariant(), refuses=refuses), options, 2.0)
        row = summarise(name, statistics)
        rows.append(row)
    return rows


TABLES: dict[str, Callable[[Options], list[Row]]] = {
    "homes": compare_homes,
    "homes_mixed": compare_homes_mixed,
    "executors": compare_executors,
    "allowances": compare_queue_allowances,
    "orders": compare_orders,
    "reserves": compare_reserved_slots,
    "ejection": compare_ejection,
    "hedging": compare_hedging,
    "zone_change": compare_zone_change,
    "refusal": compare_refusal,
}


def print_table(title: str, rows: list[Row]) -> None:
    """Prints a title and rows as a table."""
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
    """Runs the selected comparisons; prints a table of each and one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("tables", nargs="*", choices=[[], *TABLES], default=[])
    parser.add_argument("--seconds", type=float, default=300.0)
    parser.add_argument("--seed", type=int, default=1)
    parsed = parser.parse_args(arguments)
    options = Options(parsed.seconds, parsed.seed)
    results: dict[str, list[Row]] = {}
    for name in parsed.tables or TABLES:
        started_at = time.monotonic()
        results[name] = TABLES[name](options)
        print_table(f"{name}: {TABLES[name].__doc__}", results[name])
        print(f"({time.monotonic() - started_at:.1f} s)", file=sys.stderr)
    print(json.dumps({"seconds": options.seconds, "seed": options.seed, **results}))


if __name__ == "__main__":
    main(sys.argv[1:])
