"""Predicts run times of tasks from observed runs and the callers' estimates."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..events import EventName
from ..policy.target_speed import MIN_KIND_WEIGHT
from ..policy.target_speed import MIN_QUEUE_WEIGHT
from ..policy.target_speed import LearntRatio
from ..policy.target_speed import clamp_factor
from ..policy.target_speed import clamp_ratio
from ..policy.target_speed import find_mean_log
from ..policy.target_speed import learn
from ..policy.target_speed import limit_deviation
from .target_quality import WINDOW_S


if TYPE_CHECKING:
    from ..clock import Clock
    from ..logs import EventLog


# Weight of a new run in the moving average of a queue.
SMOOTHING_FACTOR = 0.1
MAX_QUEUES = 10_000
# Kinds that are remembered for each service; an agent may report any label.
MAX_KINDS = 100
# Comparisons after which the factor of a kind is known well enough to compare its
# targets with those of other kinds, once agents no longer average runs that were sent
# before.
SETTLED_RUNS = 30
# A factor is logged when it has changed by this share since the last line, at most once
# in this time.
LOGGED_CHANGE = 0.1
LOG_INTERVAL_S = 1.0


@dataclass(slots=True)
class QueueRatio:
    """Ratio of observed to estimated run time of a queue's tasks.

    Attributes:
        average: Moving average, used for services with one kind of target.
        learnt: Typical ratio on the average target, less ``ServiceSpeeds.offset``; used
            for services with several kinds.
    """

    average: float = 1.0
    learnt: LearntRatio = field(default_factory=LearntRatio)


@dataclass(slots=True)
class KindFactor(LearntRatio):
    """Run-time factor of a kind of target.

    Attributes:
        settles_at: When its targets become comparable with those of other kinds, in
            seconds of the clock.
        logged: The factor in its last log line.
        logged_at: When that was, in seconds of the clock.
    """

    settles_at: float = math.inf
    logged: float = 1.0
    logged_at: float = -math.inf


@dataclass(slots=True)
class ServiceSpeeds:
    """Run-time factors of the kinds of a service's targets.

    Attributes:
        targets: Number of known targets by kind.
        has_kinds: Whether targets of several kinds were ever known at the same time.
        kinds: Learnt factors by kind; their mean over the targets is 1.
        offset: What normalising the factors has added to the ratios of all queues, as a
            logarithm.
    """

    targets: dict[str, int] = field(default_factory=dict)
    has_kinds: bool = False
    kinds: dict[str, KindFactor] = field(default_factory=dict)
    offset: float = 0.0

    def normalise(self) -> None:
        """Makes the mean factor 1, without a change of any expected run time."""
        shift = find_mean_log(self.kinds, self.targets)
        for kind in self.kinds.values():
            kind.log -= shift
        self.offset += shift

    def find_kind_factor(self, kind: str) -> KindFactor:
        """Returns the factor of a kind, which is added if it is not known."""
        known = self.kinds.get(kind)
        if known is None:
            known = self.kinds[kind] = KindFactor()
            if len(self.kinds) > MAX_KINDS:
                del self.kinds[next(iter(self.kinds))]
        return known


class RunTimes:
    """Expected run times of tasks, learnt from the ends of runs.

    A service whose targets are all of one kind has a moving average by queue. With
    several kinds, a run also teaches the ratio of its queue on the average target.
    Factors of kinds are learnt from tasks of one step that ran on different kinds:
    jobs whose estimate is too short are assigned to slow kinds more often, so a
    comparison of different jobs would find these kinds slower than they are.

    Attributes:
        services: Factors of kinds, by service.
        ratios: Ratios by service and queue.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self.clock = clock
        self.log = log
        self.services: dict[str, ServiceSpeeds] = {}
        self.ratios: dict[tuple[str, str], QueueRatio] = {}

    def set_targets(self, service: str, targets: dict[str, int]) -> None:
        """Sets the number of known targets of a service, by kind."""
        speeds = self.services.setdefault(service, ServiceSpeeds())
        if targets != speeds.targets:
            speeds.targets = targets
            speeds.has_kinds |= len(targets) > 1
            speeds.normalise()

    def record(
        self,
        service: str,
        queue: str,
        kind: str,
        run_ms: float,
        expected_ms: float,
        siblings: dict[str, list[float]],
    ) -> None:
        """Records a run that succeeded.

        Args:
            service: Service that ran it.
            queue: Queue of its job.
            kind: Kind of its target; empty if none.
            run_ms: Its run time in milliseconds.
            expected_ms: The caller's estimate in milliseconds, multiplied by the
                distance factor.
            siblings: Logarithms of the ratios of earlier runs of its step, by kind;
                this run is added.
        """
        # NaN, which would make the learnt values NaN for ever, is not valid either.
        is_valid = expected_ms > 0 and run_ms >= 0
        if not is_valid:
            return
        observed = clamp_ratio(run_ms / expected_ms)
        speeds = self.services.setdefault(service, ServiceSpeeds())
        ratio = self.ratios.get((service, queue))
        if ratio is None:
            ratio = QueueRatio(learnt=LearntRatio(-speeds.offset))
            self.ratios[service, queue] = ratio
            if len(self.ratios) > MAX_QUEUES:
                del self.ratios[next(iter(self.ratios))]
        ratio.average += SMOOTHING_FACTOR * (observed - ratio.average)
        known = speeds.kinds.get(kind)
        expected_log = speeds.offset + ratio.learnt.log
        if known is not None:
            expected_log += known.log
        observed_log = math.log(observed)
        deviation = limit_deviation(observed_log, expected_log)
        learn(ratio.learnt, deviation, MIN_QUEUE_WEIGHT)
        if kind and speeds.has_kinds:
            for other, logs in siblings.items():
                if other != kind:
                    difference = observed_log - sum(logs) / len(logs)
                    self._compare_kinds(service, kind, other, difference)
            siblings.setdefault(kind, []).append(observed_log)

    def _compare_kinds(
        self, service: str, kind: str, other: str, difference: float
    ) -> None:
        """Learns from two tasks of a step on different kinds.

        Args:
            service: Service that ran them.
            kind: Kind of the target of the one.
            other: Kind of the target of the other.
            difference: Logarithm of the ratio of their run times.
        """
        speeds = self.services[service]
        factor = speeds.find_kind_factor(kind)
        other_factor = speeds.find_kind_factor(other)
        deviation = limit_deviation(difference, factor.log - other_factor.log)
        learn(factor, deviation / 2, MIN_KIND_WEIGHT)
        learn(other_factor, -deviation / 2, MIN_KIND_WEIGHT)
        speeds.normalise()
        for name, known in ((kind, factor), (other, other_factor)):
            if known.runs == SETTLED_RUNS:
                known.settles_at = self.clock() + WINDOW_S
            self._log_change(service, name, known)

    def scale_estimate(self, service: str, queue: str, estimate: float) -> float:
        """Returns the expected time on an average target near the data.

        Args:
            service: Service that runs the task.
            queue: Queue of its job.
            estimate: The caller's estimate, in any unit.

        Returns:
            The expected time, in the unit of the estimate.
        """
        ratio = self.ratios.get((service, queue))
        if ratio is None:
            return estimate
        speeds = self.services[service]
        if not speeds.has_kinds:
            return estimate * ratio.average
        return estimate * clamp_ratio(math.exp(ratio.learnt.log + speeds.offset))

    def find_factor(self, service: str, kind: str) -> float:
        """Returns the run-time factor of a kind, 1 on average over the targets."""
        speeds = self.services.get(service)
        known = None if speeds is None else speeds.kinds.get(kind)
        return 1.0 if known is None else clamp_factor(known.log)

    def is_settled(self, service: str, kind: str) -> bool:
        """Returns whether run times of a kind are comparable with those of others."""
        speeds = self.services.get(service)
        if speeds is None or not speeds.has_kinds or not kind:
            return True
        known = speeds.kinds.get(kind)
        return known is not None and self.clock() >= known.settles_at

    def _log_change(self, service: str, kind: str, known: KindFactor) -> None:
        now = self.clock()
        if now < known.logged_at + LOG_INTERVAL_S:
            return
        factor = self.find_factor(service, kind)
        if abs(factor / known.logged - 1) <= LOGGED_CHANGE:
            return
        self.log.record(
            EventName.RUN_TIME_FACTOR_CHANGED,
            service=service,
            kind=kind,
            factor=round(factor, 3),
            previous=round(known.logged, 3),
            runs=known.runs,
            targets=self.services[service].targets.get(kind, 0),
        )
        known.logged = factor
        known.logged_at = now
