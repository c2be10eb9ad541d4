"""Removes deeply nested values from JSON that the decoder refuses for their depth."""

from __future__ import annotations

import re


STRING_OR_BRACKET = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)


def prune_deep_values(body: bytes, max_depth: int) -> bytes:
    """Replaces arrays and objects that are nested too deeply by null.

    Args:
        body: JSON text; what it returns for other text is no valid JSON either.
        max_depth: Number of arrays and objects that may enclose each other.
    """
    kept: list[bytes] = []
    copied_to = 0
    depth = 0
    for token in STRING_OR_BRACKET.finditer(body):
        match token[0]:
            case b"[" | b"{":
                depth += 1
                if depth == max_depth + 1:
                    kept += (body[copied_to : token.start()], b"null")
            case b"]" | b"}":
                if depth == max_depth + 1:
                    copied_to = token.end()
                depth -= 1
    kept.append(body[copied_to:])
    return b"".join(kept)
