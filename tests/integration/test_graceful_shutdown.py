"""A leaving target gets no new work; a graceful shutdown cuts nothing off."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from tests.integration.fleet_test_case import FleetTestCase
from tests.integration.fleet_test_case import make_payloads
from tests.integration.steady_load import SteadyLoad
from tests.standins.caller import make_job
from tests.standins.fleet import SERVICE
from tests.standins.processes import wait_until
from tests.standins.proxy import Fault


if TYPE_CHECKING:
    from tests.standins.fleet import AgentProcess
    from tests.standins.fleet import Fleet
    from tests.standins.processes import ManagedProcess


GRACE_S = 3.0
DRAIN_S = 20.0


class LeavingTest(FleetTestCase):
    def test_no_start_after_sigterm(self) -> None:
        for is_heard in (True, False):
            with self.subTest(is_heard=is_heard):
                fleet = self.start_fleet(proxied=not is_heard)
                agent = fleet.agents[0]
                with SteadyLoad(fleet, sleep_ms=100) as load:
                    fleet.wait_until(lambda: runs_tasks(fleet, agent), "work there")  # noqa: B023
                    if not is_heard:
                        silence_sender(fleet, agent)
                    left_at = time.monotonic()
                    agent.process.terminate()
                    since = left_at + GRACE_S
                    fleet.wait_until(
                        lambda: time.monotonic() > since and is_served(fleet),  # noqa: B023
                        "work elsewhere",
                        DRAIN_S,
                    )
                    starts = [
                        start["at"]
                        for start in fleet.read_target_record(agent)["starts"]
                    ]
                    self.assertLess(max(starts), since)
                    self.restart_ended(fleet, agent.process)
                self.judge_load(fleet, load)
                if is_heard:
                    self.judge_nothing_cut_off(fleet, load)
                self.doCleanups()

    def judge_nothing_cut_off(self, fleet: Fleet, load: SteadyLoad) -> None:
        """Checks that each request was answered, and each job whole or not started."""
        started = {task.rpartition("/")[0] for task in fleet.count_starts()}
        for job in load.jobs:
            self.assertEqual(0, job.cut_off)
            if job.job_id in started:
                self.assertEqual("done", job.replies[-1].outcome, job.replies)

    def test_rolling_restart_under_load(self) -> None:
        fleet = self.start_fleet()
        with SteadyLoad(fleet) as load:
            for entry in fleet.entries:
                load.wait_for_work()
                entry.process.terminate()
                url = f"{entry.caller.url}/healthz"
                wait_until(lambda: not fleet.responds_ok(url), "the balancer to notice")  # noqa: B023
                load.avoided.append(entry)
                self.restart_ended(fleet, entry.process)
                load.avoided.remove(entry)
            for agent in fleet.agents:
                load.wait_for_work()
                agent.process.terminate()
                self.restart_ended(fleet, agent.process)
            load.wait_for_work()
        print(f"rolling restart: {dict(load.count_outcomes())}")
        self.judge_nothing_cut_off(fleet, load)
        self.judge_load(fleet, load)
        self.judge_works(fleet)

    def restart_ended(self, fleet: Fleet, process: ManagedProcess) -> None:
        """Starts a process again once it has ended by itself."""
        for proxy in fleet.proxies():
            proxy.clear_faults()
        self.assertEqual(0, process.wait(DRAIN_S))
        process.start()
        fleet.wait_until(fleet.is_fully_connected, "the process to be back")


def is_served(fleet: Fleet) -> bool:
    """Returns whether a new job is done.

    The callers of a steady load may all wait at once for jobs whose home is silent.
    """
    job = make_job(SERVICE, make_payloads(4))
    return fleet.entries[0].caller.post_job(job).outcome == "done"


def runs_tasks(fleet: Fleet, agent: AgentProcess) -> bool:
    """Returns whether an agent's target runs tasks at this moment."""
    return bool(fleet.read_target_record(agent)["running"])


def silence_sender(fleet: Fleet, agent: AgentProcess) -> None:
    """Lets nobody hear an agent, while it hears all."""
    for proxy in fleet.proxies():
        if proxy is not agent.proxy:
            proxy.set_fault(Fault(blackhole=True), agent.host)
