"""Which entry owns a job that several entries have accepted.

Designed for jobs that callers submit again through another entry while the first one
goes on with them: few, but many at once after a network fault.
"""

from __future__ import annotations


def must_yield(own: tuple[int, str], other: tuple[int, str]) -> bool:
    """Returns whether an entry leaves a job to another one that owns it too.

    Args:
        own: Generation of the job at the entry, and the entry's incarnation.
        other: The same of the other entry.
    """
    return other > own
