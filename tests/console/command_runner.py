"""Runs commands inside the test's process."""

from __future__ import annotations

import contextlib
import io
import os
from dataclasses import dataclass
from unittest import mock

from jackdawkeel.console import application


@dataclass(slots=True)
class CommandResult:
    """Exit code and output of a command."""

    code: int
    output: str
    errors: str

    def has_one_error_line(self) -> bool:
        """Whether standard error is exactly one line of the program."""
        return self.errors.count("\n") == 1 and self.errors.startswith("jackdawkeel: ")


def run_command(
    *words: str, environment: dict[str, str] | None = None
) -> CommandResult:
    """Runs a command with captured output and only this environment."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.ExitStack() as stack:
        stack.enter_context(contextlib.redirect_stdout(output))
        stack.enter_context(contextlib.redirect_stderr(errors))
        stack.enter_context(mock.patch.dict(os.environ, environment or {}, clear=True))
        code = application.run(words)
    return CommandResult(int(code), output.getvalue(), errors.getvalue())
