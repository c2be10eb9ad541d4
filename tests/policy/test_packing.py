"""Tests of the placement of tasks with resource demands."""

from __future__ import annotations

import unittest

from jackdawkeel.policy.packing import RunTimeLimit
from jackdawkeel.policy.packing import TargetCapacity
from jackdawkeel.policy.packing import can_ever_run
from jackdawkeel.policy.packing import place_tasks
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.specification import StepSpec


CORE = Resources(1000, 64)


def make_target(
    name: str,
    cores: int = 4,
    *,
    free: int | None = None,
    is_local: bool = True,
    labels: tuple[str, ...] = (),
    slowness: float = 1.0,
) -> TargetCapacity:
    """Builds a target with plenty of memory."""
    capacity = Resources(1000 * cores, 65536)
    left = Resources(1000 * (cores if free is None else free), 65536)
    return TargetCapacity(name, frozenset(labels), left, capacity, is_local, slowness)


class PlaceTasksTest(unittest.TestCase):
    def test_tasks_spread_over_the_emptiest_targets(self) -> None:
        targets = [make_target("a"), make_target("b"), make_target("c", free=1)]
        names = place_tasks(StepSpec(4, CORE), 4, targets).names
        self.assertEqual(sorted(names), ["a", "a", "b", "b"])

    def test_own_zone_is_filled_before_others(self) -> None:
        targets = [make_target("far", is_local=False), make_target("near", free=2)]
        names = place_tasks(StepSpec(3, CORE), 3, targets).names
        self.assertEqual(names, ["near", "near", "far"])

    def test_places_as_many_as_fit(self) -> None:
        targets = [make_target("a", free=1)]
        self.assertEqual(place_tasks(StepSpec(3, CORE), 3, targets).names, ["a"])

    def test_only_targets_with_the_required_label_are_used(self) -> None:
        targets = [make_target("a"), make_target("b", labels=("gpu",))]
        step = StepSpec(6, CORE, required_label="gpu")
        self.assertEqual(set(place_tasks(step, 6, targets).names), {"b"})

    def test_placed_tasks_stay_within_the_limit_per_target(self) -> None:
        targets = [make_target("a"), make_target("b")]
        targets[0].placed = 1
        step = StepSpec(4, CORE, max_per_target=2)
        self.assertEqual(sorted(place_tasks(step, 4, targets).names), ["a", "b", "b"])

    def test_targets_on_which_a_task_would_end_too_late_are_used_last(self) -> None:
        """For a job with a tight objective that is late anyway, whose rack is full."""
        targets = [
            make_target("slow", cores=8, slowness=1.3),
            make_target("fast", cores=4, free=2, slowness=1.0, is_local=False),
        ]
        step = StepSpec(3, CORE, preferred_rack="rack-1")
        limit = RunTimeLimit(max_slowdown=1.9, remote_slowdown=1.5, may_wait=False)
        names = place_tasks(step, 3, targets, limit).names
        self.assertEqual(names, ["fast", "fast", "slow"])

    def test_the_preferred_rack_ranks_before_the_own_zone(self) -> None:
        targets = [
            make_target("near"),
            make_target("data", is_local=False, labels=("r1",)),
        ]
        step = StepSpec(1, CORE, preferred_rack="r1")
        self.assertEqual(place_tasks(step, 1, targets).names, ["data"])

    def test_a_slow_target_ranks_last(self) -> None:
        targets = [
            make_target("slow", slowness=5.0),
            make_target("far", is_local=False),
        ]
        self.assertEqual(place_tasks(StepSpec(1, CORE), 1, targets).names, ["far"])

    def test_memory_and_accelerators_limit_placement(self) -> None:
        targets = [make_target("a")]
        for demand in (Resources(1, 100_000), Resources(1, 1, 1)):
            with self.subTest(demand):
                self.assertEqual(place_tasks(StepSpec(1, demand), 1, targets).names, [])

    def test_a_full_target_can_run_a_task_that_fits_its_capacity(self) -> None:
        targets = [make_target("a", free=0)]
        self.assertTrue(can_ever_run(StepSpec(1, CORE), targets))
        self.assertFalse(can_ever_run(StepSpec(1, Resources(5000)), targets))
