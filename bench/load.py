"""Load benchmark: runs the cases of ``cases.py`` on a fleet of real processes.

Usage: .venv/bin/python -m bench.load [--seconds 30] [--seed 1] [CASE...]
"""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.baseline import RandomTargetCallers
from bench.callers import Callers
from bench.cases import CASES
from bench.cases import StepRunner
from bench.cases import make_arrivals
from bench.figures import Figures
from bench.figures import make_figures
from bench.figures import print_table
from bench.figures import start_usage_meter
from bench.fleet import BenchFleet
from bench.workload import SINGLE_SHARE


if TYPE_CHECKING:
    from bench.cases import Case


START_DELAY_S = 1.0
METRICS_LAG_S = 1.5


@dataclass(frozen=True, slots=True)
class Options:
    """Options that apply to every case.

    Attributes:
        seconds: Duration of the arrivals in seconds.
        seed: Seed of all random draws.
        zone_delay_ms: One-way latency between availability zones in milliseconds,
            added by proxies.
        single_share: Share of jobs with a single task.
    """

    seconds: float
    seed: int
    zone_delay_ms: float
    single_share: float


def run_case(case: Case, options: Options) -> Figures:
    """Runs one case on a new fleet and returns its figures."""
    with BenchFleet(options.zone_delay_ms) as fleet:
        fleet.delay_between_zones()
        arrivals = make_arrivals(
            case,
            fleet.total_slots,
            options.seconds,
            options.seed,
            options.single_share,
        )
        callers = Callers(fleet, options.seed, case.uses_ids_for_all)
        sender = RandomTargetCallers(fleet, options.seed) if case.baseline else callers
        steps = StepRunner(case, fleet, callers)
        meter = start_usage_meter(fleet)
        started_at = time.monotonic() + START_DELAY_S
        thread = steps.start(started_at, options.seconds)
        sender.run(arrivals, started_at)
        thread.join()
        ran_s = time.monotonic() - started_at
        usages = (
            meter.find_max_usage(fleet, "agent", ran_s),
            meter.find_max_usage(fleet, "entry", ran_s),
        )
        time.sleep(METRICS_LAG_S)
        envelopes = meter.count_envelopes(fleet)
        return make_figures(
            case,
            fleet,
            sender.calls,
            started_at,
            options.seconds,
            envelopes,
            usages,
            steps.errors,
        )


def main(arguments: list[str]) -> None:
    """Runs the selected cases; prints a table and one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("cases", nargs="*", default=[])
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--zone-delay-ms", type=float, default=0.0)
    parser.add_argument("--single-share", type=float, default=SINGLE_SHARE)
    parsed = parser.parse_args(arguments)
    options = Options(
        parsed.seconds, parsed.seed, parsed.zone_delay_ms, parsed.single_share
    )
    rows: list[Figures] = []
    for name in parsed.cases or CASES:
        print(f"running {name}", file=sys.stderr)
        rows.append(run_case(CASES[name], options))
    print_table(rows)
    load_average = os.getloadavg()[0]
    result = {**asdict(options), "load_average": load_average}
    print(json.dumps({**result, "cases": [asdict(row) for row in rows]}))


if __name__ == "__main__":
    main(sys.argv[1:])
