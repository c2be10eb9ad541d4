"""Startup and run of the entry and agent daemons on the platform."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Protocol

from ..errors import StartError
from ..events import EventName
from ..job_id import mint_incarnation
from ..logs import EventLog
from ..scheduling.operator_keys import OperatorKeys
from . import configuration
from .settings import read_settings
from .store import PlatformStore


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from ..scheduling.process_settings import ProcessSettings
    from ..settings import DaemonOptions
    from ..store.interface import Store
    from .store_timeouts import StoreTimeouts


OPERATOR_KEYS = OperatorKeys(
    prefix=configuration.OPERATOR_PREFIX,
    configuration_key=configuration.CONFIGURATION_KEY,
    decode_configuration=configuration.decode_configuration,
    parse_evacuation_key=configuration.parse_evacuation_key,
)


class Node(Protocol):
    """An entry or an agent."""

    async def run(self) -> None:
        """Serves until signalled to stop, then finishes the work in flight."""


def run_daemon(
    role: str,
    environment: Mapping[str, str],
    options: DaemonOptions,
    timeouts: StoreTimeouts,
    make_node: Callable[[ProcessSettings, EventLog, Store], Node],
) -> int:
    """Runs a daemon until it is signalled to stop; returns the exit code.

    Args:
        role: ``entry`` or ``agent``, the name of the process in its log.
        environment: The environment variables, one of which names the settings file.
        options: Settings that come from flags rather than from the platform.
        timeouts: Timeouts of calls to the store.
        make_node: Creates the entry or the agent; called in the running event loop.

    Raises:
        StartError: If a setting is missing or invalid, or an address can't be bound.
    """
    settings = require_settings(environment)
    if options.advertised is not None:
        settings = replace(settings, advertised=options.advertised)

    async def run_node(log: EventLog) -> None:
        with PlatformStore(settings.store, timeouts) as store:
            await make_node(settings, log, store).run()

    with EventLog(role, mint_incarnation(), settings.availability_zone) as log:
        log.record(EventName.PROCESS_STARTED, node=settings.node, link=settings.link)
        asyncio.run(run_node(log))
        log.record(EventName.PROCESS_STOPPED, node=settings.node)
    return 0


def require_settings(environment: Mapping[str, str]) -> ProcessSettings:
    """Reads the settings that the platform wrote for this process.

    Raises:
        StartError: If the file can't be read, or a field is missing or invalid.
    """
    settings = read_settings(environment)
    if settings.is_err():
        raise StartError(str(settings.unwrap_err()))
    return settings.unwrap()
