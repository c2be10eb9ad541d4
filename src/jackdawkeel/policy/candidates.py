"""Agents as the choice of a target or home sees them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class Candidate:
    """One agent that runs the wanted service.

    Attributes:
        incarnation: The agent's incarnation.
        availability_zone: Where its target runs.
        slots: Tasks that its target runs at once.
        outstanding: Tasks that the chooser itself has there; always current.
        reported: Tasks that run or wait there for others, as last reported.
        ejected: Whether it gets no work but probes.
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
    """Returns whether tasks may start at the candidate at all."""
    return candidate.in_service and not candidate.leaving


def accepts_work(candidate: Candidate) -> bool:
    """Returns whether the candidate should get ordinary work."""
    return may_start(candidate) and not candidate.ejected


def task_count(candidate: Candidate) -> int:
    """Returns the tasks that run or wait at the candidate."""
    return candidate.outstanding + candidate.reported


def free_slots(candidate: Candidate) -> int:
    """Returns how many more tasks would start at once; negative with a queue."""
    return candidate.slots - task_count(candidate)


def relative_load(candidate: Candidate) -> float:
    """Returns the tasks held for each slot."""
    return task_count(candidate) / max(candidate.slots, 1)


def least_loaded_of_few(
    candidates: Sequence[Candidate],
    choices: int,
    rng: random.Random,
    rank: Callable[[Candidate], float] = relative_load,
) -> Candidate | None:
    """Returns the lowest ranked of a few candidates drawn at random.

    Drawing a few keeps choosers with the same stale report from all choosing the
    same candidate. Equal ranks are decided by the draw.
    """
    if not candidates:
        return None
    if len(candidates) <= choices:
        drawn = rng.sample(candidates, len(candidates))
    else:
        drawn = rng.sample(candidates, choices)
    return min(drawn, key=rank)
