"""A nose2 plugin that records the ids of passed and failed tests."""

from __future__ import annotations

from typing import Any

from nose2.events import Plugin


PASSED: list[str] = []
FAILED: list[str] = []


class OutcomeRecorder(Plugin):  # type: ignore[misc]
    """Records which tests passed and which failed."""

    alwaysOn = True  # noqa: N815
    configSection = "outcome-recorder"  # noqa: N815

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Records an outcome; a failed subtest counts as a failure of its test."""
        name = event.test.id().split(" ")[0]
        if event.exc_info is not None and event.outcome != "skipped":
            FAILED.append(name)
        elif event.outcome == "passed":
            PASSED.append(name)
