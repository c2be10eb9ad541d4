"""Dispatcher for sub-second tasks whose callers all come at once."""

from __future__ import annotations


__version__ = "0.1.0"
