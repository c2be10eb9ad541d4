"""Tests of decoding submitted jobs: valid, invalid and unsupported ones."""

from __future__ import annotations

import unittest

import msgspec

from jackdawkeel.errors import ErrorKind
from jackdawkeel.platform.submissions import decode_job
from jackdawkeel.scheduling.resources import Resources
from jackdawkeel.scheduling.specification import StepSpec


JOB_ID = "5c0e7a21d94b36f8"
STEP = {"count": 4, "cpu": 500, "memMb": 256, "estimateMs": 900, "affinity": "r1-3"}


def encode_job(*steps: object, **fields: object) -> bytes:
    """Encodes the body of a submission with these steps and fields."""
    body = {"spec": "text", "steps": list(steps), "bestEffort": True}
    return msgspec.json.encode(body | fields)


INVALID_JOBS = {
    "no JSON": b"{",
    "no UTF-8": b"\xff\xfe",
    "no object": b"[]",
    "no steps": encode_job(),
    "no count": encode_job({"cpu": 1}),
    "zero tasks": encode_job(STEP | {"count": 0}),
    "a negative amount": encode_job(STEP | {"cpu": -1}),
    "a count of another type": encode_job(STEP | {"count": "4"}),
    "too many tasks": encode_job(STEP | {"count": 10_001}),
    "a later step before": encode_job(STEP | {"after": [1]}, STEP),
    "a step after itself": encode_job(STEP | {"after": [0]}),
    "too many dependencies": encode_job(
        *[STEP | {"count": 1}] * 200, STEP | {"after": [*range(200)] * 501}
    ),
    "too many values": encode_job(STEP | {"after": [0] * 200_000}),
    "too many objects": b'{"spec":"","steps":[%b{}]}' % (b"{}," * 6000),
    "a long spec": encode_job(STEP, spec="x" * 4001),
    "a spec of another type": encode_job(STEP, spec=7),
}
UNSUPPORTED = {
    "kept": encode_job(STEP, bestEffort=False),
    "a gang": encode_job(STEP | {"gang": True}),
    "lasting": encode_job(STEP | {"longRunning": True}),
    "filling": encode_job(STEP | {"fills": True}),
    "scheduled": encode_job(STEP, repeatCount=2),
}


class DecodeJobTest(unittest.TestCase):
    def test_decodes_steps(self) -> None:
        second = {"count": 2, "after": [0], "requiredLabel": "a", "maxPerServer": 1}
        job = decode_job(JOB_ID, encode_job(STEP, second)).unwrap()
        self.assertEqual(job.job_id, JOB_ID)
        self.assertEqual(job.payload, "text")
        expected = StepSpec(4, Resources(500, 256), 900, preferred_rack="r1-3")
        self.assertEqual(job.steps[0], expected)
        self.assertEqual(job.steps[1].after, (0,))
        self.assertEqual(job.steps[1].required_label, "a")
        self.assertEqual(job.steps[1].max_per_target, 1)

    def test_unknown_fields_are_ignored(self) -> None:
        body = encode_job(STEP | {"colour": "red"}, mood="good")
        self.assertTrue(decode_job(JOB_ID, body).is_ok())

    def test_invalid_jobs_are_bad_requests(self) -> None:
        for name, body in INVALID_JOBS.items():
            with self.subTest(name):
                error = decode_job(JOB_ID, body).unwrap_err().error
                self.assertEqual(error.kind, ErrorKind.BAD_REQUEST)

    def test_invalid_ids_are_bad_requests(self) -> None:
        for job_id in ("", "5c0e", JOB_ID.upper(), JOB_ID + "0", "g" * 16):
            with self.subTest(job_id):
                error = decode_job(job_id, encode_job(STEP)).unwrap_err().error
                self.assertEqual(error.kind, ErrorKind.BAD_REQUEST)

    def test_unsupported_jobs_are_refused_as_unsupported(self) -> None:
        for name, body in UNSUPPORTED.items():
            with self.subTest(name):
                error = decode_job(JOB_ID, body).unwrap_err().error
                self.assertEqual(error.kind, ErrorKind.UNSUPPORTED)
