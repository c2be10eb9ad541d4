"""Counters, gauges and latency histograms of one process, and their export."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
from hdrh.histogram import HdrHistogram


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping


MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
QUANTILES = {"0.5": 50.0, "0.9": 90.0, "0.99": 99.0}
MAXIMUM_QUANTILE = "1"
PREFIX = "jackdawkeel_"


class CounterName(StrEnum):
    """Every counter; ``DESCRIPTIONS`` has its help text and label name."""

    HTTP_REQUESTS = "http_requests"
    ANSWERS = "answers"
    CLIENT_REFUSALS = "client_refusals"
    MESSAGES_SENT = "messages_sent"
    MESSAGES_RECEIVED = "messages_received"
    MESSAGES_DROPPED = "messages_dropped"
    ENVELOPES_SENT = "envelopes_sent"
    ENVELOPES_RECEIVED = "envelopes_received"
    STORE_CALLS = "store_calls"
    TASKS = "tasks"
    TASK_STOPS = "task_stops"
    TASKS_HELD = "tasks_held"
    JOBS_IN_TIME = "jobs_in_time"
    JOBS_LATE = "jobs_late"
    JOBS_REFUSED = "jobs_refused"
    JOBS_GIVEN_UP = "jobs_given_up"
    PROMISES_KEPT = "promises_kept"
    PROMISES_BROKEN = "promises_broken"


class GaugeName(StrEnum):
    """Every gauge."""

    AGENTS = "agents"
    ENTRIES = "entries"
    JOBS = "jobs"
    REQUESTS_IN_FLIGHT = "requests_in_flight"
    CONFIGURATION_REVISION = "configuration_revision"


class HistogramName(StrEnum):
    """Every latency histogram."""

    REQUEST = "request_seconds"
    JOB = "job_seconds"
    STORE_CALL = "store_call_seconds"


@dataclass(frozen=True, slots=True)
class Description:
    """Help text and label name of a metric.

    Attributes:
        help: One line that the text export prints as HELP.
        label: Name of the label that distinguishes its values.
    """

    help: str
    label: str


DESCRIPTIONS: dict[StrEnum, Description] = {
    CounterName.HTTP_REQUESTS: Description("Requests of callers.", "route"),
    CounterName.ANSWERS: Description("Answers to callers.", "outcome"),
    CounterName.CLIENT_REFUSALS: Description("Messages and connections.", "cause"),
    CounterName.MESSAGES_SENT: Description("Messages sent to processes.", "type"),
    CounterName.MESSAGES_RECEIVED: Description("Messages from processes.", "type"),
    CounterName.MESSAGES_DROPPED: Description("Messages dropped.", "reason"),
    CounterName.ENVELOPES_SENT: Description("Envelopes sent over links.", "link"),
    CounterName.ENVELOPES_RECEIVED: Description("Envelopes from links.", "link"),
    CounterName.STORE_CALLS: Description("Calls to the store.", "call"),
    CounterName.TASKS: Description("Tasks that ended.", "state"),
    CounterName.TASK_STOPS: Description("Runs that an agent stopped.", "cause"),
    CounterName.TASKS_HELD: Description("Tasks held for a fast target.", "queue"),
    CounterName.JOBS_IN_TIME: Description("Jobs answered in time.", "queue"),
    CounterName.JOBS_LATE: Description("Jobs answered late.", "queue"),
    CounterName.JOBS_REFUSED: Description("Jobs refused.", "queue_and_reason"),
    CounterName.JOBS_GIVEN_UP: Description("Jobs that crash targets.", "queue"),
    CounterName.PROMISES_KEPT: Description("Predicted in time, and were.", "queue"),
    CounterName.PROMISES_BROKEN: Description("Predicted in time, not so.", "queue"),
    GaugeName.AGENTS: Description("Agents that are heard.", "state"),
    GaugeName.ENTRIES: Description("Entries that are heard.", "state"),
    GaugeName.JOBS: Description("Jobs that have not ended.", "state"),
    GaugeName.REQUESTS_IN_FLIGHT: Description("Requests not yet answered.", "route"),
    GaugeName.CONFIGURATION_REVISION: Description("Revision in force.", "scope"),
    HistogramName.REQUEST: Description("Time to answer a request.", "route"),
    HistogramName.JOB: Description("Time from request to answer.", "service"),
    HistogramName.STORE_CALL: Description("Time of a call to the store.", "call"),
}


class LatencyHistogram:
    """Histogram of latencies from 1 µs to 1 hour, with two significant digits.

    Attributes:
        count: Number of latencies recorded.
        sum_s: Sum of the latencies, in seconds.
    """

    def __init__(self) -> None:
        self.count = 0
        self.sum_s = 0.0
        self._histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def record(self, seconds: float) -> None:
        """Records a latency in seconds, clamped to the range of the histogram."""
        microseconds = round(max(0.0, seconds) * US_PER_S)
        self._histogram.record_value(
            min(max(MIN_LATENCY_US, microseconds), MAX_LATENCY_US)
        )
        self.count += 1
        self.sum_s += max(0.0, seconds)

    def read_quantiles(self) -> dict[str, float]:
        """Returns median, 0.9, 0.99 and maximum in seconds, or nothing without data."""
        if not self.count:
            return {}
        read = self._histogram.get_value_at_percentile
        quantiles = {name: read(rank) / US_PER_S for name, rank in QUANTILES.items()}
        quantiles[MAXIMUM_QUANTILE] = self._histogram.get_max_value() / US_PER_S
        return quantiles


class HistogramReport(msgspec.Struct, frozen=True):
    """A latency histogram in the JSON export; times in seconds."""

    count: int
    sum: float
    quantiles: dict[str, float]


class MetricsReport(msgspec.Struct, frozen=True):
    """The JSON export: all metrics of a process by name and label value."""

    labels: dict[str, str]
    counters: dict[str, dict[str, int]]
    gauges: dict[str, dict[str, float]]
    histograms: dict[str, dict[str, HistogramReport]]


@dataclass(slots=True)
class Metrics:
    """The metrics of one process; used only on the thread of its event loop.

    Attributes:
        labels: Labels of all metrics, such as the availability zone.
        counters: Counts by counter and label value.
        gauges: Values by gauge and label value.
        histograms: Latency histograms by name and label value.
    """

    labels: dict[str, str] = field(default_factory=dict)
    counters: dict[CounterName, Counter[str]] = field(default_factory=dict)
    gauges: dict[GaugeName, dict[str, float]] = field(default_factory=dict)
    histograms: dict[HistogramName, dict[str, LatencyHistogram]] = field(
        default_factory=dict
    )

    def count(self, name: CounterName, label: str = "", amount: int = 1) -> None:
        """Adds to a counter."""
        self.counters.setdefault(name, Counter())[label] += amount

    def replace_counts(self, name: CounterName, counts: Mapping[str, int]) -> None:
        """Sets a counter to values that another component counts."""
        self.counters[name] = Counter(counts)

    def set_gauge(self, name: GaugeName, value: float, label: str = "") -> None:
        """Sets a gauge."""
        self.gauges.setdefault(name, {})[label] = value

    def observe(self, name: HistogramName, seconds: float, label: str = "") -> None:
        """Records a latency in seconds."""
        by_label = self.histograms.setdefault(name, {})
        histogram = by_label.get(label)
        if histogram is None:
            histogram = by_label[label] = LatencyHistogram()
        histogram.record(seconds)

    def report(self) -> MetricsReport:
        """Returns the current values of all metrics."""
        histograms = {
            name.value: {
                label: _report_histogram(item) for label, item in items.items()
            }
            for name, items in self.histograms.items()
        }
        return MetricsReport(
            labels=dict(self.labels),
            counters={name.value: dict(item) for name, item in self.counters.items()},
            gauges={name.value: dict(item) for name, item in self.gauges.items()},
            histograms=histograms,
        )

    def render_json(self) -> bytes:
        """Returns all metrics as JSON."""
        return msgspec.json.encode(self.report())

    def render_text(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        lines: list[str] = []
        for counter, counts in sorted(self.counters.items()):
            lines += self._render_values(counter, "counter", "_total", counts)
        for gauge, values in sorted(self.gauges.items()):
            lines += self._render_values(gauge, "gauge", "", values)
        for name, histograms in sorted(self.histograms.items()):
            lines += _render_header(name, "summary", "")
            for label, histogram in sorted(histograms.items()):
                lines += self._render_histogram(name, label, histogram)
        return "".join(f"{line}\n" for line in lines)

    def _render_values(
        self, name: StrEnum, kind: str, suffix: str, values: Mapping[str, float]
    ) -> Iterator[str]:
        yield from _render_header(name, kind, suffix)
        for label, value in sorted(values.items()):
            labels = _render_labels(self._name_labels(name, label))
            yield f"{PREFIX}{name.value}{suffix}{labels} {value}"

    def _render_histogram(
        self, name: HistogramName, label: str, histogram: LatencyHistogram
    ) -> Iterator[str]:
        labels = self._name_labels(name, label)
        for quantile, seconds in histogram.read_quantiles().items():
            text = _render_labels(labels | {"quantile": quantile})
            yield f"{PREFIX}{name.value}{text} {seconds}"
        text = _render_labels(labels)
        yield f"{PREFIX}{name.value}_sum{text} {histogram.sum_s}"
        yield f"{PREFIX}{name.value}_count{text} {histogram.count}"

    def _name_labels(self, name: StrEnum, label: str) -> dict[str, str]:
        own = {DESCRIPTIONS[name].label: label} if label else {}
        return self.labels | own


def _report_histogram(histogram: LatencyHistogram) -> HistogramReport:
    return HistogramReport(histogram.count, histogram.sum_s, histogram.read_quantiles())


def _render_header(name: StrEnum, kind: str, suffix: str) -> list[str]:
    full_name = f"{PREFIX}{name.value}{suffix}"
    return [
        f"# HELP {full_name} {DESCRIPTIONS[name].help}",
        f"# TYPE {full_name} {kind}",
    ]


def _render_labels(labels: Mapping[str, str]) -> str:
    if not labels:
        return ""
    pairs = [f'{name}="{_escape_label(text)}"' for name, text in labels.items()]
    return "{" + ",".join(pairs) + "}"


def _escape_label(text: str) -> str:
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
