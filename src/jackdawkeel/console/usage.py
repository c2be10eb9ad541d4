"""Converts invalid settings and unreadable files into usage errors."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Result

from .arguments import STANDARD_INPUT
from .command import UsageError


if TYPE_CHECKING:
    from ..setting_values import SettingError


Value = TypeVar("Value")


def require_settings(settings: Result[Value, SettingError]) -> Value:
    """Returns the settings.

    Raises:
        UsageError: If a setting is missing or invalid.
    """
    if isinstance(settings, Err):
        raise UsageError(str(settings.err_value))
    return settings.ok_value


def read_file(path: Path) -> bytes:
    """Reads a file given as an argument.

    Raises:
        UsageError: If the file can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise UsageError(f"can't read file {str(path)!a}: {error.strerror}") from None
    except ValueError:
        raise UsageError(f"invalid file name {str(path)!a}") from None


def read_log_lines(log: str) -> list[bytes]:
    """Reads the lines of a log; ``-`` is standard input.

    Raises:
        UsageError: If the log can't be read.
    """
    if log == STANDARD_INPUT:
        return sys.stdin.buffer.read().splitlines()
    return read_file(Path(log)).splitlines()
