"""Errors that msgspec raises for data that can't be decoded."""

from __future__ import annotations

import msgspec


# Deeply nested data raises a RecursionError.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
