"""Runs the command line inside the test's process."""

from __future__ import annotations

import contextlib
import io
import os
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING
from unittest import mock

from jackdawkeel.console import application


if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(slots=True)
class Call:
    """What one run of the command line did."""

    code: int
    output: str
    errors: str


def call(*words: str, environment: dict[str, str] | None = None) -> Call:
    """Runs the command line with captured output and this environment alone."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.ExitStack() as stack:
        stack.enter_context(contextlib.redirect_stdout(output))
        stack.enter_context(contextlib.redirect_stderr(errors))
        stack.enter_context(mock.patch.dict(os.environ, environment or {}, clear=True))
        code = application.run(words)
    return Call(int(code), output.getvalue(), errors.getvalue())


@contextlib.contextmanager
def refused_url() -> Iterator[str]:
    """Yields a URL whose port refuses connections: bound, but not listening."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{unused.getsockname()[1]}"


@contextlib.contextmanager
def silent_url() -> Iterator[str]:
    """Yields a URL whose port takes connections and never replies."""
    with socket.create_server(("127.0.0.1", 0)) as silent:
        yield f"http://127.0.0.1:{silent.getsockname()[1]}"
