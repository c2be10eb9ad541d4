"""The command that runs an entry."""

from __future__ import annotations

import os

from result import Err

from ...settings import ENTRY_OPTIONS
from ...settings import read_entry_settings
from ..command import Command
from ..command import UsageError


def entry(
    *,
    listen: str | None = None,
    link: str | None = None,
    advertise: str | None = None,
    store: str | None = None,
    availability_zone: str | None = None,
    threads: str | None = None,
) -> int:
    """Runs an entry until it is told to stop.

    Raises:
        UsageError: If a setting is missing or bad.
    """
    flags = {
        "listen": listen,
        "link": link,
        "advertise": advertise,
        "store": store,
        "availability_zone": availability_zone,
        "threads": threads,
    }
    settings = read_entry_settings(flags, os.environ)
    if isinstance(settings, Err):
        raise UsageError(str(settings.err_value))

    from ...entry.daemon import run_entry  # type: ignore[import-not-found, unused-ignore]

    return int(run_entry(settings.ok_value))


COMMAND = Command(
    name="entry",
    summary="Runs an entry, which carries jobs and tickets of callers.",
    run=entry,
    options=ENTRY_OPTIONS,
)
