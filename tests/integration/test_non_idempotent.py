"""Checks that a non-idempotent task starts at most once."""

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
MAX_ATTEMPTS = 3


def do_nothing(agent: AgentProcess) -> None:
    """Leaves the agent and its target unchanged."""


@dataclass(frozen=True, slots=True)
class LostAnswer:
    """A fault that loses the answer to a started task.

    Attributes:
        name: Name of the case.
        payload: Payload of the task, which controls what the target does.
        inject_fault: Starts the fault once the task has started.
        end_fault: Ends the fault after the caller has an answer.
        error_kinds: Kinds of error that the answer may have.
    """

    name: str
    payload: dict[str, Any]
    inject_fault: Callable[[AgentProcess], None]
    end_fault: Callable[[AgentProcess], None]
    error_kinds: set[str]


# Longer than the deadline, so that the task is still running when its answer is lost.
SLOW_PAYLOAD = {"sleep_ms": 60_000}
CASES = [
    LostAnswer("closed", {"close": True}, do_nothing, do_nothing, {"task_unknown"}),
    LostAnswer("silent", {"hang": True}, do_nothing, do_nothing, {"deadline_expired"}),
    LostAnswer(
        "target frozen",
        SLOW_PAYLOAD,
        lambda agent: agent.target.process.suspend(),
        lambda agent: agent.target.process.resume(),
        {"deadline_expired"},
    ),
    LostAnswer(
        "agent frozen",
        SLOW_PAYLOAD,
        lambda agent: agent.process.suspend(),
        lambda agent: agent.process.resume(),
        {"home_silent"},
    ),
    LostAnswer(
        "agent restarted",
        SLOW_PAYLOAD,
        lambda agent: agent.process.restart(),
        do_nothing,
        {"home_gone"},
    ),
]


class NonIdempotentTest(FleetTestCase):
    def test_task_is_not_retried_when_its_answer_is_lost(self) -> None:
        fleet = self.start_fleet()
        first, second = fleet.entries
        for case in CASES:
            with self.subTest(case.name):
                job = make_job(SERVICE, [case.payload], deadline_ms=DEADLINE_MS)
                job_id = first.caller.request_ids(SERVICE, 1)[0]
                home = find_home(fleet, job_id)
                call = self.start_call(lambda: first.caller.put_job(job_id, job))  # noqa: B023
                self.wait_for_starts(fleet, job_id, 1)
                case.inject_fault(home)
                reply = call.result()
                if "home_gone" in case.error_kinds:
                    reply = self.submit_until_final(reply, first.caller, job_id, job)
                self.assertIn(reply.kind, case.error_kinds)
                case.end_fault(home)
                fleet.wait_until(
                    fleet.is_fully_connected, "every entry to list every agent"
                )
                again = second.caller.put_job(job_id, job)
                self.assertNotEqual("not_run", again.outcome)
                self.assert_serves_new_jobs(fleet)
                self.assert_no_task_started_twice(fleet)

    def test_only_idempotent_tasks_are_retried(self) -> None:
        fleet = self.start_fleet()
        for is_idempotent in (False, True):
            with self.subTest(is_idempotent=is_idempotent):
                job = make_job(SERVICE, [{"fail": 500}], idempotent=is_idempotent)
                reply = fleet.entries[0].caller.post_job(job)
                self.assertEqual("failed", reply.outcome)
                count = fleet.count_starts()[f"{reply.body['id']}/0"]
                allowed = range(2, MAX_ATTEMPTS + 1) if is_idempotent else [1]
                self.assertIn(count, allowed)
