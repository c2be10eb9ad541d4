"""A cancel whose retry reaches another node is answered 410, and the job goes on."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

from fleet import BOUNDS, PREFIX, TROUBLE, CannotRun, Fleet, Reset, job, play, step  # noqa: E402

JOB = "5c0e7a21d94b36f8"
RUN_MS = 3000
STEPS = 5


def cancel(fleet: Fleet) -> int:
    """Cancels as a client does: a request without an answer is sent again."""
    if TROUBLE:
        path = Reset()
        status, _ = fleet.request(0, "DELETE", PREFIX + JOB, timeout=4, address=path.address)
        path.close()
        if status:
            raise CannotRun("the channel was not reset")
        # "Retries reach other nodes."
        return fleet.request(1, "DELETE", PREFIX + JOB, timeout=4)[0]
    return fleet.request(0, "DELETE", PREFIX + JOB, timeout=4)[0]


def check(case: Path) -> str:
    with Fleet(case) as fleet:
        steps = [step(2, estimateMs=RUN_MS)]
        steps += [step(2, estimateMs=RUN_MS, after=[number]) for number in range(STEPS - 1)]
        answer = fleet.post(0, JOB, job(RUN_MS, *steps), timeout=60)
        fleet.wait(lambda: len(fleet.runs(JOB)) >= 2, "the first step to start")
        time.sleep(1.0)
        status = cancel(fleet)
        acked_at = time.monotonic()
        if not (200 <= status < 300 or status == 410):
            raise CannotRun(f"the cancel got {status}")
        # Later than cancel_ms after the ack; and, in case a 410 is not taken for an ack,
        # later than cancel_ms after it has waited ackTimeoutMs for one.
        time.sleep(RUN_MS / 1000 * STEPS - 0.5)
        late = [run for run in fleet.runs(JOB) if run.started_at > acked_at + BOUNDS["cancel_ms"] / 1000]
        for run in late:
            fleet.record.write(f"{run.task} started {run.started_at - acked_at:.3f} s after the ack of the cancel")
        answer.thread.join(2)
        if late:
            return (
                f"UNASKED: the cancel was acknowledged with {status}, and {len(late)} tasks of the job"
                f" started later than cancel_ms after that, the last {late[-1].started_at - acked_at:.1f} s"
            )
        return ""


play(__file__, check)
