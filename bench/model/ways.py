"""Ways of choosing that the policy functions are compared with."""

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
    from bench.model.state import JobOrder
from bench.workload import JobArrival
from bench.workload import mean_run_s


SOONER_S = 1e6
SHARE_S = mean_run_s() / 80
CHOICES = {"random": 1, "of two": 2, "of three": 3, "of five": 5, "least of all": 1000}


def home_of(name: str) -> HomeChoice:
    """Returns a way of choosing homes by its name."""
    if name == "policy":
        return choose_home

    def choose(
        candidates: Sequence[Candidate], _own_zone: str, rng: random.Random
    ) -> str | None:
        usable = [one for one in candidates if accepts_work(one)]
        chosen = least_loaded_of_few(usable, CHOICES[name], rng)
        return None if chosen is None else chosen.incarnation

    return choose


def executor_of(name: str) -> ExecutorChoice:
    """Returns a way of choosing executors by its name."""
    if name == "policy":
        return choose_executor

    def choose(
        candidates: Sequence[Candidate],
        _own_incarnation: str,
        _own_zone: str,
        queue_allowance: int,
        rng: random.Random,
    ) -> str | None:
        usable = [one for one in candidates if accepts_work(one)]
        room = [one for one in usable if free_slots(one) + queue_allowance > 0]
        chosen = least_loaded_of_few(room, CHOICES[name], rng)
        return None if chosen is None else chosen.incarnation

    return choose


def singles_first(arrival: JobArrival) -> float:
    """Ranks single requests before jobs."""
    return arrival.at_s - (SOONER_S if len(arrival.run_s) == 1 else 0)


def smallest_first(arrival: JobArrival) -> float:
    """Ranks jobs by their number of tasks, then by arrival."""
    return arrival.at_s + SOONER_S * len(arrival.run_s)


def aged_size(weight: float) -> JobOrder:
    """Returns an order by arrival plus the job's time on all slots, weighted."""

    def rank(arrival: JobArrival) -> float:
        return arrival.at_s + weight * len(arrival.run_s) * SHARE_S

    return rank
