"""Tasks of a machine that was suspended with its minion go on there and run elsewhere."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

from fleet import TROUBLE, CannotRun, Fleet, job, play, step  # noqa: E402

TASKS = 120
# Run times of the tasks of the two jobs.
LONG_MS, SHORT_MS = 6000, 2500
SUSPENDED_S = 2.5
# Time that the first task of the short job has left when the machine is suspended.
LEFT_S = 0.05


def find_overlaps(fleet: Fleet, resumed_at: float) -> list:
    """Returns pairs of runs of one task, with how long both were at work at once."""
    by_task: dict = {}
    for run in fleet.runs():
        by_task.setdefault(run.task, []).append(run)
    pairs = []
    for runs in by_task.values():
        for index, first in enumerate(runs):
            for second in runs[index + 1:]:
                begin = max(second.started_at, resumed_at)
                end = min(first.ended_at, second.ended_at)
                if second.started_at < first.ended_at and begin < end:
                    pairs.append((first, second, end - begin))
    return pairs


def check(case: Path) -> str:
    with Fleet(case, entries=2, agents=3, cpu=32_000, task_cpu=100) as fleet:
        answers = []
        for number, run_ms in enumerate((LONG_MS, SHORT_MS)):
            body = job(run_ms, step(TASKS, cpu=100, estimateMs=run_ms))
            answers.append(fleet.post(0, f"{number + 1:016x}", body, timeout=30))
            fleet.wait(lambda: len(fleet.runs()) >= (number + 1) * TASKS, "the tasks to start")
        minion, agent = fleet.minions[0], fleet.agents[0]
        short = [run for run in minion.runs if run.task.startswith(f"{2:016x}")]
        if not short:
            raise CannotRun("the minion got no task of the short job")
        time.sleep(max(0.0, short[0].started_at + SHORT_MS / 1000 - LEFT_S - time.monotonic()))
        if TROUBLE:
            agent.signal(signal.SIGSTOP)
            minion.suspend()
            time.sleep(SUSPENDED_S)
            agent.signal(signal.SIGCONT)
            minion.resume()
        resumed_at = time.monotonic()
        statuses = [answer.result()[0] for answer in answers]
        time.sleep(1.0)
        if not all(run.ended_at for run in fleet.runs()):
            raise CannotRun("runs have not ended")
        overlaps = find_overlaps(fleet, resumed_at)
        for first, second, seconds in overlaps:
            fleet.record.write(
                f"{first.task}: run {first.attempt} on {first.minion.name} ({first.how}) and run {second.attempt}"
                f" on {second.minion.name} ({second.how}) at work at the same time for {seconds:.3f} s"
            )
        if overlaps:
            longest = max(seconds for _, _, seconds in overlaps)
            both = sum(first.how == second.how == "done" for first, second, _ in overlaps)
            return (
                f"TWICE: {len(overlaps)} tasks were at work on two minions at the same time, for up to"
                f" {longest:.3f} s after the suspension; {both} of them ended done on both; answers {statuses}"
            )
        return ""


play(__file__, check)
