"""Tests of the configuration at an entry and the leases it grants."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from jackdawkeel.controllers.configuration import MAX_CLOCK_GAP_S
from jackdawkeel.controllers.configuration import MAX_STALENESS_MS
from jackdawkeel.controllers.configuration import PEER_ANSWER_WAIT_S
from jackdawkeel.controllers.configuration import STORE_DOWN_AFTER_S
from jackdawkeel.controllers.configuration import ConfigurationController
from jackdawkeel.controllers.document import encode_document
from jackdawkeel.errors import ErrorKind
from jackdawkeel.ticket import AvailabilityZoneModel
from jackdawkeel.ticket import AvailabilityZoneRecord
from jackdawkeel.ticket import ConfigurationDocument
from jackdawkeel.ticket import ServiceModel
from jackdawkeel.ticket import ServiceRecord


if TYPE_CHECKING:
    from collections.abc import Callable


TICK_S = 0.25
START_S = 1000.0
DOCUMENT = ConfigurationDocument(
    services={name: ServiceRecord(1, ServiceModel()) for name in ("a", "b", "c")},
    availability_zones={
        name: AvailabilityZoneRecord(1, AvailabilityZoneModel()) for name in ("x", "y")
    },
)
ENCODED = encode_document(DOCUMENT)


class ControllerTestCase(unittest.TestCase):
    """A controller whose clock the test moves in ticks."""

    def setUp(self) -> None:
        self.now = START_S
        self.controller = ConfigurationController(self.now)

    def run_for(self, seconds: float) -> None:
        """Lets time go by without a pause."""
        end = self.now + seconds
        while self.now + TICK_S < end:
            self.now += TICK_S
            self.controller.detect_pause(self.now)
        self.now = end
        self.controller.detect_pause(self.now)

    def pause_for(self, seconds: float) -> None:
        """Lets time go by while the process is paused."""
        self.now += seconds

    def read(self, revision: int = 7, duration_s: float = 0.0) -> None:
        """Reads the store with success."""
        sent_at = self.now
        self.run_for(duration_s)
        self.controller.apply(revision, ENCODED).unwrap()
        self.controller.record_confirmation(sent_at, revision)

    def fail_read(self, duration_s: float = 0.0) -> None:
        """Fails to read the store."""
        sent_at = self.now
        self.run_for(duration_s)
        self.controller.record_failed_read(sent_at, self.now)

    def ask_peer(self, age_ms: int, revision: int = 7) -> None:
        """Hears a peer's answer without delay."""
        self.controller.record_peer_confirmation(self.now, age_ms, revision)

    def lease_ms(self) -> int:
        """Asks for a lease now."""
        return self.controller.lease_ms(self.now)


class DocumentTest(ControllerTestCase):
    """No lower revision is ever applied."""

    def test_revision_table(self) -> None:
        other = encode_document(ConfigurationDocument())
        cases = [(5, True), (5, False), (4, False), (0, False), (6, True), (5, False)]
        for revision, applied in cases:
            with self.subTest(revision=revision, applied=applied):
                encoded = ENCODED if applied else other
                answer = self.controller.apply(revision, encoded)
                self.assertEqual(answer.unwrap(), applied)
                self.assertEqual(self.controller.encoded, ENCODED)
                self.assertEqual(self.controller.document, DOCUMENT)
        self.assertEqual(self.controller.revision, 6)

    def test_a_damaged_document_is_not_applied(self) -> None:
        self.read(5)
        error = self.controller.apply(6, b"damaged").unwrap_err()
        self.assertEqual(error.kind, ErrorKind.INTERNAL)
        self.assertEqual(
            (self.controller.revision, self.controller.encoded), (5, ENCODED)
        )

    def test_an_agent_gets_just_what_it_needs(self) -> None:
        self.read(5)
        part = self.controller.agent_configuration(["b", "unknown"])
        self.assertEqual(part.revision, 5)
        self.assertEqual(list(part.services), ["b"])
        self.assertEqual(part.availability_zones, DOCUMENT.availability_zones)


class ReadyTest(ControllerTestCase):
    """Nothing is granted before a confirmed version is known."""

    def test_a_start_grants_nothing(self) -> None:
        self.run_for(60)
        self.assertFalse(self.controller.is_ready())
        self.assertEqual(self.lease_ms(), 0)

    def test_readiness_table(self) -> None:
        cases: list[tuple[str, Callable[[], None], bool]] = [
            ("read", self.read, True),
            (
                "empty store read",
                lambda: self.controller.record_confirmation(0, 0),
                True,
            ),
            ("failed read", self.fail_read, False),
            ("peer without any", lambda: self.ask_peer(-1, 0), False),
            ("peer, not applied here", lambda: self.ask_peer(10), False),
            ("read, not applied here", self._confirm_unapplied, False),
            (
                "peer's version, long ago",
                lambda: self._apply_from_peer(3_600_000),
                True,
            ),
        ]
        for name, event, ready in cases:
            with self.subTest(name):
                self.setUp()
                event()
                self.assertEqual(self.controller.is_ready(), ready)

    def test_a_start_in_an_outage_takes_a_peers_version(self) -> None:
        self.fail_read()
        self._apply_from_peer(3_600_000)
        self.assertEqual(self.lease_ms(), 0)
        self.run_for(PEER_ANSWER_WAIT_S)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS)

    def _confirm_unapplied(self) -> None:
        self.controller.record_confirmation(self.now, 7)

    def _apply_from_peer(self, age_ms: int) -> None:
        self.controller.apply(7, ENCODED).unwrap()
        self.ask_peer(age_ms)


