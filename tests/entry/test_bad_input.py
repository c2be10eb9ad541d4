"""Tests that invalid requests are refused and start no task.

Each must be answered with an HTTP status, an error kind and a one-line message.
"""

from __future__ import annotations

import json
from typing import Any

from jackdawkeel.job_request import MAX_BODY_BYTES
from jackdawkeel.job_request import MAX_TASKS
from tests.integration.fleet_test_case import FleetTestCase
from tests.standins.fleet import SERVICE


TASK = {"payload": {"echo": 1}}
JOB: dict[str, Any] = {"service": SERVICE, "tasks": [TASK]}
JOBS = "/v1/jobs"
CASES: list[tuple[str, str, bytes | dict[str, Any], int, str]] = [
    ("PUT", "/v1/jobs/nonsense", JOB, 404, "no_such_id"),
    ("PUT", "/v1/jobs/0123456789abcdef.1.abcd", JOB, 404, "no_such_id"),
    ("POST", JOBS, b"{not json", 400, "bad_request"),
    ("POST", JOBS, b"\xff", 400, "bad_request"),
    ("POST", JOBS, b"", 400, "bad_request"),
    ("POST", JOBS, [JOB], 400, "bad_request"),  # type: ignore[list-item]
    ("POST", JOBS, {**JOB, "more": 1}, 400, "bad_request"),
    ("POST", JOBS, {**JOB, "deadline_ms": -1}, 400, "bad_request"),
    ("POST", JOBS, {**JOB, "idempotent": "yes"}, 400, "bad_request"),
    ("POST", JOBS, {**JOB, "tasks": []}, 400, "bad_request"),
    ("POST", JOBS, {**JOB, "tasks": [{}]}, 400, "bad_request"),
    ("POST", JOBS, {**JOB, "tasks": [TASK] * (MAX_TASKS + 1)}, 400, "bad_request"),
    ("POST", JOBS, {**JOB, "service": "none"}, 404, "no_such_service"),
    ("POST", JOBS, b"x" * (MAX_BODY_BYTES + 1), 413, "body_too_large"),
    ("POST", "/v1/ids", {"service": "none", "count": 1}, 404, "no_such_service"),
    ("POST", "/v1/ids", {"service": SERVICE, "count": 0}, 400, "bad_request"),
    ("PUT", "/v1/tickets/0", {"services": {"x": {}}}, 400, "bad_request"),
    ("PUT", "/v1/tickets/9", {}, 400, "bad_request"),
    ("PUT", "/v1/tickets/9", {"zones": {}}, 400, "bad_request"),
    ("GET", "/v1/tickets/9", b"", 404, "no_such_ticket"),
    ("GET", "/v1/none", b"", 404, "no_such_path"),
    ("PATCH", JOBS, b"", 405, "method_not_allowed"),
]


class BadInputTest(FleetTestCase):
    def test_each_invalid_request_is_refused_without_a_start(self) -> None:
        fleet = self.start_fleet(zones=1, entries=1)
        url = fleet.entries[0].caller.url
        for method, path, body, status, kind in CASES:
            with self.subTest(f"{method} {path} {str(body)[:40]}"):
                encoded = body if isinstance(body, bytes) else json.dumps(body).encode()
                reply = fleet.http.request(method, url + path, body=encoded)
                answer = json.loads(reply.data)
                error = answer["error"]
                self.assertEqual((status, kind), (reply.status, error["kind"]))
                self.assertEqual("not_run", answer["outcome"])
                self.assertNotIn("\n", error["message"])
        self.assertEqual([], fleet.starts())
