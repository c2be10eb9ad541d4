"""The commands that run the daemons on the users' platform."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from ...settings import ADVERTISE
from ...settings import METRICS_PORT
from ...settings import PLATFORM_AGENT_OPTIONS
from ...settings import PLATFORM_OPTIONS
from ...settings import REPORTED_ENTRIES
from ...settings import read_daemon_options
from ..command import Command
from ..usage import require_settings


if TYPE_CHECKING:
    from collections.abc import Mapping

    from ...settings import DaemonOptions
    from ...settings import Option


def entry(*, metrics_port: str | None = None, advertise: str | None = None) -> int:
    """Runs an entry until it is signalled to stop; returns the exit code.

    Raises:
        UsageError: If a setting is missing or invalid.
    """
    options = _read_options({METRICS_PORT: metrics_port, ADVERTISE: advertise})

    from ...platform.entry_daemon import run_entry

    return run_entry(os.environ, options)


def agent(
    *,
    metrics_port: str | None = None,
    advertise: str | None = None,
    reported_entries: str | None = None,
) -> int:
    """Runs an agent until it is signalled to stop; returns the exit code.

    Raises:
        UsageError: If a setting is missing or invalid.
    """
    options = _read_options(
        {
            METRICS_PORT: metrics_port,
            ADVERTISE: advertise,
            REPORTED_ENTRIES: reported_entries,
        }
    )

    from ...platform.agent_daemon import run_agent

    return run_agent(os.environ, options)


def _read_options(values: Mapping[Option, str | None]) -> DaemonOptions:
    flags = {option.name: value for option, value in values.items()}
    return require_settings(read_daemon_options(flags, os.environ))


ENTRY_COMMAND = Command(
    name="platform entry",
    summary="Runs an entry on the platform, which schedules the jobs of callers.",
    run=entry,
    options=PLATFORM_OPTIONS,
)
AGENT_COMMAND = Command(
    name="platform agent",
    summary="Runs an agent on the platform, which runs tasks on its target.",
    run=agent,
    options=PLATFORM_AGENT_OPTIONS,
)
