"""Entry point of the command line: finds the command and runs it through Fire."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

import fire
from fire.core import FireExit

from ..errors import StartError
from .arguments import has_help_flag
from .arguments import quote_arguments
from .command import Command
from .command import ExitCode
from .command import UsageError
from .commands import agent
from .commands import entry
from .commands import job
from .commands import overlaps
from .commands import platform
from .commands import status
from .commands import ticket
from .commands import timeline
from .help_text import describe_application
from .help_text import describe_command


if TYPE_CHECKING:
    from collections.abc import Sequence


COMMANDS: tuple[Command, ...] = (
    entry.COMMAND,
    agent.COMMAND,
    platform.ENTRY_COMMAND,
    platform.AGENT_COMMAND,
    ticket.SUBMIT_COMMAND,
    ticket.STATUS_COMMAND,
    job.COMMAND,
    status.COMMAND,
    timeline.COMMAND,
    overlaps.COMMAND,
)


def main() -> None:
    """Runs the command named by the process's arguments and exits with its code."""
    try:
        code = run(sys.argv[1:])
        if sys.stdout is not None:
            sys.stdout.flush()
    except BrokenPipeError:
        # The reader closed the pipe, as "| head" does. Flushing at interpreter exit
        # must not fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.UNKNOWN
    sys.exit(code)


def run(words: Sequence[str]) -> int:
    """Runs a command and prints errors to standard error.

    Args:
        words: The command-line arguments without the program's name.

    Returns:
        The exit code.
    """
    try:
        return _run_words(words)
    except UsageError as error:
        print(f"jackdawkeel: {error}", file=sys.stderr)
        return ExitCode.USAGE
    except StartError as error:
        print(f"jackdawkeel: {error}", file=sys.stderr)
        return ExitCode.FAILED
    except KeyboardInterrupt:
        return ExitCode.UNKNOWN


def _run_words(words: Sequence[str]) -> int:
    command = _find_command(words)
    if command is None:
        return _show_help_or_fail(words)
    arguments = words[len(command.name.split()) :]
    if has_help_flag(arguments):
        print(describe_command(command))
        return ExitCode.DONE
    return _run_with_fire(command, quote_arguments(command, arguments))


def _find_command(words: Sequence[str]) -> Command | None:
    for command in COMMANDS:
        names = command.name.split()
        if list(words[: len(names)]) == names:
            return command
    return None


def _show_help_or_fail(words: Sequence[str]) -> int:
    if has_help_flag(words):
        print(describe_application(COMMANDS))
        return ExitCode.DONE
    if not words:
        raise UsageError("missing command; --help lists the commands")
    raise UsageError(f"unknown command {' '.join(words)!a}; --help lists the commands")


def _run_with_fire(command: Command, arguments: list[str]) -> int:
    component: object = command.run
    for name in reversed(command.name.split()):
        component = {name: component}
    try:
        code = fire.Fire(
            component,
            command=arguments,
            name="jackdawkeel",
            serialize=_serialize_nothing,
        )
    except FireExit as error:
        raise UsageError(f"invalid arguments for {command.name}") from error
    return int(code)


def _serialize_nothing(_result: object) -> None:
    return None
