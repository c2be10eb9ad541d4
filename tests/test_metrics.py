"""Tests of metrics and their export."""

from __future__ import annotations

import re
import unittest
from typing import TYPE_CHECKING

import msgspec

from jackdawkeel.metrics import DESCRIPTIONS
from jackdawkeel.metrics import CounterName
from jackdawkeel.metrics import GaugeName
from jackdawkeel.metrics import HistogramName
from jackdawkeel.metrics import LatencyHistogram
from jackdawkeel.metrics import Metrics
from jackdawkeel.metrics import MetricsReport


if TYPE_CHECKING:
    from enum import StrEnum


SAMPLE_LINE = re.compile(
    r"[a-z_][a-z0-9_]*"
    r'(\{[a-z_]+="(?:[^"\\\n]|\\["\\n])*"(,[a-z_]+="(?:[^"\\\n]|\\["\\n])*")*\})?'
    r" [0-9.e+-]+"
)
TWO_DIGITS = 0.01


class LatencyHistogramTest(unittest.TestCase):
    """Quantiles are accurate to two significant digits over the whole range."""

    def test_quantiles(self) -> None:
        histogram = LatencyHistogram()
        for milliseconds in range(1, 1001):
            histogram.record(milliseconds / 1000)
        quantiles = histogram.read_quantiles()
        expected = {"0.5": 0.5, "0.9": 0.9, "0.99": 0.99, "1": 1.0}
        self.assertEqual(quantiles.keys(), expected.keys())
        for name, seconds in expected.items():
            self.assertAlmostEqual(quantiles[name], seconds, delta=TWO_DIGITS * seconds)
        self.assertEqual(histogram.count, 1000)
        self.assertAlmostEqual(histogram.sum_s, 500.5)

    def test_latency_out_of_range_is_clamped(self) -> None:
        for seconds, nearest in [(-1.0, 1e-6), (0.0, 1e-6), (1e9, 3600.0)]:
            with self.subTest(seconds=seconds):
                histogram = LatencyHistogram()
                histogram.record(seconds)
                maximum = histogram.read_quantiles()["1"]
                self.assertAlmostEqual(maximum, nearest, delta=TWO_DIGITS * nearest)

    def test_no_quantiles_without_data(self) -> None:
        self.assertEqual(LatencyHistogram().read_quantiles(), {})


class MetricsTest(unittest.TestCase):
    """Both exports, text and JSON, have every value."""

    def setUp(self) -> None:
        self.metrics = Metrics({"process": "entry", "availability_zone": 'a"\\\n'})
        self.metrics.count(CounterName.ANSWERS, "done", 2)
        self.metrics.count(CounterName.ANSWERS, "done")
        self.metrics.count(CounterName.ANSWERS, "not_run")
        self.metrics.replace_counts(CounterName.MESSAGES_SENT, {"Heartbeat": 7})
        self.metrics.set_gauge(GaugeName.REQUESTS_IN_FLIGHT, 4)
        self.metrics.set_gauge(GaugeName.REQUESTS_IN_FLIGHT, 3)
        self.metrics.observe(HistogramName.REQUEST, 0.25, "PUT /v1/jobs")

    def test_text_has_every_value(self) -> None:
        text = self.metrics.render_text()
        for line in text.splitlines():
            if not line.startswith("#"):
                self.assertRegex(line, f"^{SAMPLE_LINE.pattern}$")
        common = r'process="entry",availability_zone="a\"\\\n"'
        name = "jackdawkeel_request_seconds"
        route = f'{common},route="PUT /v1/jobs"'
        for expected in [
            "# TYPE jackdawkeel_answers_total counter",
            f'jackdawkeel_answers_total{{{common},outcome="done"}} 3',
            f'jackdawkeel_answers_total{{{common},outcome="not_run"}} 1',
            f'jackdawkeel_messages_sent_total{{{common},type="Heartbeat"}} 7',
            f"jackdawkeel_requests_in_flight{{{common}}} 3",
            f"# TYPE {name} summary",
            f"{name}_sum{{{route}}} 0.25",
            f"{name}_count{{{route}}} 1",
        ]:
            self.assertIn(expected + "\n", text)
        for quantile in ("0.5", "0.9", "0.99", "1"):
            self.assertIn(f'{name}{{{route},quantile="{quantile}"}} 0.2', text)

    def test_json_equals_the_report(self) -> None:
        report = msgspec.json.decode(self.metrics.render_json(), type=MetricsReport)
        self.assertEqual(report, self.metrics.report())
        self.assertEqual(report.counters["answers"], {"done": 3, "not_run": 1})
        self.assertEqual(report.histograms["request_seconds"]["PUT /v1/jobs"].count, 1)

    def test_text_is_empty_without_metrics(self) -> None:
        self.assertEqual(Metrics().render_text(), "")

    def test_every_metric_has_a_description(self) -> None:
        names: set[StrEnum] = {*CounterName, *GaugeName, *HistogramName}
        self.assertEqual(set(DESCRIPTIONS), names)
