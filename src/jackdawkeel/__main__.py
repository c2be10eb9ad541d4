"""Entry point of ``python -m jackdawkeel``."""

from __future__ import annotations

from .console.application import main


main()
