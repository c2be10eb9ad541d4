"""The command that merges the event logs of all processes."""

from __future__ import annotations

import os

from ...settings import Option
from ...settings import read_text
from ..command import Command
from ..command import ExitCode
from ..merged_events import has_value
from ..merged_events import merge_events
from ..merged_events import render_event
from ..responses import print_error
from ..usage import read_log_lines


JOB = Option("job", "ID", "only events that contain this job id")


def show_timeline(*logs: str, job: str | None = None) -> int:
    """Prints the merged events of all logs and returns the exit code.

    Raises:
        UsageError: If a log can't be read.
    """
    merged = merge_events([read_log_lines(log) for log in logs])
    job_id = read_text(JOB, {JOB.name: job}, os.environ)
    for event in merged.events:
        if job_id is None or has_value(event, job_id):
            print(render_event(event))
    if merged.damaged_lines:
        print_error(f"{merged.damaged_lines} damaged lines were ignored")
    return ExitCode.DONE


COMMAND = Command(
    name="timeline",
    summary="Prints the events of several logs, ordered by time; - is standard input.",
    run=show_timeline,
    arguments=("LOG",),
    is_variadic=True,
    options=(JOB,),
)
