"""Tests of job ids."""

from __future__ import annotations

import unittest

from jackdawkeel.job_id import mint_incarnation
from jackdawkeel.job_id import mint_job_id
from jackdawkeel.job_id import parse_job_id


class JobIdTest(unittest.TestCase):
    """A minted id parses back; any other text is refused."""

    def test_minted_id_parses_back(self) -> None:
        job_id = mint_job_id(mint_incarnation(), 7)
        self.assertEqual(parse_job_id(str(job_id)).unwrap(), job_id)

    def test_damaged_ids_are_refused(self) -> None:
        valid = str(mint_job_id("0123456789abcdef", 7))
        cases = ["", "a.b.c", valid + "0", valid.replace(".7.", ".8."), valid[1:]]
        cases += [valid.replace(".7.", ".07."), valid.replace(".7.", ".-7.")]
        for text in cases:
            with self.subTest(text=text):
                self.assertTrue(parse_job_id(text).is_err())
