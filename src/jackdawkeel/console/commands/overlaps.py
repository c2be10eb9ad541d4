"""The command that finds tasks that ran twice at the same time."""

from __future__ import annotations

import os

from ...events import EventName
from ...setting_values import SettingError
from ...setting_values import parse_count
from ...settings import MS_PER_S
from ...settings import Option
from ...settings import read_text
from ..command import Command
from ..command import ExitCode
from ..command import UsageError
from ..merged_events import LoggedEvent
from ..merged_events import merge_events
from ..responses import print_error
from ..usage import read_log_lines


CLOCK_DIFFERENCE = Option(
    "clock_difference_ms",
    "MS",
    "greatest difference between the wall clocks of two VMs to assume",
    "0",
)
MAX_CLOCK_DIFFERENCE_MS = 3_600_000


def show_overlaps(*logs: str, clock_difference_ms: str | None = None) -> int:
    """Prints the tasks with two runs at once and returns the exit code.

    Returns:
        ``ExitCode.FAILED`` if there is such a task, even if the overlap is only
        possible.

    Raises:
        UsageError: If the option is invalid or a log can't be read.
    """
    # Other commands don't need the modules of the agent.
    from ..run_overlaps import Certainty
    from ..run_overlaps import collect_runs
    from ..run_overlaps import find_overlaps
    from ..run_overlaps import render_overlap

    difference_ms = _read_clock_difference_ms(clock_difference_ms)
    merged = merge_events([read_log_lines(log) for log in logs])
    runs = collect_runs(merged.events)
    overlaps = find_overlaps(runs, difference_ms / MS_PER_S)
    for overlap in overlaps:
        print(render_overlap(overlap))
    certain = sum(overlap.certainty is Certainty.CERTAIN for overlap in overlaps)
    print(
        f"{certain} certain and {len(overlaps) - certain} possible overlaps among "
        f"{len(runs)} runs, if clocks of VMs differ by at most {difference_ms} ms"
    )
    _report_missing(merged.events, merged.damaged_lines)
    return ExitCode.FAILED if overlaps else ExitCode.DONE


def _read_clock_difference_ms(flag: str | None) -> int:
    text = read_text(CLOCK_DIFFERENCE, {CLOCK_DIFFERENCE.name: flag}, os.environ)
    try:
        return parse_count(text or "0", 0, MAX_CLOCK_DIFFERENCE_MS)
    except SettingError as error:
        source = CLOCK_DIFFERENCE.variable if flag is None else CLOCK_DIFFERENCE.flag
        raise UsageError(f"{source} {error}") from None


def _report_missing(events: list[LoggedEvent], damaged_lines: int) -> None:
    drops = [
        event for event in events if event.line.message_type == EventName.EVENTS_DROPPED
    ]
    if drops:
        print_error(f"processes dropped lines, and runs with them, {len(drops)} times")
    if damaged_lines:
        print_error(f"{damaged_lines} damaged lines were ignored")


COMMAND = Command(
    name="overlaps",
    summary="Prints the tasks that ran twice at the same time, from all logs; exit "
    "code 1 if there are any.",
    run=show_overlaps,
    arguments=("LOG",),
    is_variadic=True,
    options=(CLOCK_DIFFERENCE,),
)
