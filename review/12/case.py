"""An edge machine that the store turned away starts jobs that others know to run."""

from __future__ import annotations

import random
import signal
import threading
import time

from review.standins_3.balancer import Balancer
from review.standins_3.deployment import Deployment
from review.standins_3.deployment import conclude
from review.standins_3.deployment import free_port
from review.standins_3.deployment import has_trouble
from review.standins_3.deployment import make_job
from review.standins_3.deployment import new_host
from review.standins_3.deployment import run_case
from review.standins_3.deployment import submit
from review.standins_3.overlaps import find_overlaps
from review.standins_3.proxy import ResettingProxy
from review.standins_3.record import Record


JOBS = 90
TASKS = 4
TASK_MS = 2400
BUDGET_S = 3.0
# Jobs are handed in during this time before the machines fail.
TRAFFIC_S = 2.0
DOWN_S = 0.8
TURNED_AWAY_S = 2.8
SUSPENSION_S = 4.0
ROUNDS = 6


def play(record: Record) -> int:
    """Takes the power of an edge machine that the store then turns away."""
    labels = [["a", f"r1-{number}"] for number in range(4)]
    with Deployment(record, labels) as deployment:
        time.sleep(2.0)
        home = deployment.edges[0]
        host = new_host(20)
        proxy = ResettingProxy(host, free_port(host), home.address)
        nodes = [proxy.address] + [edge.address for edge in deployment.edges[1:]]
        balancer = Balancer(deployment, nodes, random.Random())
        steps = [{"count": TASKS, "cpu": 100, "memMb": 64, "estimateMs": TASK_MS}]
        body = make_job(steps, [TASK_MS])
        suspensions = []
        for turn in range(ROUNDS):
            threads = []
            for number in range(JOBS):
                who, job_id = f"client-{number}", f"{0x1000 * (turn + 1) + number:016x}"
                thread = threading.Thread(
                    target=submit,
                    args=(record, who, balancer.choose, 0, job_id, body, BUDGET_S),
                    daemon=True,
                )
                thread.start()
                threads.append(thread)
                time.sleep(TRAFFIC_S / JOBS)
            time.sleep(0.3)
            if has_trouble():
                minion, side = deployment.minions[0], deployment.sides[0]
                side.send(signal.SIGSTOP)
                minion.suspend()
                began_at = record.now()
                record.add("bench", "an edge machine loses its power")
                proxy.fall_silent()
                home.program.kill()
                record.add("bench", "the store turns it away")
                deployment.store_path.refuse()
                time.sleep(DOWN_S)
                record.add("bench", "it starts again")
                proxy.go_on()
                home.program.start()
                time.sleep(began_at + TURNED_AWAY_S - record.now())
                record.add("bench", "the store serves it again")
                deployment.store_path.go_on()
                time.sleep(max(0.0, began_at + SUSPENSION_S - record.now()))
                minion.resume()
                side.send(signal.SIGCONT)
                suspensions.append((began_at, record.now()))
            for thread in threads:
                thread.join()
            time.sleep(1.0)
        return conclude(record, find_overlaps(record, deployment, suspensions))


run_case(__file__, play)
