"""Tests of the choice among targets of different speed while capacity is short.

They guard against fast targets filled with tasks that don't need them, tasks that start
late although a target in time becomes free, and racks filled with foreign tasks.
"""

from __future__ import annotations

import math
import random
import unittest

from jackdawkeel.policy.packing import RunTimeLimit
from jackdawkeel.policy.packing import TargetCapacity
from jackdawkeel.policy.packing import place_tasks
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.specification import StepSpec


CORE = Resources(1000, 64)
FAST, SLOW = 0.68, 1.64
# A task in time on all kinds, and one in time on fast targets only.
LAX = RunTimeLimit(2.0, 3.0)
TIGHT = RunTimeLimit(1.0, 3.0)
LATE = RunTimeLimit(0.5, 3.0)


def make_target(
    name: str, free: int, factor: float = 1.0, *labels: str, cores: int = 32
) -> TargetCapacity:
    """Builds a target with plenty of memory."""
    capacity, left = Resources(1000 * cores, 65536), Resources(1000 * free, 65536)
    return TargetCapacity(
        name, frozenset(labels), left, capacity, True, run_time_factor=factor
    )


def place_as_before(
    step: StepSpec, targets: list[TargetCapacity], max_slowdown: float
) -> list[str]:
    """Chooses targets for eight tasks by the rules before kinds were distinguished."""
    names = []
    for _ in range(8):
        fitting = [target for target in targets if target.free.can_fit(step.demand)]
        if not fitting:
            break
        best = max(
            fitting,
            key=lambda target: (
                target.slowness * 1.2 <= max_slowdown,
                not target.is_avoided,
                target.slowness < 2.0,
                step.preferred_rack in target.labels,
                target.is_local,
                target.free.cpu_millis / target.capacity.cpu_millis,
            ),
        )
        best.free = best.free.minus(step.demand)
        names.append(best.name)
    return names


def choose(targets: list[TargetCapacity], limit: RunTimeLimit, **step: str) -> str:
    """Returns the target of one task, or an empty string if it is not placed."""
    names = place_tasks(StepSpec(1, CORE, **step), 1, targets, limit).names  # type: ignore[arg-type]
    return names[0] if names else ""


class UnevenTargetsTest(unittest.TestCase):
    def test_targets_of_one_kind_are_chosen_as_before(self) -> None:
        """Deployments of one kind without a remote penalty must not change."""
        for seed in range(300):
            rng = random.Random(seed)
            sets: list[list[TargetCapacity]] = [[], []]
            for index in range(12):
                free, slowness = rng.randrange(33), rng.choice((1.0, 1.5, 2.5))
                is_local, is_avoided = rng.random() < 0.4, rng.random() < 0.1
                for targets in sets:
                    target = make_target(str(index), free, 1.0, f"r{index % 3}")
                    target.slowness, target.is_local = slowness, is_local
                    target.is_avoided = is_avoided
                    targets.append(target)
            step = StepSpec(8, CORE, preferred_rack=rng.choice(("", "r1")))
            limit = RunTimeLimit(rng.choice((math.inf, 2.0, 1.0)), 1.0)
            with self.subTest(seed):
                names = place_tasks(step, 8, sets[0], limit, {"r1": 9000.0}).names
                before = place_as_before(step, sets[1], limit.max_slowdown)
                self.assertEqual(names, before)

    def test_a_task_leaves_scarce_fast_targets_free(self) -> None:
        cases = [
            ("scarce", 4, LAX, "slow"),
            ("ample", 32, LAX, "fast"),
            ("needed", 4, TIGHT, "fast"),
            ("late everywhere", 4, LATE, "fast"),
        ]
        for name, free, limit, expected in cases:
            with self.subTest(name):
                targets = [
                    make_target("fast", free, FAST),
                    make_target("slow", 16, SLOW),
                ]
                self.assertEqual(choose(targets, limit), expected)

    def test_a_task_waits_only_for_a_full_target_on_which_it_ends_in_time(self) -> None:
        slow = make_target("slow", 16, SLOW)
        small = make_target("small", 0, FAST, cores=0)
        failed = make_target("failed", 0, FAST)
        failed.is_avoided = True
        cases = [
            ("full", [make_target("fast", 0, FAST)], TIGHT, ""),
            ("latest start passed", [make_target("fast", 0, FAST)], LATE, "slow"),
            (
                "late anyway",
                [make_target("fast", 0, FAST)],
                RunTimeLimit(1.0, may_wait=False),
                "slow",
            ),
            ("too small", [small], TIGHT, "slow"),
            ("failed there", [failed], TIGHT, "slow"),
            ("fast targets lost", [], TIGHT, "slow"),
        ]
        for name, fast, limit, expected in cases:
            with self.subTest(name):
                self.assertEqual(choose([slow, *fast], limit), expected)

    def test_late_tasks_run_where_they_end_first(self) -> None:
        """Near the data on a slow kind beats three times the run time elsewhere."""
        targets = [make_target("near", 4, SLOW, "r1"), make_target("remote", 32, FAST)]
        self.assertEqual(choose(targets, LATE, preferred_rack="r1"), "near")

    def test_tasks_leave_the_reserve_of_a_rack_free(self) -> None:
        """Within one placement too: the reserve is reached after four tasks."""
        targets = [make_target("hot", 8, 1.0, "r1"), make_target("other", 4)]
        names = place_tasks(StepSpec(8, CORE), 8, targets, LAX, {"r1": 4000.0}).names
        self.assertEqual(sorted(names), ["hot"] * 4 + ["other"] * 4)
        names = place_tasks(StepSpec(8, CORE), 8, targets, LAX, {"r1": 4000.0}).names
        self.assertEqual(names, ["hot"] * 4)
