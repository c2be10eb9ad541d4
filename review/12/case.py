"""The cancel of a job whose route was removed is refused until the job has ended."""

from __future__ import annotations

import threading
import time

from review.standins_3.deployment import PREFIX
from review.standins_3.deployment import Deployment
from review.standins_3.deployment import call
from review.standins_3.deployment import conclude
from review.standins_3.deployment import has_trouble
from review.standins_3.deployment import make_job
from review.standins_3.deployment import run_case
from review.standins_3.deployment import submit
from review.standins_3.record import Record


JOBS = 5
# A share of 0.4 of the jobs.
CANCELLED = 2
CANCEL_S = 3.0
STOP_S = 0.05
ACK_TIMEOUT_S = 4.0
RETRY_S = 0.5
WATCH_S = 10.0


def play(record: Record) -> int:
    """Removes the route of a running job; the client cancels the job in calm."""
    labels = [["a", "r1-1"], ["a", "r1-2"], ["a", "r1-3"]]
    with Deployment(record, labels) as deployment:
        time.sleep(3.0)
        home = deployment.edges[0]
        job_ids = [f"{0xBADCAB10 + number:016x}" for number in range(JOBS)]
        steps = [
            {"count": 2, "cpu": 2000, "memMb": 64, "estimateMs": 16_000},
            {"count": 2, "cpu": 2000, "memMb": 64, "estimateMs": 6_000, "after": [0]},
        ]
        body = make_job(steps, [16_000, 6_000])
        for job_id in job_ids:
            threading.Thread(
                target=submit,
                args=(
                    record, f"client-{job_id[-1]}", [home.address] * 3, job_id, body
                ),
                daemon=True,
            ).start()
        time.sleep(1.0)
        if has_trouble():
            deployment.put_configuration(with_route=False)
        time.sleep(5.0)
        cancelled = job_ids[:CANCELLED]
        sent_at = record.now()
        acked_at: dict[str, float] = {}
        while record.now() < sent_at + WATCH_S + ACK_TIMEOUT_S:
            for job_id in cancelled:
                if job_id in acked_at:
                    continue
                who = f"client-{job_id[-1]}"
                status, _ = call(
                    record, who, home.address, "DELETE", f"{PREFIX}{job_id}"
                )
                if status == 410 or 200 <= status < 300:
                    acked_at[job_id] = record.now()
            time.sleep(RETRY_S)
        end = record.now()
        broken = []
        for run in deployment.all_runs():
            job_id = run.task.partition(".")[0]
            if job_id not in cancelled:
                continue
            late = acked_at.get(job_id, sent_at + ACK_TIMEOUT_S) + CANCEL_S
            if run.started_at > late:
                broken.append(
                    f"UNASKED: {run.task} starts {run.started_at - sent_at:.2f} s after"
                    " the first DELETE"
                )
            elif (run.ended_at or end) > late + STOP_S:
                broken.append(
                    f"UNASKED: {run.task} runs on {(run.ended_at or end) - sent_at:.2f}"
                    " s after the first DELETE"
                )
        if not deployment.all_runs():
            return 2
        return conclude(record, broken)


run_case(__file__, play)
