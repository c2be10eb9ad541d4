"""Runs an entry on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..scheduling.caller_interface import CallerInterface
from ..scheduling.entry_node import EntryNode
from . import caller_api
from .daemon import OPERATOR_KEYS
from .daemon import run_daemon
from .store_timeouts import ENTRY_TIMEOUTS
from .submissions import format_task_name


if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..logs import EventLog
    from ..scheduling.process_settings import ProcessSettings
    from ..settings import DaemonOptions
    from ..store.interface import Store


CALLER_INTERFACE = CallerInterface(
    is_readiness_check=caller_api.is_readiness_check,
    decode_call=caller_api.decode_call,
    build_job_response=caller_api.build_job_response,
    build_state_response=caller_api.build_state_response,
    build_pending_response=caller_api.build_pending_response,
    build_error_response=caller_api.build_error_response,
    build_readiness_response=caller_api.build_readiness_response,
    format_task_name=format_task_name,
)


def run_entry(environment: Mapping[str, str], options: DaemonOptions) -> int:
    """Runs an entry until it is signalled to stop; returns the exit code.

    Raises:
        StartError: If a setting is missing or invalid, or an address can't be bound.
    """

    def make_node(settings: ProcessSettings, log: EventLog, store: Store) -> EntryNode:
        return EntryNode(
            settings, log, store, OPERATOR_KEYS, CALLER_INTERFACE, options.metrics_port
        )

    return run_daemon("entry", environment, options, ENTRY_TIMEOUTS, make_node)
