"""Checks that an agent soon starts no task after SIGTERM and no request is lost."""

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


START_GRACE_S = 3.0
DRAIN_TIMEOUT_S = 20.0


class GracefulShutdownTest(FleetTestCase):
    def test_no_task_starts_after_sigterm(self) -> None:
        for messages_arrive in (True, False):
            with self.subTest(messages_arrive=messages_arrive):
                fleet = self.start_fleet(proxied=not messages_arrive)
                agent = fleet.agents[0]
                with SteadyLoad(fleet, sleep_ms=100) as load:
                    fleet.wait_until(lambda: runs_tasks(fleet, agent), "work there")  # noqa: B023
                    if not messages_arrive:
                        drop_outgoing_messages(fleet, agent)
                    terminated_at = time.monotonic()
                    agent.process.terminate()
                    deadline = terminated_at + START_GRACE_S
                    fleet.wait_until(
                        lambda: time.monotonic() > deadline and serves_new_job(fleet),  # noqa: B023
                        "work elsewhere",
                        DRAIN_TIMEOUT_S,
                    )
                    starts = [
                        start["at"]
                        for start in fleet.read_target_record(agent)["starts"]
                    ]
                    self.assertLess(max(starts), deadline)
                    self.restart_after_exit(fleet, agent.process)
                self.assert_load_consistent(fleet, load)
                if messages_arrive:
                    self.assert_no_request_lost(fleet, load)
                self.doCleanups()

    def assert_no_request_lost(self, fleet: Fleet, load: SteadyLoad) -> None:
        """Checks that every request was answered and every started job is done."""
        started = {task.rpartition("/")[0] for task in fleet.count_starts()}
        for job in load.jobs:
            self.assertEqual(0, job.lost_requests)
            if job.job_id in started:
                self.assertEqual("done", job.replies[-1].outcome, job.replies)

    def test_rolling_restart_under_load_loses_no_request(self) -> None:
        fleet = self.start_fleet()
        with SteadyLoad(fleet) as load:
            for entry in fleet.entries:
                load.wait_for_done_job()
                entry.process.terminate()
                url = f"{entry.caller.url}/healthz"
                wait_until(
                    lambda: not fleet.responds_ok(url),  # noqa: B023
                    "the health check to fail",
                )
                load.excluded_entries.append(entry)
                self.restart_after_exit(fleet, entry.process)
                load.excluded_entries.remove(entry)
            for agent in fleet.agents:
                load.wait_for_done_job()
                agent.process.terminate()
                self.restart_after_exit(fleet, agent.process)
            load.wait_for_done_job()
        print(f"rolling restart: {dict(load.count_outcomes())}")
        self.assert_no_request_lost(fleet, load)
        self.assert_load_consistent(fleet, load)
        self.assert_serves_new_jobs(fleet)

    def restart_after_exit(self, fleet: Fleet, process: ManagedProcess) -> None:
        """Heals all links, waits for a process to exit with 0 and starts it again."""
        for proxy in fleet.proxies():
            proxy.clear_faults()
        self.assertEqual(0, process.wait(DRAIN_TIMEOUT_S))
        process.start()
        fleet.wait_until(fleet.is_fully_connected, "every entry to list every agent")


def serves_new_job(fleet: Fleet) -> bool:
    """Returns whether the first entry completes a new job.

    The callers of a steady load cannot show this, as all of them may be waiting for
    jobs whose home is silent.
    """
    job = make_job(SERVICE, make_payloads(4))
    return fleet.entries[0].caller.post_job(job).outcome == "done"


def runs_tasks(fleet: Fleet, agent: AgentProcess) -> bool:
    """Returns whether the target of an agent is running tasks."""
    return bool(fleet.read_target_record(agent)["running"])


def drop_outgoing_messages(fleet: Fleet, agent: AgentProcess) -> None:
    """Drops all messages from an agent; messages to it still arrive."""
    for proxy in fleet.proxies():
        if proxy is not agent.proxy:
            proxy.set_fault(Fault(blackhole=True), agent.host)
