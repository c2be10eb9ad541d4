"""Dispatcher of sub-second tasks for bursts of concurrent callers."""

from __future__ import annotations


__version__ = "0.1.0"
