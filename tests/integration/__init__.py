"""Promises under failure, with real processes and judged from outside."""

from __future__ import annotations
