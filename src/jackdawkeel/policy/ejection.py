"""Ejection of agents whose targets fail nearly every task.

An ejected agent receives only probes until enough of them succeed in a row, and is then
readmitted.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


RECENT_TASKS = 20
MIN_TASKS = 10
EJECT_FAILURE_RATE = 0.9
HEALTHY_FAILURE_RATE = 0.5
MAX_EJECTED_DIVISOR = 3
PROBE_INTERVAL_S = 1.0
RISKY_PROBE_DELAY_S = 15.0
PROBE_SUCCESSES = 3


@dataclass(frozen=True, slots=True)
class OutcomeCounts:
    """Numbers of tasks that completed and failed."""

    completed: int = 0
    failed: int = 0


@dataclass(slots=True)
class AgentOutcomes:
    """Outcomes of one agent's tasks, and its ejection state.

    Attributes:
        total: Cumulative counters as last reported.
        recent: Increments between reports, oldest first, cut to the newest ones with
            at least ``RECENT_TASKS`` tasks.
        ejected: Whether the agent is ejected.
        probe_successes: Tasks completed in a row since the ejection.
        next_probe_at: Earliest time of the next probe, in seconds.
    """

    total: OutcomeCounts = OutcomeCounts()
    recent: deque[OutcomeCounts] = field(default_factory=deque)
    ejected: bool = False
    probe_successes: int = 0
    next_probe_at: float = 0.0


@dataclass(slots=True)
class EjectionState:
    """Outcomes of all agents, by incarnation."""

    agents: dict[str, AgentOutcomes] = field(default_factory=dict)


def record_counters(
    state: EjectionState, incarnation: str, completed: int, failed: int
) -> None:
    """Records the cumulative counters of a heartbeat.

    Counters lower than the recorded ones come from a delayed heartbeat and are ignored.
    """
    agent = state.agents.setdefault(incarnation, AgentOutcomes())
    increment = OutcomeCounts(
        completed - agent.total.completed, failed - agent.total.failed
    )
    if increment.completed < 0 or increment.failed < 0:
        return
    if increment == OutcomeCounts():
        return
    agent.total = OutcomeCounts(completed, failed)
    agent.recent.append(increment)
    _drop_oldest(agent.recent)
    if agent.ejected:
        successes = agent.probe_successes + increment.completed
        agent.probe_successes = 0 if increment.failed else successes


def remove_agent(state: EjectionState, incarnation: str) -> None:
    """Removes the record of an agent that has ended."""
    state.agents.pop(incarnation, None)


def update_ejected(
    state: EjectionState, services: Mapping[str, Iterable[str]], now: float
) -> set[str]:
    """Readmits recovered agents and ejects failing ones.

    An agent is ejected when nearly all its recent tasks failed while the other agents
    of each of its services are healthy as a whole. Where all fail, none is ejected. At
    most a third of the agents of a service are ejected, but one agent of two may be.
    The only agent of a service is never ejected.

    Args:
        state: Outcomes of all agents, changed in place.
        services: Incarnations of the live agents of each service.
        now: Current time in seconds.

    Returns:
        Incarnations of all ejected agents.
    """
    members = {name: set(agents) for name, agents in services.items()}
    for agent in state.agents.values():
        if agent.ejected and agent.probe_successes >= PROBE_SUCCESSES:
            _readmit(agent)
    failing = [name for name, agent in state.agents.items() if _is_failing(agent)]
    for incarnation in sorted(
        failing, key=lambda name: -_recent_counts(state, name).failed
    ):
        if _may_eject(state, incarnation, members):
            _eject(state.agents[incarnation], now)
    return {name for name, agent in state.agents.items() if agent.ejected}


def admit_probe(
    state: EjectionState, incarnation: str, now: float, *, is_idempotent: bool
) -> bool:
    """Returns whether to send an ejected agent a task as a probe; if so, records it.

    A failed probe only delays an idempotent task. Other tasks serve as probes only when
    none has been sent for ``RISKY_PROBE_DELAY_S`` after one was due.
    """
    agent = state.agents.get(incarnation)
    if agent is None or not agent.ejected:
        return False
    wait_s = 0.0 if is_idempotent else RISKY_PROBE_DELAY_S
    if now < agent.next_probe_at + wait_s:
        return False
    agent.next_probe_at = now + PROBE_INTERVAL_S
    return True


def _drop_oldest(recent: deque[OutcomeCounts]) -> None:
    tasks = sum(counts.completed + counts.failed for counts in recent)
    while tasks - recent[0].completed - recent[0].failed >= RECENT_TASKS:
        oldest = recent.popleft()
        tasks -= oldest.completed + oldest.failed


def _recent_counts(state: EjectionState, incarnation: str) -> OutcomeCounts:
    agent = state.agents.get(incarnation)
    if agent is None:
        return OutcomeCounts()
    completed = sum(counts.completed for counts in agent.recent)
    return OutcomeCounts(completed, sum(counts.failed for counts in agent.recent))


def _failure_rate(counts: OutcomeCounts) -> float:
    return counts.failed / max(counts.completed + counts.failed, 1)


def _is_failing(agent: AgentOutcomes) -> bool:
    completed = sum(counts.completed for counts in agent.recent)
    failed = sum(counts.failed for counts in agent.recent)
    if agent.ejected or completed + failed < MIN_TASKS:
        return False
    return _failure_rate(OutcomeCounts(completed, failed)) >= EJECT_FAILURE_RATE


def _may_eject(
    state: EjectionState, incarnation: str, members: Mapping[str, set[str]]
) -> bool:
    own = [agents for agents in members.values() if incarnation in agents]
    if not own:
        return False
    return all(_service_allows(state, incarnation, agents) for agents in own)


def _service_allows(state: EjectionState, incarnation: str, members: set[str]) -> bool:
    agents = [state.agents.get(name) for name in members]
    ejected = sum(1 for agent in agents if agent is not None and agent.ejected)
    allowed = min(max(1, len(members) // MAX_EJECTED_DIVISOR), len(members) - 1)
    if ejected >= allowed:
        return False
    return _others_are_healthy(state, members - {incarnation})


def _others_are_healthy(state: EjectionState, others: Iterable[str]) -> bool:
    recent = [_recent_counts(state, name) for name in others]
    completed = sum(counts.completed for counts in recent)
    failed = sum(counts.failed for counts in recent)
    if completed + failed == 0:
        return False
    return _failure_rate(OutcomeCounts(completed, failed)) < HEALTHY_FAILURE_RATE


def _eject(agent: AgentOutcomes, now: float) -> None:
    agent.ejected = True
    agent.probe_successes = 0
    agent.next_probe_at = now + PROBE_INTERVAL_S


def _readmit(agent: AgentOutcomes) -> None:
    agent.ejected = False
    agent.recent.clear()
