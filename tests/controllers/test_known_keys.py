"""Tests of the keys that an entry has seen claimed."""

from __future__ import annotations

import unittest

from jackdawkeel.controllers.known_keys import KEY_RETENTION_S
from jackdawkeel.controllers.known_keys import MAX_KEYS
from jackdawkeel.controllers.known_keys import KnownKeysController
from tests.fakes import FakeClock


class KnownKeysTest(unittest.TestCase):
    def test_keys_are_bounded_in_number_and_age(self) -> None:
        clock = FakeClock()
        known = KnownKeysController(clock)
        for number in range(MAX_KEYS + 1):
            known.record_key(str(number), f"id-{number}")
        self.assertIsNone(known.find("0"))
        self.assertEqual(known.find("1"), "id-1")
        clock.advance(KEY_RETENTION_S + 1)
        self.assertIsNone(known.find("1"))
