"""Tests of the configuration at an entry and the leases that it grants.

While an entry or a peer of it reaches the store, leases must end soon after the last
confirmation, or agents start tasks under an outdated configuration. While the store is
down, agents must keep working under the last one.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from jackdawkeel.controllers.configuration import MAX_CLOCK_GAP_S
from jackdawkeel.controllers.configuration import MAX_STALENESS_MS
from jackdawkeel.controllers.configuration import PEER_REPLY_WAIT_S
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
    """A controller with a clock that the test advances in ticks."""

    def setUp(self) -> None:
        self.now = START_S
        self.controller = ConfigurationController(self.now)

    def run_for(self, seconds: float) -> None:
        """Advances the clock in ticks too short to count as a pause."""
        end = self.now + seconds
        while self.now + TICK_S < end:
            self.now += TICK_S
            self.controller.detect_pause(self.now)
        self.now = end
        self.controller.detect_pause(self.now)

    def pause_for(self, seconds: float) -> None:
        """Advances the clock at once, as if the process were paused."""
        self.now += seconds

    def read(self, revision: int = 7, duration_s: float = 0.0) -> None:
        """Reads a revision from the store."""
        sent_at = self.now
        self.run_for(duration_s)
        self.controller.apply(revision, ENCODED).unwrap()
        self.controller.record_confirmation(sent_at, revision)

    def fail_read(self, duration_s: float = 0.0) -> None:
        """Records a failed read of the store."""
        sent_at = self.now
        self.run_for(duration_s)
        self.controller.record_failed_read(sent_at, self.now)

    def ask_peer(self, age_ms: int, revision: int = 7) -> None:
        """Records a peer's answer without delay."""
        self.controller.record_peer_confirmation(self.now, age_ms, revision)

    def lease_ms(self) -> int:
        """Returns the duration of a lease granted now."""
        return self.controller.lease_ms(self.now)


class DocumentTest(ControllerTestCase):
    """Only valid documents with a higher revision are applied."""

    def test_only_higher_revisions_are_applied(self) -> None:
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

    def test_damaged_document_is_not_applied(self) -> None:
        self.read(5)
        error = self.controller.apply(6, b"damaged").unwrap_err()
        self.assertEqual(error.kind, ErrorKind.INTERNAL)
        self.assertEqual(
            (self.controller.revision, self.controller.encoded), (5, ENCODED)
        )

    def test_agent_gets_only_its_services(self) -> None:
        self.read(5)
        part = self.controller.agent_configuration(["b", "unknown"])
        self.assertEqual(part.revision, 5)
        self.assertEqual(list(part.services), ["b"])
        self.assertEqual(part.availability_zones, DOCUMENT.availability_zones)


class ReadyTest(ControllerTestCase):
    """Nothing is granted before a confirmed version is known."""

    def test_nothing_is_granted_after_the_start(self) -> None:
        self.run_for(60)
        self.assertFalse(self.controller.is_ready())
        self.assertEqual(self.lease_ms(), 0)

    def test_readiness_after_each_event(self) -> None:
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
                "peer's version, confirmed an hour before",
                lambda: self._apply_from_peer(3_600_000),
                True,
            ),
        ]
        for name, event, ready in cases:
            with self.subTest(name):
                self.setUp()
                event()
                self.assertEqual(self.controller.is_ready(), ready)

    def test_version_of_a_peer_is_granted_after_a_start_in_an_outage(self) -> None:
        self.fail_read()
        self._apply_from_peer(3_600_000)
        self.assertEqual(self.lease_ms(), 0)
        self.run_for(PEER_REPLY_WAIT_S)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS)

    def _confirm_unapplied(self) -> None:
        self.controller.record_confirmation(self.now, 7)

    def _apply_from_peer(self, age_ms: int) -> None:
        self.controller.apply(7, ENCODED).unwrap()
        self.ask_peer(age_ms)


