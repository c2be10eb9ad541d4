"""The cancel of a job that moved to another edge machine is acknowledged and lost."""

from __future__ import annotations

import os
import threading
import time

from review.standins_3.deployment import PREFIX
from review.standins_3.deployment import Deployment
from review.standins_3.deployment import call
from review.standins_3.deployment import conclude
from review.standins_3.deployment import free_port
from review.standins_3.deployment import has_trouble
from review.standins_3.deployment import make_job
from review.standins_3.deployment import new_host
from review.standins_3.deployment import run_case
from review.standins_3.deployment import submit
from review.standins_3.proxy import ResettingProxy
from review.standins_3.record import Record


JOBS = 10
# Half of the channels of one machine out of six.
RESET = 5
# A share of 0.4 of the jobs, of those whose channels were reset.
CANCELLED = 4
# With HOW=kill the edge machine is killed and started again instead.
HOW = os.environ.get("HOW", "reset")
CANCEL_S = 3.0
STOP_S = 0.05
# Between the end of the disruption and the cancels; contactMs is 3 s.
CALM_S = 6.0
# Below the watch after the cancels, which needs no more than cancel_ms and some.
WATCH_S = 8.0


def play(record: Record) -> int:
    """Resets channels of the clients' edge machine, and cancels jobs when all is calm."""
    labels = [["a", "r1-1"], ["a", "r1-2"], ["a", "r1-3"]]
    with Deployment(record, labels) as deployment:
        time.sleep(3.0)
        home, retry = deployment.edges[0], deployment.edges[1]
        host = new_host(20)
        proxy = ResettingProxy(host, free_port(host), home.address)
        job_ids = [f"{0xC0FFEE00 + number:016x}" for number in range(JOBS)]
        steps = [
            {"count": 2, "cpu": 2000, "memMb": 64, "estimateMs": 14_000},
            {"count": 2, "cpu": 2000, "memMb": 64, "estimateMs": 8_000, "after": [0]},
        ]
        body = make_job(steps, [14_000, 8_000])
        for job_id in job_ids:
            threading.Thread(
                target=submit,
                args=(
                    record,
                    f"client-{job_id[-1]}",
                    [proxy.address, retry.address, retry.address],
                    job_id,
                    body,
                ),
                daemon=True,
            ).start()
            time.sleep(0.05)
        time.sleep(2.0)
        if has_trouble() and HOW == "reset":
            number = proxy.reset(RESET)
            record.add("bench", f"{number} channels of the edge machine are reset")
        elif has_trouble():
            record.add("bench", "SIGKILL of the clients' edge machine")
            home.program.kill()
            time.sleep(0.3)
            home.program.start()
        time.sleep(2.0)
        deployment.wait_until_ready(len(labels))
        record.add("bench", "all edge machines are in rotation, and all is calm")
        time.sleep(CALM_S)
        acked: dict[str, float] = {}
        for job_id in job_ids[:CANCELLED]:
            who = f"client-{job_id[-1]}"
            status, _ = call(record, who, proxy.address, "DELETE", f"{PREFIX}{job_id}")
            if status == 410 or 200 <= status < 300:
                acked[job_id] = record.now()
        time.sleep(WATCH_S)
        end = record.now()
        broken = []
        for run in deployment.all_runs():
            job_id = run.task.partition(".")[0]
            at = acked.get(job_id)
            if at is None:
                continue
            if run.started_at > at + CANCEL_S:
                broken.append(
                    f"UNASKED: {run.task} starts {run.started_at - at:.2f} s after the"
                    " ack of the cancel"
                )
            elif (run.ended_at or end) > at + CANCEL_S + STOP_S:
                broken.append(
                    f"UNASKED: {run.task} runs on {(run.ended_at or end) - at:.2f} s"
                    " after the ack of the cancel"
                )
        if len(acked) < CANCELLED or not deployment.all_runs():
            record.add("bench", f"only {len(acked)} cancels were acknowledged")
            return 2
        return conclude(record, broken)


run_case(__file__, play)
