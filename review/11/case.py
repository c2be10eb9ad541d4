"""After all edge machines were killed, jobs run beside their runs on a suspended machine."""

from __future__ import annotations

import random
import signal
import threading
import time

from review.standins_3.balancer import Balancer
from review.standins_3.deployment import Deployment
from review.standins_3.deployment import conclude
from review.standins_3.deployment import has_trouble
from review.standins_3.deployment import make_job
from review.standins_3.deployment import run_case
from review.standins_3.deployment import submit
from review.standins_3.overlaps import find_overlaps
from review.standins_3.record import Record


JOBS = 40
TASKS = 8
TASK_MS = 8000
# Jobs are handed in during this time.
TRAFFIC_S = 2.0
DOWN_S = 1.0
SUSPENSION_S = 4.0
CALM_S = 1.5


def play(record: Record) -> int:
    """Kills all edge machines at once while one side machine is suspended."""
    labels = [["a", f"r1-{number}"] for number in range(4)]
    with Deployment(record, labels) as deployment:
        time.sleep(3.0)
        steps = [{"count": TASKS, "cpu": 100, "memMb": 64, "estimateMs": TASK_MS}]
        body = make_job(steps, [TASK_MS])
        addresses = [edge.address for edge in deployment.edges]
        balancer = Balancer(deployment, addresses, random.Random(11))
        threads = []
        for number in range(JOBS):
            home = number % len(addresses)
            who, job_id = f"client-{number}", f"{number + 1:016x}"
            thread = threading.Thread(
                target=submit,
                args=(record, who, balancer.choose, home, job_id, body),
                daemon=True,
            )
            thread.start()
            threads.append(thread)
            time.sleep(TRAFFIC_S / JOBS)
        time.sleep(CALM_S)
        suspensions = []
        if has_trouble():
            # The machine with the most runs.
            busiest = max(range(4), key=lambda index: len(deployment.minions[index].running))
            minion, side = deployment.minions[busiest], deployment.sides[busiest]
            side.send(signal.SIGSTOP)
            minion.suspend()
            began_at = record.now()
            record.add("bench", "SIGKILL of all edge machines")
            for edge in deployment.edges:
                edge.program.send(signal.SIGKILL)
            for edge in deployment.edges:
                edge.program.process.wait()
            time.sleep(DOWN_S)
            record.add("bench", "they start again")
            for edge in deployment.edges:
                edge.program.start()
            time.sleep(max(0.0, began_at + SUSPENSION_S - record.now()))
            minion.resume()
            side.send(signal.SIGCONT)
            suspensions.append((began_at, record.now()))
        for thread in threads:
            thread.join()
        return conclude(record, find_overlaps(record, deployment, suspensions))


run_case(__file__, play)
