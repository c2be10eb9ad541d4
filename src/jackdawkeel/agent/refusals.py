"""The checks that decide whether a home admits a new job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import DispatchError
from ..errors import ErrorKind
from ..policy.admission_estimate import find_refusal


if TYPE_CHECKING:
    from ..messages import SubmitJob
    from .daemon import Agent


MAX_WAITING_TASKS = 2_000
# A home that has had no configuration lease for longer admits no job.
MAX_LEASE_LAPSE_S = 3.0


def find_job_refusal(agent: Agent, message: SubmitJob) -> DispatchError | None:
    """Returns why the job can't be admitted now, or None."""
    if agent.configuration.leaving:
        return DispatchError(ErrorKind.SHUTTING_DOWN, "the home of this id is leaving")
    if agent.configuration.measure_lapse_s() > MAX_LEASE_LAPSE_S:
        text = "the home of this id has no current configuration lease"
        return DispatchError(ErrorKind.NOT_READY, text)
    if not agent.peers.has_any(message.service):
        text = f"service {message.service} has no target in service"
        return DispatchError(ErrorKind.NO_TARGET, text)
    if agent.dispatch.count_waiting() > MAX_WAITING_TASKS:
        text = "too many tasks are waiting at the home of this id"
        return DispatchError(ErrorKind.OVERLOADED, text)
    return find_load_refusal(agent, message)


def find_load_refusal(agent: Agent, message: SubmitJob) -> DispatchError | None:
    """Returns a refusal if the job is expected to wait too long, or None."""
    service = agent.configuration.configuration.services.get(message.service)
    return find_refusal(
        agent.dispatch.measure_load(message.service, len(message.payloads)),
        len(message.payloads),
        message.deadline_ms,
        None if service is None else service.state.max_queue_ms,
    )
