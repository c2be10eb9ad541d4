"""Memory and descriptors of a process, as the system reports them."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path


KIB = 1024
MIB = 1024 * KIB


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What a process uses.

    Attributes:
        peak_memory_bytes: Highest resident memory since its start.
        descriptors: Number of open descriptors.
    """

    peak_memory_bytes: int
    descriptors: int


def read_usage(pid: int) -> ProcessUsage:
    """Returns what a process uses.

    Raises:
        OSError: If the process has ended.
    """
    folder = Path(f"/proc/{pid}")
    status = (folder / "status").read_text().splitlines()
    peak = next(line for line in status if line.startswith("VmHWM:"))
    descriptors = len(list((folder / "fd").iterdir()))
    return ProcessUsage(int(peak.split()[1]) * KIB, descriptors)
