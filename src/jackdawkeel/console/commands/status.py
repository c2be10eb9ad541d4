"""The command that shows agents, availability zones, entries and the store."""

from __future__ import annotations

import os

from result import Err

from ...decode_errors import DECODE_ERRORS
from ...settings import CLIENT_OPTIONS
from ...settings import read_client_settings
from ...status import decode_status_report
from ..command import Command
from ..command import ExitCode
from ..entry_client import EntryClient
from ..responses import OK_STATUS
from ..responses import print_error
from ..status_table import render_status
from ..usage import require_settings


def show_status(*, entry: str | None = None, timeout_ms: str | None = None) -> int:
    """Prints the status as tables and returns the exit code.

    Raises:
        UsageError: If a setting is missing or invalid.
    """
    flags = {"entry": entry, "timeout_ms": timeout_ms}
    settings = require_settings(read_client_settings(flags, os.environ))
    with EntryClient(settings.entry) as client:
        result = client.call("GET", "/v1/status", settings.timeout_s)
    if isinstance(result, Err):
        print_error(f"can't get the status: {result.err_value.message}")
        return ExitCode.FAILED
    response = result.ok_value
    if response.status != OK_STATUS:
        print_error(
            f"can't get the status: the entry replied with status {response.status}"
        )
        return ExitCode.FAILED
    try:
        report = decode_status_report(response.body)
    except DECODE_ERRORS as error:
        print_error(
            f"can't get the status: the reply is not a valid report: {str(error)!a}"
        )
        return ExitCode.FAILED
    print(render_status(report))
    return ExitCode.DONE


COMMAND = Command(
    name="status",
    summary="Prints agents by availability zone, entries and the store as a table.",
    run=show_status,
    options=CLIENT_OPTIONS,
)
