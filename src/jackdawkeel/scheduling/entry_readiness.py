"""Decides when an entry that has started knows enough to serve."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..events import EventName


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..logs import EventLog


# A starting entry listens after this time even without targets. Agents report within
# half a second of their start.
FIRST_TARGET_WAIT_S = 1.5
# A starting entry that has read its configuration waits this long for the list of
# entries, which the store may fail to return for longer.
ENTRY_LIST_WAIT_S = 2.5
# A starting entry waits this long for the jobs of an entry that neither replies nor
# refuses connections. A reply needs two connections, and an iteration of both loops.
ANNOUNCEMENT_WAIT_S = 0.3
# A starting entry that an agent has reported to waits this long for the open runs of
# entries that have ended.
REPLICAS_WAIT_S = 1.0
MS_PER_S = 1000


@dataclass(slots=True, eq=False)
class Requirement:
    """Something that an entry must know before its first decision.

    Attributes:
        name: Its name in the log.
        is_met: Returns whether the entry knows it.
        wait_s: Time after which the entry goes on without it, in seconds, counted from
            when ``after`` are settled.
        after: The requirements without which this one can't be checked.
        settled_at: When it was met or given up, in seconds of the clock.
        is_given_up: Whether the entry has gone on without it.
    """

    name: str
    is_met: Callable[[], bool]
    wait_s: float = math.inf
    after: tuple[Requirement, ...] = ()
    settled_at: float | None = None
    is_given_up: bool = False


@dataclass(slots=True, eq=False)
class EntryReadiness:
    """The requirements of an entry that has started.

    It becomes ready once: a process that was ready keeps what it knows.

    Attributes:
        clock: Clock in seconds.
        log: Event log.
        requirements: The requirements; each comes after those that it depends on.
        started_at: When the entry began to wait, in seconds of the clock.
        is_ready: Whether every requirement has been met or given up.
    """

    clock: Clock
    log: EventLog
    requirements: list[Requirement]
    started_at: float = field(init=False)
    is_ready: bool = False

    def __post_init__(self) -> None:
        self.started_at = self.clock()

    def update(self) -> bool:
        """Checks the requirements that are not settled; returns ``is_ready``."""
        if self.is_ready:
            return True
        now = self.clock()
        for requirement in self.requirements:
            if requirement.settled_at is None:
                self._check(requirement, now)
        if all(item.settled_at is not None for item in self.requirements):
            self.is_ready = True
            self._log_ready()
        return self.is_ready

    def _check(self, requirement: Requirement, now: float) -> None:
        begins_at = self.started_at
        for earlier in requirement.after:
            if earlier.settled_at is None:
                return
            begins_at = max(begins_at, earlier.settled_at)
        if requirement.is_met():
            requirement.settled_at = now
        elif now >= begins_at + requirement.wait_s:
            requirement.settled_at = now
            requirement.is_given_up = True

    def _log_ready(self) -> None:
        settled_ms = {
            item.name: round(MS_PER_S * (item.settled_at - self.started_at))
            for item in self.requirements
            if item.settled_at is not None
        }
        given_up = [item.name for item in self.requirements if item.is_given_up]
        self.log.record(
            EventName.REQUIREMENTS_SETTLED, settled_ms=settled_ms, given_up=given_up
        )


def list_requirements(
    *,
    has_configuration: Callable[[], bool],
    has_entry_list: Callable[[], bool],
    has_announcements: Callable[[], bool],
    has_agents: Callable[[], bool],
    has_replicas: Callable[[], bool],
) -> list[Requirement]:
    """Returns what an entry waits for when it starts.

    Without the last four it would refuse early jobs, or run them beside those that
    other entries own, or that runs of earlier entries belong to.

    Args:
        has_configuration: Returns whether the operators' configuration has been read;
            without it no call can be served.
        has_entry_list: Returns whether the list of entries has been read. It is in the
            same store, but may be refused or late by itself.
        has_announcements: Returns whether each of these entries has announced its jobs.
        has_agents: Returns whether an agent accepts tasks.
        has_replicas: Returns whether agents have sent the open runs of earlier entries.
    """
    configuration = Requirement("configuration", has_configuration)
    entry_list = Requirement(
        "entry_list", has_entry_list, ENTRY_LIST_WAIT_S, after=(configuration,)
    )
    announcements = Requirement(
        "announcements", has_announcements, ANNOUNCEMENT_WAIT_S, after=(entry_list,)
    )
    agents = Requirement("agents", has_agents, FIRST_TARGET_WAIT_S)
    replicas = Requirement(
        "replicas", has_replicas, REPLICAS_WAIT_S, after=(entry_list, agents)
    )
    return [configuration, entry_list, announcements, agents, replicas]
