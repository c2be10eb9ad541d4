"""The commands that submit a change ticket and show which agents apply it."""

from __future__ import annotations

import os
from pathlib import Path

from result import Err

from ...setting_values import SettingError
from ...setting_values import parse_count
from ...settings import CLIENT_OPTIONS
from ...settings import ClientSettings
from ...settings import read_client_settings
from ...ticket import MAX_TICKET_NUMBER
from ..command import Command
from ..command import ExitCode
from ..command import UsageError
from ..entry_client import EntryClient
from ..responses import exit_code_for_report
from ..responses import print_error
from ..responses import print_response
from ..usage import read_file
from ..usage import require_settings


def submit_ticket(
    number: str,
    file: str,
    /,
    *,
    entry: str | None = None,
    timeout_ms: str | None = None,
) -> int:
    """Submits a ticket without retries, prints the answer and returns the exit code.

    Raises:
        UsageError: If a setting or the number is invalid, or the file can't be read.
    """
    settings = _read_settings(entry, timeout_ms)
    ticket = _parse_number(number)
    body = read_file(Path(file))
    with EntryClient(settings.entry) as client:
        result = client.call("PUT", f"/v1/tickets/{ticket}", settings.timeout_s, body)
    if isinstance(result, Err):
        error = result.err_value
        if not error.may_have_arrived:
            print_error(f"not run: ticket {ticket} was not sent: {error.message}")
            return ExitCode.NOT_RUN
        print_error(
            f"unknown: no answer for ticket {ticket}; submit it again: {error.message}"
        )
        return ExitCode.UNKNOWN
    print_response(result.ok_value)
    return exit_code_for_report(result.ok_value)


def show_ticket(
    number: str, /, *, entry: str | None = None, timeout_ms: str | None = None
) -> int:
    """Prints at which agents a ticket is in force and returns the exit code.

    Raises:
        UsageError: If a setting or the number is invalid.
    """
    settings = _read_settings(entry, timeout_ms)
    ticket = _parse_number(number)
    with EntryClient(settings.entry) as client:
        result = client.call("GET", f"/v1/tickets/{ticket}", settings.timeout_s)
    if isinstance(result, Err):
        print_error(f"unknown: no answer from the entry: {result.err_value.message}")
        return ExitCode.UNKNOWN
    print_response(result.ok_value)
    return exit_code_for_report(result.ok_value)


def _read_settings(entry: str | None, timeout_ms: str | None) -> ClientSettings:
    flags = {"entry": entry, "timeout_ms": timeout_ms}
    return require_settings(read_client_settings(flags, os.environ))


def _parse_number(text: str) -> int:
    try:
        return parse_count(text, 1, MAX_TICKET_NUMBER)
    except SettingError as error:
        raise UsageError(f"the ticket number {error}") from None


SUBMIT_COMMAND = Command(
    name="ticket submit",
    summary="Submits a change ticket and prints the answer.",
    run=submit_ticket,
    options=CLIENT_OPTIONS,
    arguments=("N", "FILE.json"),
)
STATUS_COMMAND = Command(
    name="ticket status",
    summary="Prints at which agents a change ticket is in force.",
    run=show_ticket,
    options=CLIENT_OPTIONS,
    arguments=("N",),
)
