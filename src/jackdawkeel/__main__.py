"""Runs the command line as ``python -m jackdawkeel``."""

from __future__ import annotations

from .console.application import main


main()
