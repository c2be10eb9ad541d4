"""Open-loop callers: each job is sent when due, even if earlier ones are open."""

from __future__ import annotations

import random
import threading
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import wait
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from tests.standins.caller import make_job
from tests.standins.fleet import SERVICE
from urllib3.exceptions import HTTPError


if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.standins.caller import Reply

    from bench.fleet import BenchFleet
    from bench.workload import JobArrival


MAX_CALLER_THREADS = 600
IDS_PER_REQUEST = 20
MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.1
DEADLINE_MS = 30_000
NO_ANSWER = "no_answer"


@dataclass(slots=True)
class Call:
    """A job sent by a caller, and its answer.

    Attributes:
        arrival: The job.
        due_at: Time at which the job was due, in seconds of the monotonic clock.
        late_s: Delay in seconds between the due time and the actual sending.
        response_s: Seconds between the due time and the answer.
        outcome: Outcome of the job, or ``no_answer``.
        kind: Kind of the error; empty without an error.
        job_id: Job id; empty if the job has none.
        is_complete: Whether every result is present and belongs to this job.
    """

    arrival: JobArrival
    due_at: float
    late_s: float = 0.0
    response_s: float = 0.0
    outcome: str = NO_ANSWER
    kind: str = ""
    job_id: str = ""
    is_complete: bool = True

    @property
    def tasks(self) -> int:
        """Number of tasks of the job."""
        return len(self.arrival.run_s)


@dataclass(slots=True)
class IdPool:
    """A pool of job ids, requested from the entries in batches."""

    fleet: BenchFleet
    ids: deque[str] = field(default_factory=deque)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def acquire(self) -> str:
        """Returns an unused id, or an empty string if no entry issues any."""
        with self.lock:
            for entry in self.fleet.live_entries():
                if self.ids:
                    break
                try:
                    self.ids.extend(entry.caller.request_ids(SERVICE, IDS_PER_REQUEST))
                except (HTTPError, AssertionError):
                    continue
            return self.ids.popleft() if self.ids else ""


class Callers:
    """Sends each job to a random live entry.

    Attributes:
        calls: All calls sent so far.
        uses_ids_for_all: Whether single requests are also sent under a job id.
    """

    def __init__(self, fleet: BenchFleet, seed: int, uses_ids_for_all: bool) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.uses_ids_for_all = uses_ids_for_all
        self.id_pool = IdPool(fleet)
        self.calls: list[Call] = []

    def run(self, arrivals: list[JobArrival], start_at: float) -> None:
        """Sends all jobs at their due times and waits for their answers."""
        send_open_loop(arrivals, start_at, self.calls, self.send)

    def send(self, call: Call) -> None:
        """Sends one job and records its answer.

        A job with an id is sent again under this id, up to ``MAX_ATTEMPTS`` times in
        all, until its answer is final.
        """
        needs_id = self.uses_ids_for_all or len(call.arrival.run_s) > 1
        call.job_id = self.id_pool.acquire() if needs_id else ""
        payloads = [
            {"sleep_ms": run_s * 1000, "echo": index}
            for index, run_s in enumerate(call.arrival.run_s)
        ]
        idempotent = call.arrival.idempotent
        job = make_job(
            SERVICE, payloads, deadline_ms=DEADLINE_MS, idempotent=idempotent
        )
        for _ in range(MAX_ATTEMPTS if call.job_id else 1):
            entry = self.rng.choice(self.fleet.live_entries())
            try:
                if call.job_id:
                    reply = entry.caller.put_job(call.job_id, job)
                else:
                    reply = entry.caller.post_job(job)
            except HTTPError:
                time.sleep(RETRY_DELAY_S)
                continue
            record_reply(call, reply)
            if reply.body.get("final", True):
                return

    def cancel_running(self) -> int:
        """Cancels every unanswered job that has an id; returns the number of jobs."""
        running = [
            call for call in self.calls if call.job_id and call.outcome == NO_ANSWER
        ]
        with ThreadPoolExecutor(32) as threads:
            list(threads.map(self.cancel, running))
        return len(running)

    def cancel(self, call: Call) -> None:
        """Cancels a job through a random live entry; ignores a failed request."""
        try:
            self.rng.choice(self.fleet.live_entries()).caller.cancel_job(call.job_id)
        except HTTPError:
            return


def record_reply(call: Call, reply: Reply) -> None:
    """Records the outcome, the error kind and the job id of a reply in its call."""
    call.outcome = reply.outcome
    call.kind = reply.kind if reply.body.get("error") else ""
    call.job_id = str(reply.body.get("id") or call.job_id)
    if reply.outcome == "done":
        echoes = [result.get("echo") for result in reply.body["results"]]
        call.is_complete = echoes == list(range(len(call.arrival.run_s)))


def send_open_loop(
    arrivals: list[JobArrival],
    start_at: float,
    calls: list[Call],
    send: Callable[[Call], None],
) -> None:
    """Sends each job at its due time from a thread pool; waits for all answers."""

    def run_call(call: Call) -> None:
        call.late_s = time.monotonic() - call.due_at
        send(call)
        call.response_s = time.monotonic() - call.due_at

    with ThreadPoolExecutor(MAX_CALLER_THREADS) as threads:
        futures = []
        for arrival in arrivals:
            call = Call(arrival, start_at + arrival.at_s)
            time.sleep(max(0.0, call.due_at - time.monotonic()))
            calls.append(call)
            futures.append(threads.submit(run_call, call))
        wait(futures)
        for future in futures:
            future.result()
