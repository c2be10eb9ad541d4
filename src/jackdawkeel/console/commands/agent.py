"""The command that runs an agent."""

from __future__ import annotations

import os

from ...settings import AGENT_OPTIONS
from ...settings import read_agent_settings
from ..command import Command
from ..usage import require_settings


def agent(
    *,
    link: str | None = None,
    advertise: str | None = None,
    store: str | None = None,
    availability_zone: str | None = None,
    rack: str | None = None,
    target: str | None = None,
    services: str | None = None,
    slots: str | None = None,
    connections: str | None = None,
) -> int:
    """Runs an agent until it is signalled to stop; returns the exit code.

    Raises:
        UsageError: If a setting is missing or invalid.
    """
    flags = {
        "link": link,
        "advertise": advertise,
        "store": store,
        "availability_zone": availability_zone,
        "rack": rack,
        "target": target,
        "services": services,
        "slots": slots,
        "connections": connections,
    }
    settings = require_settings(read_agent_settings(flags, os.environ))

    # Imported only now, so that no process loads the modules of other commands: agents
    # must not load CherryPy, which only entries use.
    from ...agent.daemon import run_agent

    return run_agent(settings)


COMMAND = Command(
    name="agent",
    summary="Runs an agent, which dispatches tasks to the target on its machine.",
    run=agent,
    options=AGENT_OPTIONS,
)
