"""Renders the help texts of the command line."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..settings import Option
    from .command import Command


EXIT_CODES = "exit codes: 0 done, 1 failed, 2 wrong usage, 3 not run, 4 unknown"


def describe_application(commands: Sequence[Command]) -> str:
    """Returns the help text that lists all commands."""
    width = max(len(command.name) for command in commands)
    lines = ["usage: jackdawkeel COMMAND ...", "", "commands:"]
    lines += [f"  {item.name:<{width}}  {item.summary}" for item in commands]
    lines += ["", "jackdawkeel COMMAND --help lists the flags.", EXIT_CODES]
    return "\n".join(lines)


def describe_command(command: Command) -> str:
    """Returns the help text of one command."""
    lines = [f"usage: {_describe_usage(command)}", "", command.summary]
    if command.options:
        lines += [
            "",
            "flags, with their environment variables (a flag overrides its variable):",
        ]
        width = max(len(_describe_flag(option)) for option in command.options)
        for option in command.options:
            lines += _describe_option(option, width)
    return "\n".join([*lines, "", EXIT_CODES])


def _describe_usage(command: Command) -> str:
    words = ["jackdawkeel", command.name, *command.arguments]
    if command.is_variadic:
        words[-1] += "..."
    for option in command.options:
        flag = _describe_flag(option)
        words.append(flag if option.is_required else f"[{flag}]")
    return " ".join(words)


def _describe_flag(option: Option) -> str:
    return f"{option.flag} {option.metavar}"


def _describe_option(option: Option, width: int) -> list[str]:
    note = f" (default: {option.default})" if option.default else ""
    return [
        f"  {_describe_flag(option):<{width}}  {option.variable}",
        f"  {'':<{width}}    {option.help}{note}",
    ]
