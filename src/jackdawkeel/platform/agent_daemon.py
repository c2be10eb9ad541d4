"""Runs an agent on the platform.

Imports nothing that only entries need, because workers have little memory.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import StartError
from ..scheduling.agent_node import AgentNode
from ..scheduling.target_interface import TargetInterface
from . import heartbeats
from .daemon import OPERATOR_KEYS
from .daemon import run_daemon
from .store_timeouts import AGENT_TIMEOUTS
from .target_runtime import PlatformTargetRuntime


if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..logs import EventLog
    from ..scheduling.process_settings import ProcessSettings
    from ..settings import DaemonOptions
    from ..store.interface import Store


TARGET_INTERFACE = TargetInterface(
    match_heartbeat=heartbeats.match_heartbeat,
    match_deregistration=heartbeats.match_deregistration,
    decode_heartbeat=heartbeats.decode_heartbeat,
)


def run_agent(environment: Mapping[str, str], options: DaemonOptions) -> int:
    """Runs an agent until it is signalled to stop; returns the exit code.

    Raises:
        StartError: If a setting is missing or invalid, or an address can't be bound.
    """

    def make_node(settings: ProcessSettings, log: EventLog, store: Store) -> AgentNode:
        if settings.target is None:
            raise StartError("the settings have no target address (field app)")
        runtime = PlatformTargetRuntime(settings.target)
        return AgentNode(
            settings,
            log,
            store,
            OPERATOR_KEYS,
            runtime,
            TARGET_INTERFACE,
            options.metrics_port,
            options.reported_entries,
        )

    return run_daemon("agent", environment, options, AGENT_TIMEOUTS, make_node)
