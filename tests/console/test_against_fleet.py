"""Tests of the commands against real processes: one entry and two agents."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from tests.standins.fleet import SERVICE
from tests.standins.fleet import Fleet
from tests.standins.processes import wait_until

from .command_runner import run_command


IN_FORCE_TIMEOUT_S = 10.0
ZONE_TICKET = {"availability_zones": {"west-2": {"in_service": False}}}


class CommandsAgainstFleetTest(unittest.TestCase):
    """The commands understand the replies of a real entry.

    The other tests use scripted replies, which would hide a change of the format.
    """

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(Fleet(zones=2, entries=1, slots=2))

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = Path(folder)
        self.entry = ["--entry", self.fleet.entries[0].caller.url]

    def write(self, name: str, content: object) -> str:
        """Writes a JSON file and returns its path."""
        path = self.folder / name
        path.write_text(json.dumps(content))
        return str(path)

    def test_job_runs_each_task_once(self) -> None:
        payloads = [{"nights": [number, 1]} for number in range(3)]
        tasks = [{"payload": payload} for payload in payloads]
        job = self.write("job.json", {"service": SERVICE, "tasks": tasks})
        result = run_command("job", "submit", job, *self.entry)
        self.assertEqual((result.code, result.errors), (0, ""))
        answer = json.loads(result.output)
        self.assertEqual(len(answer["results"]), 3)
        again = run_command("job", "submit", job, *self.entry, "--id", answer["id"])
        self.assertEqual((again.code, again.output), (0, result.output))
        starts = self.fleet.count_starts()
        counts = [starts[f"{answer['id']}/{index}"] for index in range(3)]
        self.assertEqual(counts, [1] * 3)

    def test_job_of_an_unknown_service_is_not_run(self) -> None:
        job = {"service": "no-such-service", "tasks": [{"payload": 1}]}
        result = run_command("job", "submit", self.write("job.json", job), *self.entry)
        self.assertEqual(result.code, 3)
        self.assertEqual(json.loads(result.output)["error"]["kind"], "no_such_service")

    def test_tickets_and_status(self) -> None:
        ticket = self.write("ticket.json", ZONE_TICKET)
        result = run_command("ticket", "submit", "20", ticket, *self.entry)
        self.assertEqual((result.code, result.errors), (0, ""))
        wait_until(self.is_in_force, "the ticket to be in force", IN_FORCE_TIMEOUT_S)
        stale = run_command("ticket", "submit", "19", ticket, *self.entry)
        self.assertEqual(stale.code, 3)
        self.assertIn("superseded", stale.output)
        missing = run_command("ticket", "status", "18", *self.entry)
        self.assertEqual(missing.code, 3)
        status = run_command("status", *self.entry)
        self.assertEqual((status.code, status.errors), (0, ""))
        self.assertIn("availability zone west-1: in service", status.output)
        self.assertIn("west-2: out of service (ticket 20), 1 agents", status.output)
        for agent in self.fleet.agents:
            self.assertIn(agent.target.url, status.output)

    def is_in_force(self) -> bool:
        """Returns whether ticket 20 is in force at both agents."""
        result = run_command("ticket", "status", "20", *self.entry)
        return result.code == 0 and len(json.loads(result.output)["in_force"]) == 2

    def test_metrics_are_well_formed(self) -> None:
        url = self.fleet.entries[0].caller.url
        text = self.fleet.http.request("GET", f"{url}/v1/metrics").data.decode()
        self.assertIn("# TYPE jackdawkeel_messages_sent_total counter\n", text)
