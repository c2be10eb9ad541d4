"""Tests of the admission controller.

The records of an epoch are dropped together. If the id of a dropped record counted as
new, its job could run twice.
"""

from __future__ import annotations

import unittest

from jackdawkeel.answer import answer_done
from jackdawkeel.answer import decode_answer
from jackdawkeel.controllers.admission import ANSWER_RETENTION_S
from jackdawkeel.controllers.admission import EPOCH_DURATION_S
from jackdawkeel.controllers.admission import MAX_KEPT_ANSWER_BYTES
from jackdawkeel.controllers.admission import MAX_KEPT_EPOCHS
from jackdawkeel.controllers.admission import AdmissionController
from jackdawkeel.errors import ErrorKind
from jackdawkeel.job_id import JobId
from jackdawkeel.job_id import mint_job_id
from tests.fakes import FakeClock


OWN = "a" * 16


class AdmissionTest(unittest.TestCase):
    """Ids are known or refused, never both; running jobs keep their records."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.admission = AdmissionController(OWN, self.clock)

    def mint(self) -> JobId:
        """Returns a new id of the current epoch."""
        return mint_job_id(OWN, self.admission.epoch)

    def advance_epochs(self, count: int) -> None:
        """Advances the controller by a number of epochs."""
        for _ in range(count):
            self.clock.advance(EPOCH_DURATION_S)
            self.admission.tick()

    def test_ids_of_other_homes_or_epochs_are_refused(self) -> None:
        cases = [
            (mint_job_id("b" * 16, 1), ErrorKind.NO_SUCH_ID),
            (mint_job_id(OWN, 2), ErrorKind.NO_SUCH_ID),
            (mint_job_id(OWN, 0), ErrorKind.ID_EXPIRED),
            (mint_job_id(OWN, 1), None),
        ]
        for job_id, kind in cases:
            with self.subTest(job_id=str(job_id)):
                refusal = self.admission.find_refusal(job_id)
                self.assertEqual(refusal and refusal.kind, kind)

    def test_id_is_either_known_or_refused(self) -> None:
        job_id = self.mint()
        self.admission.admit(job_id, "digest")
        self.admission.keep_answer(job_id, answer_done(str(job_id), []))
        for _ in range(2 * MAX_KEPT_EPOCHS):
            self.advance_epochs(1)
            known = self.admission.find(job_id) is not None
            refused = self.admission.find_refusal(job_id) is not None
            self.assertNotEqual(known, refused)
        self.assertFalse(known)

    def test_running_job_keeps_its_record_after_its_epoch(self) -> None:
        job_id, ended = self.mint(), self.mint()
        for admitted in (job_id, ended):
            self.admission.admit(admitted, "digest")
        self.admission.keep_answer(ended, answer_done(str(ended), []))
        self.advance_epochs(3 * MAX_KEPT_EPOCHS)
        self.assertIsNotNone(self.admission.find_refusal(ended))
        self.assertLessEqual(len(self.admission.epochs), MAX_KEPT_EPOCHS)
        self.assertIsNotNone(self.admission.find(job_id))
        self.assertIsNone(self.admission.find_refusal(job_id))
        self.admission.keep_answer(job_id, answer_done(str(job_id), []))
        self.assertIsNotNone(self.admission.find(job_id))
        self.clock.advance(ANSWER_RETENTION_S + 1)
        self.admission.tick()
        self.assertIsNone(self.admission.find(job_id))
        self.assertIsNotNone(self.admission.find_refusal(job_id))

    def test_dropped_answers_are_reported_as_expired(self) -> None:
        body = b'"%s"' % (b"x" * (MAX_KEPT_ANSWER_BYTES // 2))
        for dropped_by in ("size", "age"):
            with self.subTest(dropped_by=dropped_by):
                job_id = self.mint()
                record = self.admission.admit(job_id, "digest")
                self.admission.keep_answer(job_id, answer_done(str(job_id), [body]))
                if dropped_by == "age":
                    self.clock.advance(ANSWER_RETENTION_S + 1)
                    self.admission.tick()
                else:
                    other = self.mint()
                    self.admission.admit(other, "digest")
                    self.admission.keep_answer(other, answer_done(str(other), [body]))
                answer = decode_answer(record.answer or b"")
                self.assertEqual(answer.outcome, "failed")
                self.assertEqual(answer.error and answer.error.kind, "answer_expired")
