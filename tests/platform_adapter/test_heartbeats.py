"""Tests of decoding heartbeats: valid, draining and malformed ones."""

from __future__ import annotations

import unittest

import msgspec

from jackdawkeel.http_messages import HttpRequest
from jackdawkeel.platform.heartbeats import decode_heartbeat
from jackdawkeel.platform.heartbeats import match_deregistration
from jackdawkeel.platform.heartbeats import match_heartbeat
from jackdawkeel.scheduling.resources import Resources


HEARTBEAT = {
    "service": "svc",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "version": "v1",
    "capacity": 8,
    "state": "ready",
    "room": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "sequence": 4,
    "born": 17,
}

MALFORMED_BODIES = {
    "no JSON": b"\xff\x00{",
    "a list": b"[1]",
    "an unknown state": msgspec.json.encode(HEARTBEAT | {"state": "resting"}),
    "no room": msgspec.json.encode(HEARTBEAT | {"room": None}),
    "room of another type": msgspec.json.encode(HEARTBEAT | {"room": {"cpu": "all"}}),
    "labels of another type": msgspec.json.encode(HEARTBEAT | {"labels": "a"}),
    "no service": msgspec.json.encode(
        {name: value for name, value in HEARTBEAT.items() if name != "service"}
    ),
}


class HeartbeatTest(unittest.TestCase):
    def test_decodes_a_heartbeat(self) -> None:
        report = decode_heartbeat("i-1", msgspec.json.encode(HEARTBEAT)).unwrap()
        self.assertEqual(report.instance, "i-1")
        self.assertEqual(report.capacity, Resources(16000, 32768))
        self.assertEqual((report.born_ms, report.sequence), (17, 4))
        self.assertFalse(report.is_draining)

    def test_decodes_a_draining_target(self) -> None:
        body = HEARTBEAT | {"state": "draining", "remainingMs": 1500, "news": 1}
        report = decode_heartbeat("i-1", msgspec.json.encode(body)).unwrap()
        self.assertTrue(report.is_draining)
        self.assertEqual(report.remaining_s, 1.5)

    def test_malformed_heartbeats_are_rejected(self) -> None:
        for name, body in MALFORMED_BODIES.items():
            with self.subTest(name):
                self.assertTrue(decode_heartbeat("i-1", body).is_err())

    def test_matches_only_post_requests_to_target_paths(self) -> None:
        heartbeat = HttpRequest("POST", "/-/instances/i-1/heartbeat", b"", None)
        deregistration = HttpRequest("POST", "/-/instances/i-1/deregister", b"", None)
        self.assertEqual(match_heartbeat(heartbeat), "i-1")
        self.assertEqual(match_deregistration(deregistration), "i-1")
        for path in ("/", "/-/instances//heartbeat", "/-/instances/a/b/heartbeat"):
            request = HttpRequest("POST", path, b"", None)
            self.assertIsNone(match_heartbeat(request))
        self.assertIsNone(
            match_heartbeat(HttpRequest("GET", heartbeat.path, b"", None))
        )
