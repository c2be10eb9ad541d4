"""Tests that an agent tells a crash of its target from silence and a planned end."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from jackdawkeel.events import EventName
from jackdawkeel.scheduling.crash_watch import CrashWatch
from jackdawkeel.scheduling.target_runtime import Listing
from jackdawkeel.scheduling.target_runtime import Run
from jackdawkeel.scheduling.target_runtime import RunningTask
from jackdawkeel.scheduling.target_runtime import TargetFailure
from tests.fakes import make_log
from tests.fakes import read_lines
from tests.scheduling.test_target_link import ENTRY
from tests.scheduling.test_target_link import TICK_S
from tests.scheduling.test_target_link import TargetLinkTestCase
from tests.scheduling.test_target_link import make_report


if TYPE_CHECKING:
    from typing import Any


LOSS_S = 2.0


class CrashWatchTest(TargetLinkTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[bytes] = []
        watch = self.link.crashes
        self.link.crashes = CrashWatch(
            watch.target, watch.clock, make_log(self.lines), watch.find_executor
        )
        self.deliver_listing(1)

    def deliver_listing(self, born_ms: int, *running: Run) -> None:
        listing = Listing(born_ms, [RunningTask(run, 10.0) for run in running], ())
        self.link._apply_listing(listing, self.clock())

    def fail_calls(self, failure: TargetFailure, seconds: float = LOSS_S) -> None:
        """Lets holds fail, while the owner renews its lease."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self.executor.leases.renew(ENTRY, self.clock())
            self.executor.tick()
            self.link._handle_failure(failure)

    def crashes(self) -> list[dict[str, Any]]:
        return [
            fields
            for fields in read_lines(self.lines)
            if fields["message_type"] == EventName.TARGET_CRASHED
        ]

    def evidence(self) -> list[str]:
        return [fields["evidence"] for fields in self.crashes()]

    def test_refused_calls_show_a_crash_and_the_ages_of_all_runs(self) -> None:
        self.assign(1)
        self.clock.advance(0.3)
        self.assign(2)
        self.fail_calls(TargetFailure.UNREACHABLE)
        [crash] = self.crashes()
        self.assertEqual(crash["evidence"], "refused")
        expected = {"task-1": 300 + 1000 * TICK_S, "task-2": 1000 * TICK_S}
        self.assertEqual(crash["ages_ms"], expected)

    def test_a_start_after_calls_began_to_fail_is_not_blamed(self) -> None:
        self.assign(1)
        self.fail_calls(TargetFailure.NO_ANSWER, TICK_S)
        self.clock.advance(TICK_S)
        self.send_assignment(2, ENTRY)
        self.fail_calls(TargetFailure.UNREACHABLE)
        [crash] = self.crashes()
        self.assertEqual(list(crash["ages_ms"]), ["task-1"])

    def test_a_silent_target_that_replies_again_has_not_crashed(self) -> None:
        self.assign(1)
        self.fail_calls(TargetFailure.NO_ANSWER)
        self.deliver_listing(1)
        self.assertEqual(self.evidence(), ["silent", "withdrawn"])

    def test_a_target_that_was_only_silent_can_crash_later(self) -> None:
        for number in (1, 2):
            self.assign(number)
            self.fail_calls(TargetFailure.NO_ANSWER)
            self.deliver_listing(1)
        self.assign(3)
        self.fail_calls(TargetFailure.NO_ANSWER)
        self.deliver_listing(2)
        self.assertEqual(
            self.evidence(), ["silent", "withdrawn"] * 2 + ["silent", "restarted"]
        )
        counts = self.executor.crashes.find("task-3")
        self.assertEqual(counts and counts.total, 1)

    def test_a_run_whose_stop_the_next_incarnation_confirmed_was_at_work(self) -> None:
        run = self.assign(1)
        self.clock.advance(TICK_S)
        self.executor.handle_stop(ENTRY, [1])
        self.link.crashes.record_failure()
        self.clock.advance(TICK_S)
        self.executor.handle_stop_outcome(run.run, None)
        self.clock.advance(TICK_S)
        self.deliver_listing(2)
        [crash] = self.crashes()
        self.assertEqual(list(crash["ages_ms"]), ["task-1"])

    def test_a_run_that_was_stopped_before_the_crash_is_not_blamed(self) -> None:
        run = self.assign(1)
        self.executor.handle_stop(ENTRY, [1])
        self.executor.handle_stop_outcome(run.run, None)
        self.clock.advance(TICK_S)
        self.deliver_listing(1, run.run)
        self.clock.advance(TICK_S)
        self.deliver_listing(2)
        self.assertEqual(self.crashes(), [])

    def test_a_new_incarnation_shows_that_the_previous_one_has_crashed(self) -> None:
        run = self.assign(1)
        self.clock.advance(TICK_S)
        self.deliver_listing(1, run.run)
        self.deliver_listing(2)
        self.assertEqual(self.evidence(), ["restarted"])

    def test_the_end_of_a_draining_target_is_no_crash(self) -> None:
        self.assign(1)
        self.target.apply_report(replace(make_report(), sequence=2, is_draining=True))
        self.fail_calls(TargetFailure.UNREACHABLE)
        self.deliver_listing(2)
        self.assertEqual(self.crashes(), [])

    def test_the_restart_of_an_idle_target_is_not_recorded(self) -> None:
        self.fail_calls(TargetFailure.UNREACHABLE)
        self.deliver_listing(2)
        self.assertEqual(self.crashes(), [])
