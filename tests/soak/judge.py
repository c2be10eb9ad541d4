"""Judges a soak by what callers, targets and the operator have seen."""

from __future__ import annotations

import threading
import time
from collections import Counter
from typing import TYPE_CHECKING
from typing import Self

from tests.soak.callers import CALLER_WAIT_S
from tests.soak.faults import STORE


if TYPE_CHECKING:
    from tests.soak.callers import Attempt
    from tests.soak.callers import SoakCallers
    from tests.soak.callers import SoakJob
    from tests.soak.faults import Disruptions
    from tests.soak.faults import Window
    from tests.standins.platform_fleet import PlatformFleet


# The bounds of the pages, in seconds.
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
EVACUATE_S = 5.0
LOSS_SLACK_S = 0.2
LOOK_INTERVAL_S = 0.2
MAX_FINDINGS = 20
FAILED_INSIDE = 500


class Judge:
    """Looks at the fleet until the context ends, and at all records after it.

    Attributes:
        findings: Broken promises, each in a line.
        is_timed: Whether promises with a time bound are judged; on a machine with
            other work they say more about the machine.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        callers: SoakCallers,
        disruptions: Disruptions,
        is_timed: bool,
    ) -> None:
        self.fleet = fleet
        self.callers = callers
        self.disruptions = disruptions
        self.is_timed = is_timed
        self.findings: list[str] = []
        self.seen_versions: dict[str, tuple[int, float]] = {}
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._look, daemon=True)

    def __enter__(self) -> Self:
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        self.thread.join()

    def note(self, finding: str) -> None:
        """Takes a broken promise."""
        if finding not in self.findings and len(self.findings) < MAX_FINDINGS:
            self.findings.append(finding)

    # While it runs.

    def _look(self) -> None:
        while not self.stopping.wait(LOOK_INTERVAL_S):
            self._judge_doubles()
            for index in range(len(self.fleet.entries)):
                self._judge_version(index)

    def _judge_doubles(self) -> None:
        for first, second in self.fleet.find_overlapping_runs():
            self.note(f"two runs at once: {first} and {second}")

    def _judge_version(self, index: int) -> None:
        entry = self.fleet.entries[index]
        name = entry.process.name
        asked_at = time.monotonic()
        seen, seen_at = self.seen_versions.get(name, (0, 0.0))
        if self.disruptions.kinds(name, seen_at, asked_at) & {"kill", "terminate"}:
            seen = 0
        written = dict(self.fleet.version_written_at)
        for version in sorted(written, reverse=True):
            if self.fleet.has_version(entry, version):
                break
        else:
            return
        self.seen_versions[name] = (version, asked_at)
        if version < seen:
            self.note(f"{name}: version {version} after {seen}")
        due = max(
            (v for v, at in written.items() if at < asked_at - CONFIG_APPLY_S),
            default=0,
        )
        if self.is_timed and version < due and self._is_in_touch(name, asked_at):
            self.note(f"{name}: version {version} in force, {due} is due")

    def _is_in_touch(self, name: str, moment: float) -> bool:
        since = moment - 2 * CONTACT_S
        return self.disruptions.is_calm(
            name, since, moment
        ) and self.disruptions.is_calm(STORE, since, moment)

    # After it.

    def judge_records(self) -> None:
        """Checks the records of callers and targets."""
        self._judge_doubles()
        started = Counter(run.task[:16] for run in self.fleet.runs())
        done = {run.task for run in self.fleet.runs() if run.end_kind == "done"}
        done_count = Counter(task[:16] for task in done)
        for job in self.callers.jobs:
            if job.is_refused and started[job.job_id]:
                self.note(f"refused, but started: {job}")
            if job.is_completed and done_count[job.job_id] != job.count:
                self.note(f"completed with {done_count[job.job_id]} done: {job}")
            for attempt in job.attempts:
                self._judge_answer(job, attempt)
        if self.is_timed:
            for window in self.disruptions.drains:
                self._judge_window(window, DRAIN_S, "started while it drained")
            for window in self.disruptions.evacuations:
                self._judge_window(window, EVACUATE_S, "started though evacuated")

    def _judge_answer(self, job: SoakJob, attempt: Attempt) -> None:
        if attempt.status == FAILED_INSIDE:
            self.note(f"failed inside: {job}")
        if attempt.status or not attempt.was_connected:
            return
        name = self.fleet.entries[attempt.entry].process.name
        since = attempt.sent_at - CONTACT_S
        kinds = self.disruptions.kinds(name, since, attempt.ended_at)
        took_s = attempt.ended_at - attempt.sent_at
        if took_s >= CALLER_WAIT_S and not self.is_timed:
            return
        if kinds <= {"terminate", "store"} and (not kinds or took_s > LOSS_SLACK_S):
            self.note(f"no answer from {name} ({sorted(kinds)}): {job}")

    def _judge_window(self, window: Window, bound_s: float, text: str) -> None:
        agent = self.fleet.agents[window.index]
        for run in list(agent.target.runs):
            if not window.holds_from + bound_s < run.started_at < window.until:
                continue
            if self._is_in_touch(agent.process.name, run.started_at):
                late_s = run.started_at - window.holds_from
                self.note(f"{agent.process.name}: {text}, {late_s:.2f} s after: {run}")
