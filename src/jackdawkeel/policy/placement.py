"""Choice of the target of a task and of the home of a job.

The home is the agent that admits a job and chooses where its tasks run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .candidates import Candidate
from .candidates import accepts_work
from .candidates import free_slots
from .candidates import least_loaded_of_few
from .candidates import may_start
from .candidates import relative_load


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence


EXECUTOR_CHOICES = 3
HOME_CHOICES = 2
OTHER_ZONE_PENALTY = 0.001


def choose_executor(
    candidates: Sequence[Candidate],
    own_incarnation: str,
    own_zone: str,
    queue_allowance: int,
    rng: random.Random,
    reserved: int = 0,
) -> str | None:
    """Chooses the agent that executes the next task of a job.

    Agents with free slots are preferred: first the home itself, then those in its
    availability zone, then the others. If no slot is free, agents whose queue is below
    the allowance are considered. The least loaded of a few sampled agents is chosen.

    Args:
        candidates: Agents that run the service, including the home.
        own_incarnation: The home's incarnation.
        own_zone: The home's availability zone.
        queue_allowance: Tasks that may wait at a target beyond its slots.
        rng: Source of randomness for sampling candidates.
        reserved: Slots that the task leaves free at each target; if not 0, the task
            does not queue either.

    Returns:
        The incarnation of the executing agent, or None if all are full; the task then
        waits at its home until a slot is free.
    """
    usable = [candidate for candidate in candidates if accepts_work(candidate)]
    free = [candidate for candidate in usable if free_slots(candidate) > reserved]
    for tier in _split_by_distance(free, own_incarnation, own_zone):
        chosen = least_loaded_of_few(tier, EXECUTOR_CHOICES, rng)
        if chosen is not None:
            return chosen.incarnation
    if reserved:
        return None
    queueable = [
        candidate for candidate in usable if free_slots(candidate) + queue_allowance > 0
    ]
    chosen = least_loaded_of_few(queueable, EXECUTOR_CHOICES, rng, _rank_from(own_zone))
    return None if chosen is None else chosen.incarnation


def choose_home(
    candidates: Sequence[Candidate], own_zone: str, rng: random.Random
) -> str | None:
    """Chooses the home of new job ids or of a request without an id.

    The load decides; the availability zone only breaks ties. Ejected agents are chosen
    only if no other agent may start tasks.

    Args:
        candidates: Agents that run the service.
        own_zone: The entry's availability zone.
        rng: Source of randomness for sampling candidates.

    Returns:
        The incarnation of the home, or None if no agent may start tasks.
    """
    allowed = [candidate for candidate in candidates if may_start(candidate)]
    preferred = [
        candidate for candidate in allowed if accepts_work(candidate)
    ] or allowed
    chosen = least_loaded_of_few(preferred, HOME_CHOICES, rng, _rank_from(own_zone))
    return None if chosen is None else chosen.incarnation


def _split_by_distance(
    candidates: Sequence[Candidate], own_incarnation: str, own_zone: str
) -> list[list[Candidate]]:
    own = [
        candidate
        for candidate in candidates
        if candidate.incarnation == own_incarnation
    ]
    rest = [
        candidate
        for candidate in candidates
        if candidate.incarnation != own_incarnation
    ]
    near = [candidate for candidate in rest if candidate.availability_zone == own_zone]
    far = [candidate for candidate in rest if candidate.availability_zone != own_zone]
    return [own, near, far]


def _rank_from(own_zone: str) -> Callable[[Candidate], float]:
    def rank(candidate: Candidate) -> float:
        is_far = candidate.availability_zone != own_zone
        return relative_load(candidate) + (OTHER_ZONE_PENALTY if is_far else 0.0)

    return rank
