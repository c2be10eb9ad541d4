"""Measures the slopes that docs/CAPACITY.md extrapolates from.

Usage: .venv/bin/python -m bench.capacity [PART...]
"""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from dataclasses import asdict
from typing import TYPE_CHECKING

from bench.controller_slopes import measure_configuration
from bench.controller_slopes import measure_heartbeats
from bench.controller_slopes import measure_homes
from bench.controller_slopes import measure_ids
from bench.controller_slopes import measure_jobs
from bench.fits import Fit
from bench.fits import print_fit
from bench.link_slopes import measure_dispatch
from bench.link_slopes import measure_link
from bench.process_slopes import measure_agents
from bench.process_slopes import measure_entries


if TYPE_CHECKING:
    from collections.abc import Callable


PARTS: dict[str, Callable[[], list[Fit]]] = {
    "heartbeats": measure_heartbeats,
    "homes": measure_homes,
    "jobs": measure_jobs,
    "ids": measure_ids,
    "configuration": measure_configuration,
    "dispatch": measure_dispatch,
    "link": measure_link,
    "entries": measure_entries,
    "agents": measure_agents,
}


def main(arguments: list[str]) -> None:
    """Measures the selected parts; prints their fits and one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", default=[])
    parsed = parser.parse_args(arguments)
    fits: dict[str, list[Fit]] = {}
    for name in parsed.parts or PARTS:
        started_at = time.monotonic()
        fits[name] = PARTS[name]()
        for fit in fits[name]:
            print_fit(fit)
        print(f"({name}: {time.monotonic() - started_at:.0f} s)", file=sys.stderr)
    result = {
        name: [asdict(fit) for fit in part_fits] for name, part_fits in fits.items()
    }
    print(json.dumps({"load_average": os.getloadavg()[0], **result}))


if __name__ == "__main__":
    main(sys.argv[1:])
