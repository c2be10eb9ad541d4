"""Baseline for the load benchmark: tasks go straight to random targets."""

from __future__ import annotations

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import urllib3
from tests.standins.fleet import SERVICE
from urllib3.exceptions import HTTPError

from bench.callers import send_open_loop
from bench.fleet import SLOTS


if TYPE_CHECKING:
    from bench.callers import Call
    from bench.fleet import BenchFleet
    from bench.workload import JobArrival


MAX_TASK_THREADS = 1200
REQUEST_TIMEOUT_S = 120.0


class RandomTargetCallers:
    """Posts each task directly to a random target, without a dispatcher or limits.

    Tasks queue without limit at their target. The stand-in target runs any number of
    tasks at once, so a semaphore for each target enforces its number of slots.
    """

    def __init__(self, fleet: BenchFleet, seed: int) -> None:
        self.rng = random.Random(seed)
        self.urls = [agent.target.url for agent in fleet.agents]
        self.slots = {url: threading.Semaphore(SLOTS) for url in self.urls}
        self.http = urllib3.PoolManager(
            retries=False,
            timeout=REQUEST_TIMEOUT_S,
            maxsize=SLOTS,
            num_pools=len(self.urls),
        )
        self.calls: list[Call] = []

    def run(self, arrivals: list[JobArrival], start_at: float) -> None:
        """Sends all jobs at their due times and waits for their answers."""
        with ThreadPoolExecutor(MAX_TASK_THREADS) as task_threads:
            self.task_threads = task_threads
            send_open_loop(arrivals, start_at, self.calls, self.send)

    def send(self, call: Call) -> None:
        """Runs all tasks of a job concurrently and records the outcome of the job."""
        futures = [
            self.task_threads.submit(self.run_task, run_s)
            for run_s in call.arrival.run_s
        ]
        all_done = all(future.result() for future in futures)
        call.outcome = "done" if all_done else "failed"

    def run_task(self, run_s: float) -> bool:
        """Runs a task at a random target; returns whether it succeeded.

        A reply within half of the run time counts as a failure.
        """
        url = self.rng.choice(self.urls)
        with self.slots[url]:
            started_at = time.monotonic()
            try:
                reply = self.http.request(
                    "POST", f"{url}/tasks/{SERVICE}", json={"sleep_ms": run_s * 1000}
                )
            except HTTPError:
                return False
            return reply.status == 200 and time.monotonic() - started_at >= run_s / 2
