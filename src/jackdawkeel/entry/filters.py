"""The chain of filters that may refuse a job before it is sent to its home.

The home of a job is the agent that admits it; the job's id names that agent.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..errors import DispatchError
from ..errors import ErrorKind
from ..policy.quota import request_starts


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..job_request import JobRequest
    from .daemon import Entry

    JobFilter = Callable[["Entry", "FilterInput"], DispatchError | None]


@dataclass(frozen=True, slots=True)
class FilterInput:
    """A valid job, as the filters check it.

    Attributes:
        request: The job.
        has_id: Whether the caller supplied the job id.
    """

    request: JobRequest
    has_id: bool


def check_ready(entry: Entry, filter_input: FilterInput) -> DispatchError | None:
    """Refuses all jobs until the entry has a confirmed configuration."""
    if entry.configuration.is_ready():
        return None
    kind = ErrorKind.ENTRY_NOT_READY if filter_input.has_id else ErrorKind.NOT_READY
    return DispatchError(kind, "this entry has not read the configuration yet")


def check_service(entry: Entry, filter_input: FilterInput) -> DispatchError | None:
    """Refuses jobs of services that are not configured, or are disabled."""
    name = filter_input.request.service
    record = entry.configuration.document.services.get(name)
    if record is None:
        return DispatchError(ErrorKind.NO_SUCH_SERVICE, f"there is no service {name}")
    if not record.state.enabled:
        return DispatchError(ErrorKind.NO_TARGET, f"service {name} is disabled")
    return None


def check_target(entry: Entry, filter_input: FilterInput) -> DispatchError | None:
    """Refuses jobs of services that have no target in service."""
    name = filter_input.request.service
    if entry.roster.has_target(name):
        return None
    text = f"service {name} has no target in service"
    return DispatchError(ErrorKind.NO_TARGET, text)


def check_quota(entry: Entry, filter_input: FilterInput) -> DispatchError | None:
    """Refuses jobs of a team that has used up this entry's share of its quota."""
    team = filter_input.request.team
    if team is None:
        return None
    record = entry.configuration.document.teams.get(team)
    if record is None:
        return None
    quota = record.state.quota
    count = len(filter_input.request.payloads)
    wait_ms = request_starts(entry.quotas, team, quota, count, entry.clock())
    if wait_ms is None:
        return None
    text = f"team {team} has used up its quota of {quota:g} task starts a second"
    return DispatchError(ErrorKind.OVER_QUOTA, text, wait_ms)


JOB_FILTERS: tuple[JobFilter, ...] = (
    check_ready,
    check_service,
    check_target,
    check_quota,
)

# Refusals that only concern this entry, so the home does not record them for the id.
UNRECORDED_KINDS = frozenset({ErrorKind.ENTRY_NOT_READY})


def find_refusal(entry: Entry, filter_input: FilterInput) -> DispatchError | None:
    """Runs the filters in order; returns the first refusal, or None."""
    for job_filter in JOB_FILTERS:
        refusal = job_filter(entry, filter_input)
        if refusal is not None:
            return refusal
    return None
