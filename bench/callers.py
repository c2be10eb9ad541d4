"""Open-loop callers: each job is sent when it is due, whatever came before."""

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


THREADS = 600
IDS_AT_ONCE = 20
MAX_SENDS = 4
RESEND_AFTER_S = 0.1
DEADLINE_MS = 30_000
NO_ANSWER = "no_answer"


@dataclass(slots=True)
class Call:
    """One job that a caller sent, and its answer.

    Attributes:
        arrival: The job.
        due_at: When it was due, in seconds of the monotonic clock.
        late_s: How much later the tool sent it.
        response_s: Time from when it was due to the answer.
        outcome: The outcome, or ``no_answer``.
        kind: The kind of the error, or empty.
        job_id: The job id, or empty.
        whole: Whether the results are all there and are this job's own.
    """

    arrival: JobArrival
    due_at: float
    late_s: float = 0.0
    response_s: float = 0.0
    outcome: str = NO_ANSWER
    kind: str = ""
    job_id: str = ""
    whole: bool = True

    @property
    def tasks(self) -> int:
        """Tasks of the job."""
        return len(self.arrival.run_s)


@dataclass(slots=True)
class IdPool:
    """Job ids taken in advance, a few at a time."""

    fleet: BenchFleet
    ids: deque[str] = field(default_factory=deque)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def take(self) -> str:
        """Returns an unused id."""
        with self.lock:
            for entry in self.fleet.live_entries():
                if self.ids:
                    break
                try:
                    self.ids.extend(entry.caller.request_ids(SERVICE, IDS_AT_ONCE))
                except (HTTPError, AssertionError):
                    continue
            return self.ids.popleft() if self.ids else ""


class Callers:
    """Sends jobs to the entries in turn.

    Attributes:
        calls: All calls so far.
        ids_for_all: Whether single requests go under an id too.
    """

    def __init__(self, fleet: BenchFleet, seed: int, ids_for_all: bool) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.ids_for_all = ids_for_all
        self.pool = IdPool(fleet)
        self.calls: list[Call] = []

    def run(self, arrivals: list[JobArrival], start_at: float) -> None:
        """Sends all jobs and waits for their answers."""
        send_open_loop(arrivals, start_at, self.calls, self.send)

    def send(self, call: Call) -> None:
        """Sends one job, again under the same id if no answer came."""
        needs_id = self.ids_for_all or len(call.arrival.run_s) > 1
        call.job_id = self.pool.take() if needs_id else ""
        payloads = [
            {"sleep_ms": run_s * 1000, "echo": index}
            for index, run_s in enumerate(call.arrival.run_s)
        ]
        idempotent = call.arrival.idempotent
        job = make_job(
            SERVICE, payloads, deadline_ms=DEADLINE_MS, idempotent=idempotent
        )
        for _ in range(MAX_SENDS if call.job_id else 1):
            entry = self.rng.choice(self.fleet.live_entries())
            try:
                if call.job_id:
                    reply = entry.caller.put_job(call.job_id, job)
                else:
                    reply = entry.caller.post_job(job)
            except HTTPError:
                time.sleep(RESEND_AFTER_S)
                continue
            take_reply(call, reply)
            if reply.body.get("final", True):
                return

    def cancel_running(self) -> int:
        """Cancels every job that has an id and no answer; returns how many."""
        running = [
            call for call in self.calls if call.job_id and call.outcome == NO_ANSWER
        ]
        with ThreadPoolExecutor(32) as threads:
            list(threads.map(self.cancel, running))
        return len(running)

    def cancel(self, call: Call) -> None:
        """Cancels a job."""
        try:
            self.rng.choice(self.fleet.live_entries()).caller.cancel_job(call.job_id)
        except HTTPError:
            return


def take_reply(call: Call, reply: Reply) -> None:
    """Takes an answer in."""
    call.outcome = reply.outcome
    call.kind = reply.kind if reply.body.get("error") else ""
    call.job_id = str(reply.body.get("id") or call.job_id)
    if reply.outcome == "done":
        echoes = [result.get("echo") for result in reply.body["results"]]
        call.whole = echoes == list(range(len(call.arrival.run_s)))


def send_open_loop(
    arrivals: list[JobArrival],
    start_at: float,
    calls: list[Call],
    send: Callable[[Call], None],
) -> None:
    """Sends each job when it is due on a thread of its own and waits for all."""

    def answer(call: Call) -> None:
        call.late_s = time.monotonic() - call.due_at
        send(call)
        call.response_s = time.monotonic() - call.due_at

    with ThreadPoolExecutor(THREADS) as threads:
        futures = []
        for arrival in arrivals:
            call = Call(arrival, start_at + arrival.at_s)
            time.sleep(max(0.0, call.due_at - time.monotonic()))
            calls.append(call)
            futures.append(threads.submit(answer, call))
        wait(futures)
        for future in futures:
            future.result()
