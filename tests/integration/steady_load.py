"""Callers that submit jobs continuously and resubmit those without a final answer."""

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


RETRY_PAUSE_S = 0.05
MAX_SUBMISSIONS = 200


@dataclass(slots=True)
class SubmittedJob:
    """A job and the answers that its caller received.

    Attributes:
        job_id: Id of the job.
        payloads: Payloads of the tasks of the job.
        replies: All answers in the order of arrival.
        answered_at: When the last answer arrived, in seconds of the monotonic clock.
        lost_requests: Number of requests that failed or timed out before an answer,
            without those that found no listener.
    """

    job_id: str
    payloads: list[dict[str, Any]]
    replies: list[Reply] = field(default_factory=list)
    answered_at: float = 0.0
    lost_requests: int = 0

    @property
    def has_final_answer(self) -> bool:
        """Whether the last answer is final."""
        return bool(self.replies) and bool(self.replies[-1].body["final"])


class SteadyLoad:
    """Callers in threads, each with its own seed and one job at a time.

    Attributes:
        jobs: All jobs submitted so far.
        excluded_entries: Entries that receive no requests, as if a load balancer had
            removed them.
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
        self.excluded_entries: list[EntryProcess] = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._run_caller, args=(random.Random(seed + n),))
            for n in range(callers)
        ]

    def __enter__(self) -> Self:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stops once each caller has a final answer to its current job."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def count_outcomes(self) -> Counter[str]:
        """Returns the number of jobs by outcome or kind of error of the last answer."""
        return Counter(
            job.replies[-1].kind_or_outcome for job in self.jobs if job.replies
        )

    def count_done_tasks_since(self, moment: float) -> int:
        """Returns the number of tasks of the jobs that were done after a moment."""
        done = [
            len(job.payloads)
            for job in list(self.jobs)
            if job.answered_at > moment and job.replies[-1].outcome == "done"
        ]
        return sum(done)

    def wait_for_done_job(self, timeout_s: float = 10.0) -> None:
        """Waits until a job is done after the start of the wait."""
        since = time.monotonic()
        self.fleet.wait_until(
            lambda: self.count_done_tasks_since(since) > 0,
            "a job to be done",
            timeout_s,
        )

    def _run_caller(self, generator: random.Random) -> None:
        callers = {
            entry.host: Caller(
                entry.caller.url, keep_alive=False, timeout_s=self.timeout_s
            )
            for entry in self.fleet.entries
        }
        while not self.stopping.is_set():
            try:
                job_ids = self._choose_caller(callers, generator).request_ids(
                    SERVICE, 1
                )
            except (HTTPError, AssertionError):
                time.sleep(RETRY_PAUSE_S)
                continue
            payloads = make_payloads(self.tasks, **self.fields)
            job = SubmittedJob(job_ids[0], payloads)
            self.jobs.append(job)
            self._submit_until_final(job, callers, generator)

    def _submit_until_final(
        self, job: SubmittedJob, callers: dict[str, Caller], generator: random.Random
    ) -> None:
        body = make_job(SERVICE, job.payloads)
        for _ in range(MAX_SUBMISSIONS):
            try:
                reply = self._choose_caller(callers, generator).put_job(
                    job.job_id, body
                )
            except NewConnectionError:
                time.sleep(RETRY_PAUSE_S)
                continue
            except HTTPError:
                job.lost_requests += 1
                continue
            job.answered_at = time.monotonic()
            job.replies.append(reply)
            if job.has_final_answer:
                return
            time.sleep(RETRY_PAUSE_S)

    def _choose_caller(
        self, callers: dict[str, Caller], generator: random.Random
    ) -> Caller:
        entries = [
            entry for entry in self.fleet.entries if entry not in self.excluded_entries
        ]
        return callers[generator.choice(entries).host]
