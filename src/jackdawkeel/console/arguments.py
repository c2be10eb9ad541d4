"""Validates and quotes the arguments of a command before Fire binds them.

Fire parses values as Python literals, reports an unknown flag only after the command
has run, and treats a lone hyphen as a separator. Quoting every value as a literal
passes it unchanged, and validation rejects an invalid call before the command runs.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..setting_values import quote_text
from .command import Command
from .command import UsageError


if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..settings import Option


HELP_FLAGS = ("--help", "-h")
STANDARD_INPUT = "-"


@dataclass(slots=True)
class ParsedArguments:
    """Parsed arguments: positional values, and flag values by option name."""

    values: list[str] = field(default_factory=list)
    flags: dict[str, str] = field(default_factory=dict)


def quote_arguments(command: Command, words: Sequence[str]) -> list[str]:
    """Returns the command's words and arguments, quoted for Fire.

    Raises:
        UsageError: If a flag is unknown, repeated or without a value, or if there are
            too few or too many arguments.
    """
    parsed = _parse_words(command, words)
    _check_count(command, parsed.values)
    flags = [f"--{name}={value!r}" for name, value in parsed.flags.items()]
    return [*command.name.split(), *map(repr, parsed.values), *flags]


def has_help_flag(words: Sequence[str]) -> bool:
    """Returns whether the arguments contain a help flag."""
    return any(flag in words for flag in HELP_FLAGS)


def _parse_words(command: Command, words: Sequence[str]) -> ParsedArguments:
    parsed = ParsedArguments()
    remaining = iter(words)
    for word in remaining:
        if not word.startswith("-") or word == STANDARD_INPUT:
            parsed.values.append(word)
            continue
        flag, equals, value = word.partition("=")
        option = _find_option(command, flag)
        if option.name in parsed.flags:
            raise UsageError(f"flag {option.flag} is given more than once")
        if not equals:
            value = _require_value(option, next(remaining, None))
        parsed.flags[option.name] = value
    return parsed


def _find_option(command: Command, flag: str) -> Option:
    for option in command.options:
        if option.flag == flag:
            return option
    raise UsageError(f"unknown flag {quote_text(flag)} of {command.name}")


def _require_value(option: Option, word: str | None) -> str:
    if word is None or word.startswith("--"):
        raise UsageError(f"flag {option.flag} needs a value")
    return word


def _check_count(command: Command, values: list[str]) -> None:
    required_count = len(command.arguments)
    if len(values) < required_count:
        missing = command.arguments[len(values)]
        raise UsageError(f"{command.name}: missing argument {missing}")
    if len(values) > required_count and not command.is_variadic:
        extra = quote_text(values[required_count])
        raise UsageError(f"{command.name}: unexpected argument {extra}")