class LeaseTest(ControllerTestCase):
    """Leases run from the time at which the confirming request was sent."""

    def test_lease_runs_from_the_sending_of_the_read(self) -> None:
        self.read(duration_s=0.4)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 400)
        self.run_for(1.0)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 1400)

    def test_lease_ends_while_a_read_has_no_answer(self) -> None:
        self.read()
        self.run_for(3.0)
        self.assertEqual(self.lease_ms(), 0)
        self.run_for(60.0)
        self.assertEqual(self.lease_ms(), 0)

    def test_older_read_that_completes_later_changes_nothing(self) -> None:
        sent_at = self.now
        self.run_for(1.0)
        self.read()
        self.controller.record_confirmation(sent_at, 6)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS)
        self.controller.record_failed_read(sent_at, self.now)
        self.assertFalse(self.controller.last_read_failed)

    def test_read_of_an_unapplied_revision_confirms_nothing(self) -> None:
        self.read(7)
        self.run_for(1.0)
        self.controller.record_confirmation(self.now, 8)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 1000)

    def test_peer_confirmation_runs_from_the_sending_of_the_question(self) -> None:
        self.read()
        self.run_for(2.0)
        self.fail_read()
        probe_sent_at = self.now
        self.run_for(0.25)
        self.controller.record_peer_confirmation(probe_sent_at, 500, 7)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 750)

    def test_peer_with_a_higher_revision_confirms_nothing(self) -> None:
        self.read(7)
        self.run_for(2.0)
        self.fail_read()
        self.ask_peer(0, revision=8)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 2000)

    def test_peer_confirms_for_an_entry_partitioned_from_the_store(self) -> None:
        self.read()
        for _ in range(30):
            self.run_for(1.0)
            self.fail_read()
            self.ask_peer(900)
            self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 900)

    def test_age_includes_the_age_that_a_peer_reported(self) -> None:
        self.assertEqual(self.controller.confirmed_age_ms(self.now), -1)
        self.read()
        self.run_for(1.0)
        self.assertEqual(self.controller.confirmed_age_ms(self.now), 1000)
        self.ask_peer(400)
        self.run_for(1.0)
        self.assertEqual(self.controller.confirmed_age_ms(self.now), 1400)


class OutageTest(ControllerTestCase):
    """While no entry reaches the store, the last configuration stays in force."""

    def setUp(self) -> None:
        super().setUp()
        self.read()
        self.run_for(PEER_REPLY_WAIT_S)
        self.read()

    def test_full_leases_are_granted_while_the_store_is_down(self) -> None:
        self.fail_read()
        self.run_for(STORE_DOWN_AFTER_S + 0.01)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS)
        for _ in range(100):
            self.run_for(1.0)
            self.fail_read()
            self.ask_peer(60_000)
            self.assertEqual(self.lease_ms(), MAX_STALENESS_MS)

    def test_leases_shrink_until_the_store_counts_as_down(self) -> None:
        self.fail_read()
        self.run_for(STORE_DOWN_AFTER_S)
        shrunk = MAX_STALENESS_MS - round(STORE_DOWN_AFTER_S * 1000)
        self.assertEqual(self.lease_ms(), shrunk)

    def test_store_without_a_failed_read_is_not_down(self) -> None:
        self.run_for(2.51)
        self.assertLess(self.lease_ms(), 500)

    def test_read_ends_the_outage(self) -> None:
        self.fail_read()
        self.run_for(10)
        self.read()
        self.run_for(2.75)
        self.assertEqual(self.lease_ms(), 250)

    def test_peer_confirmation_ends_the_outage(self) -> None:
        self.fail_read()
        self.run_for(10)
        self.ask_peer(100)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 100)


class PauseTest(ControllerTestCase):
    """After a pause, leases are granted only once a read sent after it completes."""

    def setUp(self) -> None:
        super().setUp()
        self.read()
        self.run_for(PEER_REPLY_WAIT_S)
        self.read()

    def test_pause_is_detected_by_the_first_event_after_it(self) -> None:
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

    def test_read_sent_before_the_pause_does_not_restore_leases(self) -> None:
        for failed in (False, True):
            with self.subTest(failed=failed):
                self.read()
                self.pause_for(1.0)
                self.controller.detect_pause(self.now)
                self._end_old_read(failed=failed)
                self.assertEqual(self.lease_ms(), 0)

    def test_peer_alone_does_not_restore_leases(self) -> None:
        self.pause_for(1.0)
        self.controller.detect_pause(self.now)
        self.ask_peer(0)
        self.assertEqual(self.lease_ms(), 0)

    def test_read_sent_after_the_pause_restores_leases(self) -> None:
        self.pause_for(60.0)
        self.controller.detect_pause(self.now)
        self.read(duration_s=0.25)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 250)

    def test_failed_read_grants_nothing_before_peers_could_answer(self) -> None:
        self.pause_for(60.0)
        self.controller.detect_pause(self.now)
        self.fail_read()
        self.assertEqual(self.lease_ms(), 0)
        self.run_for(PEER_REPLY_WAIT_S)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS)

    def test_failed_read_with_a_peer_that_reaches_the_store(self) -> None:
        self.pause_for(60.0)
        self.controller.detect_pause(self.now)
        self.fail_read()
        self.ask_peer(200)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 200)

    def test_short_delay_is_not_a_pause(self) -> None:
        self.pause_for(MAX_CLOCK_GAP_S)
        self.assertEqual(self.lease_ms(), MAX_STALENESS_MS - 500)

    def _end_old_read(self, *, failed: bool) -> None:
        if failed:
            self.controller.record_failed_read(self.now - 0.5, self.now)
        else:
            self.controller.record_confirmation(self.now - 0.5, 7)
