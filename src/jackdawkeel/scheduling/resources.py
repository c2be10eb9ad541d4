"""Processors, memory and accelerators that tasks claim and targets offer."""

from __future__ import annotations

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of each resource.

    Attributes:
        cpu_millis: Thousandths of a processor core.
        memory_mb: Memory in megabytes.
        accelerators: Whole accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: Resources) -> Resources:
        """Returns the sum."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Returns the difference, which may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def count_fitting(self, other: Resources) -> int:
        """Returns how many times another amount fits into this one."""
        pairs = (
            (self.cpu_millis, other.cpu_millis),
            (self.memory_mb, other.memory_mb),
            (self.accelerators, other.accelerators),
        )
        return max(0, min((mine // each for mine, each in pairs if each), default=0))

    def can_fit(self, other: Resources) -> bool:
        """Returns whether another amount fits into this one."""
        return (
            other.cpu_millis <= self.cpu_millis
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )
