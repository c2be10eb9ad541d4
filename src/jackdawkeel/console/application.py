"""The command line application."""

from __future__ import annotations


def main() -> None:
    """Runs the command that the arguments name."""
