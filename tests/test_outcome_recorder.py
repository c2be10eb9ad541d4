"""Tests of the plugin whose records decide whether the suite passed."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any

from tests import outcome_recorder


def record(outcome: str, exc_info: Any) -> tuple[list[str], list[str]]:
    """Records one outcome and returns the names added as passed and as failed."""
    passed, failed = outcome_recorder.PASSED, outcome_recorder.FAILED
    counts = len(passed), len(failed)
    test = SimpleNamespace(id=lambda: "a.test (i=1)")
    event = SimpleNamespace(outcome=outcome, exc_info=exc_info, test=test)
    recorder = outcome_recorder.OutcomeRecorder.__new__(
        outcome_recorder.OutcomeRecorder
    )
    recorder.testOutcome(event)
    fresh = passed[counts[0] :], failed[counts[1] :]
    del passed[counts[0] :]
    del failed[counts[1] :]
    return fresh


class OutcomeRecorderTest(unittest.TestCase):
    """Only an outcome with an exception counts as failed."""

    def test_names_by_outcome(self) -> None:
        broken = (ValueError, ValueError(), None)
        cases = [
            ("passed", None, (["a.test"], [])),
            ("subtest", None, ([], [])),
            ("failed", broken, ([], ["a.test"])),
            ("error", broken, ([], ["a.test"])),
            ("subtest", broken, ([], ["a.test"])),
        ]
        for outcome, exc_info, expected in cases:
            with self.subTest(outcome=outcome):
                self.assertEqual(record(outcome, exc_info), expected)
