"""Crashes of targets, and the tasks that ran on them, as a process knows them.

Agents and entries exchange their records with their reports and beats, each of them
until it is acknowledged. So the crashes that count against a task outlast the entry
that assigned it and the agent that saw them, and are known to the next entry through
which its caller submits the job.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import msgspec

from ..messages.scheduling import CrashedRun
from ..messages.scheduling import CrashExchange
from ..messages.scheduling import CrashState
from ..messages.scheduling import TargetCrash
from ..policy.confinement import CONFINEMENT_S
from ..policy.crash_blame import CrashCounts


if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..clock import Clock
    from ..logs import EventLog
    from ..policy.crash_blame import RunAtCrash


# Longer than callers wait for a job and submit it again.
RECORD_LIFETIME_S = 60.0
EXPIRY_INTERVAL_S = 1.0
# The oldest records are evicted beyond this number.
MAX_RECORDS = 500
# Records in one message. An entry that starts gets them from all of its agents.
MAX_SENT_RECORDS = 10
MS_PER_S = 1000

# Incarnation of the target's agent, and number of the crash at that agent.
CrashKey = tuple[str, int]


@dataclass(slots=True)
class CrashRecord:
    """A crash, as a process knows it.

    Attributes:
        crash: What is known about it.
        crashed_at: When it was noticed, in seconds of the process's clock.
        number: Grows with each change of any record; peers acknowledge by it.
        source: Incarnation of the process that the last change came from; empty for
            the process itself.
    """

    crash: TargetCrash
    crashed_at: float
    number: int
    source: str


@dataclass(slots=True)
class ExchangeProgress:
    """How far a process has exchanged its records with one peer.

    Attributes:
        sent_through: Number through which the peer has acknowledged the records.
        received_through: Number of the peer's records through which this process has
            received them.
    """

    sent_through: int = 0
    received_through: int = 0


@dataclass(slots=True)
class CrashRecords:
    """The recent crashes of targets.

    Attributes:
        clock: Clock in seconds.
        log: Event log; its incarnation identifies the process.
        records: The records, oldest change first.
        counts: Crashes by task.
        crashing_queues: When a task that certainly crashes targets last did, by queue.
        through: Number of the last change.
        next_expiry_at: When expired records are dropped next, in seconds of the clock.
    """

    clock: Clock
    log: EventLog
    records: dict[CrashKey, CrashRecord] = field(default_factory=dict)
    counts: dict[str, CrashCounts] = field(default_factory=dict)
    crashing_queues: dict[str, float] = field(default_factory=dict)
    through: int = 0
    next_expiry_at: float = 0.0

    def find(self, task: str) -> CrashCounts | None:
        """Returns the crashes that ended runs of a task, or None."""
        return self.counts.get(task)

    def must_give_up(self, task: str) -> bool:
        """Returns whether a task must not start again."""
        counts = self.counts.get(task)
        return counts is not None and counts.must_give_up()

    def trial_s(self, task: str) -> float:
        """Returns how long the next run of a task is on trial, in seconds."""
        counts = self.counts.get(task)
        return 0.0 if counts is None else counts.trial_s

    def confined_queues(self) -> frozenset[str]:
        """Returns the queues whose tasks have recently crashed targets."""
        since = self.clock() - CONFINEMENT_S
        return frozenset(
            queue for queue, at in self.crashing_queues.items() if at >= since
        )

    def record(
        self,
        number: int,
        crashed_at: float,
        state: CrashState,
        runs: Iterable[RunAtCrash],
        suspects: Iterable[RunAtCrash],
    ) -> None:
        """Records a crash of this agent's target.

        Args:
            number: Number of the crash; no other crash of the agent has it.
            crashed_at: When it was noticed, in seconds of the clock.
            state: How certain it is.
            runs: All runs that may have been at work on it.
            suspects: Those of them that may have caused it.
        """
        suspected = {run.task for run in suspects}
        crash = TargetCrash(
            self.log.incarnation,
            number,
            state,
            round(MS_PER_S * (self.clock() - crashed_at)),
            [
                CrashedRun(
                    run.task,
                    run.queue,
                    round(MS_PER_S * run.age_s),
                    run.task in suspected,
                    run.is_confirmed,
                )
                for run in runs
            ],
        )
        self.merge([crash], source="")

    def change_state(self, number: int, state: CrashState) -> bool:
        """Confirms or withdraws a crash of this agent's target.

        Returns:
            Whether the state has changed.
        """
        record = self.records.get((self.log.incarnation, number))
        if record is None:
            return False
        age_s = self.clock() - record.crashed_at
        return self.merge([_with_state(record.crash, state, age_s)], source="")

    def merge(self, crashes: Iterable[TargetCrash], source: str) -> bool:
        """Adds what a process knows and returns whether anything is new.

        Args:
            crashes: Its records.
            source: Incarnation of that process; empty for this one.
        """
        now = self.clock()
        is_changed = False
        for crash in crashes:
            crashed_at = now - crash.age_ms / MS_PER_S
            key = (crash.agent, crash.number)
            known = self.records.get(key)
            if known is not None and known.crash.state >= crash.state:
                continue
            if crashed_at + RECORD_LIFETIME_S <= now:
                continue
            self.through += 1
            self.records.pop(key, None)
            self.records[key] = CrashRecord(crash, crashed_at, self.through, source)
            is_changed = True
        if is_changed:
            self._evict(now)
            self._count()
        return is_changed

    def drop_expired(self) -> None:
        """Drops the records that are older than ``RECORD_LIFETIME_S``."""
        now = self.clock()
        if now < self.next_expiry_at or not self.records:
            return
        self.next_expiry_at = now + EXPIRY_INTERVAL_S
        if self._evict(now):
            self._count()

    def collect(self, progress: ExchangeProgress, peer: str) -> CrashExchange | None:
        """Returns what to send to a peer, or None if nothing has changed for it.

        Args:
            progress: How far records were exchanged with the peer.
            peer: Its incarnation; it does not get its own records back.
        """
        if progress.sent_through >= self.through and not progress.received_through:
            return None
        now = self.clock()
        unsent = [
            record
            for record in self.records.values()
            if record.number > progress.sent_through and record.source != peer
        ]
        sent = unsent[:MAX_SENT_RECORDS]
        through = self.through if len(sent) == len(unsent) else sent[-1].number
        crashes = [
            _with_state(record.crash, record.crash.state, now - record.crashed_at)
            for record in sent
        ]
        return CrashExchange(crashes, through, progress.received_through)

    def receive(
        self, exchange: CrashExchange | None, progress: ExchangeProgress, peer: str
    ) -> bool:
        """Adds the records of a peer and returns whether anything is new.

        Args:
            exchange: What the peer has sent.
            progress: How far records were exchanged with the peer; updated.
            peer: Its incarnation.
        """
        if exchange is None:
            return False
        progress.sent_through = max(progress.sent_through, exchange.received_through)
        progress.received_through = max(progress.received_through, exchange.through)
        return self.merge(exchange.crashes, peer)

    def _evict(self, now: float) -> bool:
        expired = [
            key
            for key, record in self.records.items()
            if record.crashed_at + RECORD_LIFETIME_S <= now
        ]
        excess = len(self.records) - len(expired) - MAX_RECORDS
        if excess > 0:
            kept = [key for key in self.records if key not in expired]
            expired += kept[:excess]
        for key in expired:
            del self.records[key]
        return bool(expired)

    def _count(self) -> None:
        self.counts = {}
        for record in self.records.values():
            crash = record.crash
            if crash.state == CrashState.WITHDRAWN:
                continue
            is_certain = crash.state == CrashState.CONFIRMED
            for run in crash.runs:
                counts = self.counts.setdefault(run.task, CrashCounts())
                counts.total += is_certain
                if not run.is_suspect:
                    continue
                age_s = run.age_ms / MS_PER_S
                counts.oldest_s = max(age_s, counts.oldest_s or 0.0)
                if is_certain and run.is_confirmed:
                    counts.blamed += 1
                    counts.blamed_ages_s.append(age_s)
        self._find_crashing_queues()

    def _find_crashing_queues(self) -> None:
        self.crashing_queues = {}
        for record in self.records.values():
            if record.crash.state != CrashState.CONFIRMED:
                continue
            for run in record.crash.runs:
                if run.is_suspect and self.counts[run.task].is_certain():
                    last_at = self.crashing_queues.get(run.queue, 0.0)
                    at = max(last_at, record.crashed_at)
                    self.crashing_queues[run.queue] = at


def _with_state(crash: TargetCrash, state: int, age_s: float) -> TargetCrash:
    return msgspec.structs.replace(
        crash, state=state, age_ms=round(MS_PER_S * max(0.0, age_s))
    )
