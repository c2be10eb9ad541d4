"""Tests of the shared-capacity model: its load, and that each job ends.

All capacity must be free again afterwards.
"""

from __future__ import annotations

import random
import unittest
from functools import partial

from bench.shared_room.__main__ import STRATEGIES
from bench.shared_room.__main__ import build_agents
from bench.shared_room.__main__ import build_entries
from bench.shared_room.__main__ import generate_jobs
from bench.shared_room.simulator import REFUSED
from bench.shared_room.simulator import Simulator


SECONDS = 1.0
LONG_S = 30.0
NO_BURST = 1.0


class SharedRoomTest(unittest.TestCase):
    def test_each_job_ends_and_all_capacity_is_free_again(self) -> None:
        for name, strategy in STRATEGIES.items():
            with self.subTest(name):
                entries, agents = build_entries(), build_agents()
                simulator = Simulator(entries, agents, strategy, seed=1)
                jobs = generate_jobs(entries, SECONDS, NO_BURST, random.Random(1))
                for job in jobs:
                    simulator.schedule_at(
                        job.timing.arrived_at, partial(simulator.submit, job)
                    )
                simulator.run_until(LONG_S)
                self.assertTrue(all(job.ended_at for job in jobs))
                self.assertFalse(any(job.ended_at == REFUSED for job in jobs))
                self.assertFalse(any(job.open_tasks for job in jobs))
                for agent in agents:
                    self.assertEqual(agent.capacity, agent.free)

    def test_each_availability_zone_has_an_equal_share_of_callers(self) -> None:
        shares: dict[str, float] = {}
        for entry in build_entries():
            shares[entry.zone] = shares.get(entry.zone, 0.0) + entry.share
        for share in shares.values():
            self.assertAlmostEqual(1 / 3, share)
