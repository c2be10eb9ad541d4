"""What a command is, apart from what it does."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..settings import Option


class ExitCode(IntEnum):
    """The exit codes of all commands."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4


class UsageError(Exception):
    """The command was called in a wrong way; the text is one line."""


@dataclass(frozen=True, slots=True)
class Command:
    """A command of the command line.

    Attributes:
        name: Its words, such as ``ticket submit``.
        summary: One line on what it does.
        run: Takes arguments by position and options by name; returns the exit code.
        options: Its options.
        arguments: Names of the arguments that it needs, in order.
        is_variadic: Whether the last argument may be given several times.
    """

    name: str
    summary: str
    run: Callable[..., int]
    options: tuple[Option, ...] = ()
    arguments: tuple[str, ...] = ()
    is_variadic: bool = False
