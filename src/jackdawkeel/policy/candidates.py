"""Candidates for the target of a task or the home of a job.

The home is the agent that admits a job.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class Candidate:
    """An agent that runs the requested service.

    Attributes:
        incarnation: The agent's incarnation.
        availability_zone: Availability zone of its target.
        slots: Number of tasks that its target runs concurrently.
        outstanding: Tasks that the choosing process has there; always current.
        reported: Tasks of other processes that run or wait there, as last reported.
        ejected: Whether it receives only probes because its tasks fail.
        leaving: Whether it is shutting down.
        in_service: Whether its availability zone is in service.
    """

    incarnation: str
    availability_zone: str
    slots: int
    outstanding: int = 0
    reported: int = 0
    ejected: bool = False
    leaving: bool = False
    in_service: bool = True


def may_start(candidate: Candidate) -> bool:
    """Returns whether the candidate may start tasks, probes included."""
    return candidate.in_service and not candidate.leaving


def accepts_work(candidate: Candidate) -> bool:
    """Returns whether the candidate may be sent work other than probes."""
    return may_start(candidate) and not candidate.ejected


def task_count(candidate: Candidate) -> int:
    """Returns the number of tasks that run or wait at the candidate."""
    return candidate.outstanding + candidate.reported


def free_slots(candidate: Candidate) -> int:
    """Returns how many more tasks would start immediately; negative with a queue."""
    return candidate.slots - task_count(candidate)


def relative_load(candidate: Candidate) -> float:
    """Returns the tasks that run or wait per slot."""
    return task_count(candidate) / max(candidate.slots, 1)


def least_loaded_of_few(
    candidates: Sequence[Candidate],
    choices: int,
    rng: random.Random,
    rank: Callable[[Candidate], float] = relative_load,
) -> Candidate | None:
    """Returns the lowest ranked of a random sample of the candidates.

    Sampling keeps processes that see the same stale report from all choosing the same
    candidate. Ties are broken by the order of the sample, which is random.

    Args:
        candidates: Agents to sample from.
        choices: Size of the sample.
        rng: Source of randomness for the sample.
        rank: Key to minimise; the relative load by default.

    Returns:
        The chosen candidate, or None if there are no candidates.
    """
    if not candidates:
        return None
    if len(candidates) <= choices:
        sample = rng.sample(candidates, len(candidates))
    else:
        sample = rng.sample(candidates, choices)
    return min(sample, key=rank)
