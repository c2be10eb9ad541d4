"""Declaration of a command, its exit codes and its usage error."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..settings import Option


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4


class UsageError(Exception):
    """The arguments or settings of a command are invalid; the message is one line."""


@dataclass(frozen=True, slots=True)
class Command:
    """Declaration of a command.

    Attributes:
        name: Words of the command line that select it, such as ``ticket submit``.
        summary: Description for the help text, on one line.
        run: Function that takes the arguments by position and the options by name,
            and returns the exit code.
        options: Options that it accepts.
        arguments: Names of its required arguments, in order.
        is_variadic: Whether the last argument may be repeated.
    """

    name: str
    summary: str
    run: Callable[..., int]
    options: tuple[Option, ...] = ()
    arguments: tuple[str, ...] = ()
    is_variadic: bool = False
