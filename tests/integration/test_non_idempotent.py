"""A request marked as non-idempotent runs at most once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from tests.integration.fleet_test_case import FleetTestCase
from tests.integration.fleet_test_case import find_home
from tests.standins.caller import make_job
from tests.standins.fleet import SERVICE


if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.standins.fleet import AgentProcess


DEADLINE_MS = 4000
MAX_STARTS = 3


def do_nothing(agent: AgentProcess) -> None:
    """Leaves the agent and its target as they are."""


@dataclass(frozen=True, slots=True)
class LostAnswer:
    """How the answer to a started task is lost.

    Attributes:
        name: Name of the row.
        payload: What the target does with the task.
        act: What happens once the task has started.
        heal: What happens after the answer to the caller.
        kinds: The kinds of error that are true.
    """

    name: str
    payload: dict[str, Any]
    act: Callable[[AgentProcess], None]
    heal: Callable[[AgentProcess], None]
    kinds: set[str]


# Longer than the deadline, so that the task is under way when its answer is lost.
SLOW = {"sleep_ms": 60_000}
ROWS = [
    LostAnswer("closed", {"close": True}, do_nothing, do_nothing, {"task_unknown"}),
    LostAnswer("silent", {"hang": True}, do_nothing, do_nothing, {"deadline_expired"}),
    LostAnswer(
        "target frozen",
        SLOW,
        lambda agent: agent.target.process.suspend(),
        lambda agent: agent.target.process.resume(),
        {"deadline_expired"},
    ),
    LostAnswer(
        "agent frozen",
        SLOW,
        lambda agent: agent.process.suspend(),
        lambda agent: agent.process.resume(),
        {"home_silent"},
    ),
    LostAnswer(
        "agent restarted",
        SLOW,
        lambda agent: agent.process.restart(),
        do_nothing,
        {"home_gone"},
    ),
]


class NonIdempotentTest(FleetTestCase):
    def test_answer_of_the_target_is_lost(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        for row in ROWS:
            with self.subTest(row.name):
                job = make_job(SERVICE, [row.payload], deadline_ms=DEADLINE_MS)
                job_id = first.caller.request_ids(SERVICE, 1)[0]
                home = find_home(fleet, job_id)
                call = self.begin(lambda: first.caller.put_job(job_id, job))  # noqa: B023
                self.wait_for_starts(fleet, job_id, 1)
                row.act(home)
                reply = call.result()
                if "home_gone" in row.kinds:
                    reply = self.settle(reply, first.caller, job_id, job)
                self.assertIn(reply.kind, row.kinds)
                row.heal(home)
                fleet.wait_until(fleet.is_fully_connected, "every agent to be heard")
                again = second.caller.put_job(job_id, job)
                self.assertNotEqual("not_run", again.outcome)
                self.judge_works(fleet)
                self.judge_starts(fleet)

    def test_only_idempotent_tasks_are_tried_again(self) -> None:
        fleet = self.start_fleet()
        for is_idempotent in (False, True):
            with self.subTest(is_idempotent=is_idempotent):
                job = make_job(SERVICE, [{"fail": 500}], idempotent=is_idempotent)
                reply = fleet.entries[0].caller.post_job(job)
                self.assertEqual("failed", reply.outcome)
                count = fleet.count_starts()[f"{reply.body['id']}/0"]
                allowed = range(2, MAX_STARTS + 1) if is_idempotent else [1]
                self.assertIn(count, allowed)
