"""Prints responses of an entry and derives exit codes from them."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from ..answer import Answer
from ..answer import decode_answer
from ..decode_errors import DECODE_ERRORS
from ..errors import Outcome
from .command import ExitCode


if TYPE_CHECKING:
    from .entry_client import EntryResponse


OUTCOME_EXIT_CODES: dict[Outcome, ExitCode] = {
    Outcome.DONE: ExitCode.DONE,
    Outcome.FAILED: ExitCode.FAILED,
    Outcome.NOT_RUN: ExitCode.NOT_RUN,
    Outcome.UNKNOWN: ExitCode.UNKNOWN,
    Outcome.RUNNING: ExitCode.UNKNOWN,
}
OK_STATUS = 200


def read_answer(response: EntryResponse) -> Answer | None:
    """Returns the answer in a response, or None if the body is not a valid answer."""
    try:
        return decode_answer(response.body)
    except DECODE_ERRORS:
        return None


def print_response(response: EntryResponse) -> None:
    """Prints the body of a response to standard output, without reformatting."""
    print(response.body.decode(errors="backslashreplace").rstrip("\n"))


def print_error(message: str) -> None:
    """Prints one line to standard error."""
    print(f"jackdawkeel: {message}", file=sys.stderr)


def exit_code_for_answer(response: EntryResponse) -> ExitCode:
    """Returns the exit code for an answer; prints its error, if any."""
    answer = read_answer(response)
    if answer is None:
        print_error(
            f"the reply with status {response.status} does not contain a valid answer"
        )
        return ExitCode.UNKNOWN
    if answer.error is not None:
        print_error(f"{answer.outcome.value}: {answer.error.message!a}")
    return OUTCOME_EXIT_CODES[answer.outcome]


def exit_code_for_report(response: EntryResponse) -> ExitCode:
    """Returns the exit code for a response with a report, or an answer on failure."""
    if response.status == OK_STATUS:
        return ExitCode.DONE
    return exit_code_for_answer(response)
