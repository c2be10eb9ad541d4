"""The command that runs an entry."""

from __future__ import annotations

import os

from ...settings import ENTRY_OPTIONS
from ...settings import read_entry_settings
from ..command import Command
from ..usage import require_settings


def entry(
    *,
    listen: str | None = None,
    link: str | None = None,
    advertise: str | None = None,
    store: str | None = None,
    availability_zone: str | None = None,
    threads: str | None = None,
    memory_mb: str | None = None,
    max_descriptors: str | None = None,
) -> int:
    """Runs an entry until it is signalled to stop; returns the exit code.

    Raises:
        UsageError: If a setting is missing or invalid.
    """
    flags = {
        "listen": listen,
        "link": link,
        "advertise": advertise,
        "store": store,
        "availability_zone": availability_zone,
        "threads": threads,
        "memory_mb": memory_mb,
        "max_descriptors": max_descriptors,
    }
    settings = require_settings(read_entry_settings(flags, os.environ))

    from ...entry.daemon import run_entry

    return run_entry(settings)


COMMAND = Command(
    name="entry",
    summary="Runs an entry, which accepts jobs and change tickets from callers.",
    run=entry,
    options=ENTRY_OPTIONS,
)
