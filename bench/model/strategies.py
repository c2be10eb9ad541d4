"""Alternative choices and queue orders to compare with the real policies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawkeel.policy.candidates import Candidate
from jackdawkeel.policy.candidates import accepts_work
from jackdawkeel.policy.candidates import free_slots
from jackdawkeel.policy.candidates import least_loaded_of_few
from jackdawkeel.policy.placement import choose_executor
from jackdawkeel.policy.placement import choose_home


if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from bench.model.state import ExecutorChoice
    from bench.model.state import HomeChoice
    from bench.model.state import QueueOrder
    from bench.workload import JobArrival


# Exceeds every arrival time, so it separates ranks.
RANK_OFFSET_S = 1e6
SAMPLE_SIZES = {
    "random": 1,
    "of two": 2,
    "of three": 3,
    "of five": 5,
    "least of all": 1000,
}


def make_home_choice(name: str) -> HomeChoice:
    """Returns a function that chooses homes.

    Args:
        name: ``policy`` for the real policy, or a name in ``SAMPLE_SIZES`` for the
            least loaded agent of a random sample of that size.
    """
    if name == "policy":
        return choose_home

    def choose(
        candidates: Sequence[Candidate], _own_zone: str, rng: random.Random
    ) -> str | None:
        usable = [candidate for candidate in candidates if accepts_work(candidate)]
        chosen = least_loaded_of_few(usable, SAMPLE_SIZES[name], rng)
        return None if chosen is None else chosen.incarnation

    return choose


def make_executor_choice(name: str) -> ExecutorChoice:
    """Returns a function that chooses executors.

    Args:
        name: ``policy`` for the real policy, or a name in ``SAMPLE_SIZES`` for the
            least loaded agent of a random sample of those with capacity.
    """
    if name == "policy":
        return choose_executor

    def choose(
        candidates: Sequence[Candidate],
        _own_incarnation: str,
        _own_zone: str,
        queue_allowance: int,
        rng: random.Random,
        reserved: int = 0,
    ) -> str | None:
        usable = [candidate for candidate in candidates if accepts_work(candidate)]
        allowance = 0 if reserved else queue_allowance
        with_capacity = [
            candidate
            for candidate in usable
            if free_slots(candidate) + allowance > reserved
        ]
        chosen = least_loaded_of_few(with_capacity, SAMPLE_SIZES[name], rng)
        return None if chosen is None else chosen.incarnation

    return choose


def arrival_order(arrival: JobArrival, _index: int) -> float:
    """Ranks tasks by the arrival of their job."""
    return arrival.at_s


def round_robin_order(arrival: JobArrival, index: int) -> float:
    """Ranks tasks by index: the first tasks of all jobs run before the second ones."""
    return arrival.at_s + RANK_OFFSET_S * index


def singles_first_order(arrival: JobArrival, _index: int) -> float:
    """Ranks single requests before larger jobs, then by arrival."""
    return arrival.at_s - (RANK_OFFSET_S if len(arrival.run_s) == 1 else 0)


def smallest_first_order(arrival: JobArrival, _index: int) -> float:
    """Ranks tasks by the size of their job, then by arrival."""
    return arrival.at_s + RANK_OFFSET_S * len(arrival.run_s)


def make_size_weighted_order(weight_s: float) -> QueueOrder:
    """Returns an order by arrival plus a delay for each task of the job.

    Args:
        weight_s: Delay for each task, in seconds.
    """

    def rank(arrival: JobArrival, _index: int) -> float:
        return arrival.at_s + weight_s * len(arrival.run_s)

    return rank
