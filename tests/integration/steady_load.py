"""Callers who submit jobs all the time and resubmit what they believe lost."""

from __future__ import annotations

import random
import threading
import time
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import Self

from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError

from tests.integration.fleet_test_case import make_payloads
from tests.standins.caller import TIMEOUT_S
from tests.standins.caller import Caller
from tests.standins.caller import Reply
from tests.standins.caller import make_job
from tests.standins.fleet import SERVICE


if TYPE_CHECKING:
    from tests.standins.fleet import EntryProcess
    from tests.standins.fleet import Fleet


PAUSE_S = 0.05
MAX_SUBMISSIONS = 200


@dataclass(slots=True)
class SubmittedJob:
    """A job and all that its caller was told.

    Attributes:
        job_id: Its id.
        payloads: The payloads of its tasks.
        replies: All answers, in order.
        answered_at: When the last answer came, in seconds of the monotonic clock.
        cut_off: How many requests lost their connection.
    """

    job_id: str
    payloads: list[dict[str, Any]]
    replies: list[Reply] = field(default_factory=list)
    answered_at: float = 0.0
    cut_off: int = 0

    @property
    def is_settled(self) -> bool:
        """Whether the caller has a final answer."""
        return bool(self.replies) and bool(self.replies[-1].body["final"])


class SteadyLoad:
    """Callers in threads; each has one job at a time and a seed of its own.

    Attributes:
        jobs: Every job so far.
        avoided: Entries that a balancer would have taken out.
    """

    def __init__(
        self,
        fleet: Fleet,
        callers: int = 6,
        tasks: int = 24,
        seed: int = 1,
        timeout_s: float = TIMEOUT_S,
        **fields: Any,
    ) -> None:
        self.fleet = fleet
        self.tasks = tasks
        self.timeout_s = timeout_s
        self.fields = {"sleep_ms": 50, **fields}
        self.jobs: list[SubmittedJob] = []
        self.avoided: list[EntryProcess] = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._call_forever, args=(random.Random(seed + n),))
            for n in range(callers)
        ]

    def __enter__(self) -> Self:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stops when each caller has a final answer to its job."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def count_outcomes(self) -> Counter[str]:
        """Returns how many jobs ended with each outcome or kind of error."""
        return Counter(
            job.replies[-1].kind_or_outcome for job in self.jobs if job.replies
        )

    def count_done_since(self, moment: float) -> int:
        """Returns the number of tasks of jobs that were done after a moment."""
        done = [
            len(job.payloads)
            for job in list(self.jobs)
            if job.answered_at > moment and job.replies[-1].outcome == "done"
        ]
        return sum(done)

    def wait_for_work(self, timeout_s: float = 10.0) -> None:
        """Waits until a job is done from now on."""
        since = time.monotonic()
        self.fleet.wait_until(
            lambda: self.count_done_since(since) > 0, "a job to be done", timeout_s
        )

    def _call_forever(self, generator: random.Random) -> None:
        callers = {
            entry.host: Caller(
                entry.caller.url, keep_alive=False, timeout_s=self.timeout_s
            )
            for entry in self.fleet.entries
        }
        while not self.stopping.is_set():
            try:
                job_ids = self._choose(callers, generator).request_ids(SERVICE, 1)
            except (HTTPError, AssertionError):
                time.sleep(PAUSE_S)
                continue
            payloads = make_payloads(self.tasks, **self.fields)
            job = SubmittedJob(job_ids[0], payloads)
            self.jobs.append(job)
            self._submit_until_settled(job, callers, generator)

    def _submit_until_settled(
        self, job: SubmittedJob, callers: dict[str, Caller], generator: random.Random
    ) -> None:
        body = make_job(SERVICE, job.payloads)
        for _ in range(MAX_SUBMISSIONS):
            try:
                reply = self._choose(callers, generator).put_job(job.job_id, body)
            except NewConnectionError:
                time.sleep(PAUSE_S)
                continue
            except HTTPError:
                job.cut_off += 1
                continue
            job.answered_at = time.monotonic()
            job.replies.append(reply)
            if job.is_settled:
                return
            time.sleep(PAUSE_S)

    def _choose(self, callers: dict[str, Caller], generator: random.Random) -> Caller:
        entries = [entry for entry in self.fleet.entries if entry not in self.avoided]
        return callers[generator.choice(entries).host]
