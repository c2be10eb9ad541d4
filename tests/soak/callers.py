"""Callers who keep their connections open and ask again elsewhere without an answer."""

from __future__ import annotations

import random
import threading
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Self

import urllib3
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError


if TYPE_CHECKING:
    from tests.standins.platform_fleet import PlatformFleet


MAX_TASKS = 6
PAUSE_S = 0.2
# Without an answer a job is sent again after this time: the platform's bound
# ``retransmitMs``, on which the leases rest. After a refusal it may be any time.
RETRANSMIT_S = 1.3
REFUSED_PAUSE_S = 0.3
MAX_ATTEMPTS = 4
REFUSED = 503
DEADLINE_MS = 6000
# What a caller waits beyond the deadline that it has named.
PATIENCE_S = 2.0
MS_PER_S = 1000
CALLER_WAIT_S = DEADLINE_MS / MS_PER_S + PATIENCE_S


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request for a job; times are in seconds of the monotonic clock.

    Attributes:
        entry: Index of the entry.
        sent_at: When it was sent.
        ended_at: When its answer or its end came.
        status: The status of its answer; 0 without an answer.
        state: The job's state in the answer, if it has one.
        was_connected: Whether the request reached a connection at all.
    """

    entry: int
    sent_at: float
    ended_at: float
    status: int
    state: str = ""
    was_connected: bool = True


@dataclass(slots=True)
class SoakJob:
    """A job and what its caller was told."""

    job_id: str
    count: int
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def is_completed(self) -> bool:
        """Whether its caller was told that all its tasks are done."""
        return any(attempt.state == "completed" for attempt in self.attempts)

    @property
    def is_refused(self) -> bool:
        """Whether its caller was told each time that nothing runs."""
        return bool(self.attempts) and all(
            attempt.status == REFUSED or not attempt.was_connected
            for attempt in self.attempts
        )


class SoakCallers:
    """Threads that submit jobs until the context ends.

    Args:
        fleet: Where to.
        seed: Seed of the jobs' sizes, the entries and the pauses.
        callers: How many.
        run_s: Usual run time of a task, which the jobs estimate truly, in seconds.

    Attributes:
        jobs: All jobs so far.
    """

    def __init__(
        self, fleet: PlatformFleet, seed: int, callers: int, run_s: float
    ) -> None:
        self.fleet = fleet
        self.estimate_ms = round(MS_PER_S * run_s)
        self.jobs: list[SoakJob] = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._call, args=(seed, number), daemon=True)
            for number in range(callers)
        ]

    def __enter__(self) -> Self:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def count_completed(self, entry: int, since: float) -> int:
        """Returns how many jobs an entry has completed since a moment."""
        attempts = [attempt for job in list(self.jobs) for attempt in job.attempts]
        return sum(
            attempt.entry == entry
            and attempt.status == 200
            and attempt.sent_at >= since
            for attempt in attempts
        )

    def _call(self, seed: int, number: int) -> None:
        rng = random.Random(f"{seed}/{number}")
        calls = urllib3.PoolManager(retries=False, maxsize=1)
        turn = 0
        while not self.stopping.is_set():
            turn += 1
            job_id = f"{seed % 2**24:06x}{number:02x}{turn:08x}"
            job = SoakJob(job_id, rng.randint(1, MAX_TASKS))
            self.jobs.append(job)
            self._submit(job, rng, calls)
            self.stopping.wait(rng.uniform(0.0, PAUSE_S))

    def _submit(
        self, job: SoakJob, rng: random.Random, calls: urllib3.PoolManager
    ) -> None:
        for _ in range(MAX_ATTEMPTS):
            attempt = self._send(job, rng.randrange(len(self.fleet.entries)), calls)
            job.attempts.append(attempt)
            if attempt.status == 200 or self.stopping.is_set():
                return
            is_refused = attempt.status == REFUSED
            self.stopping.wait(REFUSED_PAUSE_S if is_refused else RETRANSMIT_S)

    def _send(self, job: SoakJob, entry: int, calls: urllib3.PoolManager) -> Attempt:
        status, state, was_connected = 0, "", True
        sent_at = time.monotonic()
        try:
            answer = self.fleet.submit(
                job.job_id,
                entry,
                job.count,
                timeout_s=CALLER_WAIT_S,
                estimate_ms=self.estimate_ms,
                deadline_ms=DEADLINE_MS,
                http=calls,
            )
            status = answer.status
            state = answer.json().get("state", "")
        except NewConnectionError:
            was_connected = False
        except HTTPError:
            pass
        ended_at = time.monotonic()
        return Attempt(entry, sent_at, ended_at, status, state, was_connected)