class LeaseTest(ControllerTestCase):
    """Leases count from when the confirming question was sent."""

    def test_counts_from_when_the_read_was_sent(self) -> None:
        self.read(duration_s=0.4)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 400)
        self.run_for(1.0)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 1400)

    def test_ends_while_a_read_is_not_answered(self) -> None:
        self.read()
        self.run_for(3.0)
        self.assertEqual(self.lease_ms(), 0)
        self.run_for(60.0)
        self.assertEqual(self.lease_ms(), 0)

    def test_a_crossed_older_read_takes_nothing_back(self) -> None:
        sent_at = self.now
        self.run_for(1.0)
        self.read()
        self.controller.record_confirmation(sent_at, 6)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS)
        self.controller.record_failed_read(sent_at, self.now)
        self.assertFalse(self.controller.last_read_failed)

    def test_a_read_of_an_unapplied_revision_confirms_nothing(self) -> None:
        self.read(7)
        self.run_for(1.0)
        self.controller.record_confirmation(self.now, 8)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 1000)

    def test_peer_counts_from_when_it_was_asked(self) -> None:
        self.read()
        self.run_for(2.0)
        self.fail_read()
        query_unanswered_since = self.now
        self.run_for(0.25)
        self.controller.record_peer_confirmation(query_unanswered_since, 500, 7)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 750)

    def test_peer_with_a_later_revision_confirms_nothing_here(self) -> None:
        self.read(7)
        self.run_for(2.0)
        self.fail_read()
        self.ask_peer(0, revision=8)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 2000)

    def test_cut_from_the_store_beside_a_peer_that_reaches_it(self) -> None:
        self.read()
        for _ in range(30):
            self.run_for(1.0)
            self.fail_read()
            self.ask_peer(900)
            self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 900)

    def test_age_for_peers_never_shrinks_on_the_way(self) -> None:
        self.assertEqual(self.controller.confirmed_age_ms(self.now), -1)
        self.read()
        self.run_for(1.0)
        self.assertEqual(self.controller.confirmed_age_ms(self.now), 1000)
        self.ask_peer(400)
        self.run_for(1.0)
        self.assertEqual(self.controller.confirmed_age_ms(self.now), 1400)


class OutageTest(ControllerTestCase):
    """When nobody reaches the store, the last configuration goes on."""

    def setUp(self) -> None:
        super().setUp()
        self.read()
        self.run_for(PEER_ANSWER_WAIT_S)
        self.read()

    def test_goes_on_while_nobody_reaches_the_store(self) -> None:
        self.fail_read()
        self.run_for(STORE_DOWN_AFTER_S + 0.01)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS)
        for _ in range(100):
            self.run_for(1.0)
            self.fail_read()
            self.ask_peer(60_000)
            self.assertEqual(self.lease_ms(), MAX_STALENESS_MS)

    def test_grants_shrink_until_the_store_is_taken_to_be_down(self) -> None:
        self.fail_read()
        self.run_for(STORE_DOWN_AFTER_S)
        shrunk = MAX_STALENESS_MS - round(STORE_DOWN_AFTER_S * 1000)
        self.assertEqual(self.lease_ms(), shrunk)

    def test_a_slow_store_is_not_down(self) -> None:
        self.run_for(2.51)
        self.assertLess(self.lease_ms(), 500)

    def test_heals_by_a_read(self) -> None:
        self.fail_read()
        self.run_for(10)
        self.read()
        self.run_for(2.75)
        self.assertEqual(self.lease_ms(), 250)

    def test_heals_by_a_peer(self) -> None:
        self.fail_read()
        self.run_for(10)
        self.ask_peer(100)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 100)


class PauseTest(ControllerTestCase):
    """After a pause only a later read brings leases back."""

    def setUp(self) -> None:
        super().setUp()
        self.read()
        self.run_for(PEER_ANSWER_WAIT_S)
        self.read()

    def test_a_pause_is_noticed_by_whatever_comes_first(self) -> None:
        events: list[tuple[str, Callable[[], None]]] = [
            ("lease", lambda: None),
            ("tick", lambda: self.controller.detect_pause(self.now)),
            ("failed read", lambda: self._end_old_read(failed=True)),
        ]
        for name, event in events:
            with self.subTest(name):
                self.read()
                self.pause_for(MAX_CLOCK_GAP_S + 0.01)
                event()
                self.assertEqual(self.lease_ms(), 0)

    def test_read_from_before_the_pause_brings_nothing(self) -> None:
        for failed in (False, True):
            with self.subTest(failed=failed):
                self.read()
                self.pause_for(1.0)
                self.controller.detect_pause(self.now)
                self._end_old_read(failed=failed)
                self.assertEqual(self.lease_ms(), 0)

    def test_peer_alone_brings_nothing(self) -> None:
        self.pause_for(1.0)
        self.controller.detect_pause(self.now)
        self.ask_peer(0)
        self.assertEqual(self.lease_ms(), 0)

    def test_later_read_brings_leases_back(self) -> None:
        self.pause_for(60.0)
        self.controller.detect_pause(self.now)
        self.read(duration_s=0.25)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 250)

    def test_failed_read_waits_for_peers(self) -> None:
        self.pause_for(60.0)
        self.controller.detect_pause(self.now)
        self.fail_read()
        self.assertEqual(self.lease_ms(), 0)
        self.run_for(PEER_ANSWER_WAIT_S)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS)

    def test_failed_read_beside_a_peer_that_reaches_the_store(self) -> None:
        self.pause_for(60.0)
        self.controller.detect_pause(self.now)
        self.fail_read()
        self.ask_peer(200)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 200)

    def test_short_delays_are_no_pause(self) -> None:
        self.pause_for(MAX_CLOCK_GAP_S)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 500)

    def _end_old_read(self, *, failed: bool) -> None:
        if failed:
            self.controller.record_failed_read(self.now - 0.5, self.now)
        else:
            self.controller.record_confirmation(self.now - 0.5, 7)
