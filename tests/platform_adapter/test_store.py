"""Contract tests of the platform's store adapter against a stand-in, with faults."""

from __future__ import annotations

import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from jackdawkeel.platform.store import PlatformStore
from jackdawkeel.platform.store_timeouts import StoreTimeouts
from jackdawkeel.setting_values import parse_address
from jackdawkeel.store.interface import StoreErrorKind
from tests.standins.platform_store import PlatformStoreStandin
from tests.standins.processes import wait_until


WAIT_S = 20.0
# Only the tests of a silent store may depend on how long a response takes.
LONG_TIMEOUTS = StoreTimeouts(response_s=60.0, watch_wait_ms=200, watch_response_s=60.0)


class PlatformStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.standin = self.enterContext(PlatformStoreStandin())
        self.store = self.open_store(LONG_TIMEOUTS)

    def open_store(self, timeouts: StoreTimeouts) -> PlatformStore:
        """Connects an adapter to the stand-in; it is closed after the test."""
        address = parse_address(self.standin.address)
        return self.enterContext(PlatformStore(address, timeouts))

    def test_get_returns_the_item_or_none(self) -> None:
        revision = self.standin.put("op/config", b"{}")
        reading = self.store.get(b"op/config").unwrap()
        assert reading.item is not None
        self.assertEqual(reading.item.value, b"{}")
        self.assertEqual(reading.item.mod_revision, revision)
        self.assertIsNone(self.store.get(b"op/none").unwrap().item)

    def test_get_prefix_reads_all_pages(self) -> None:
        self.standin.page_items = 2
        for number in range(5):
            self.standin.put(f"a/{number}", str(number).encode())
        self.standin.put("b", b"")
        reading = self.store.get_prefix(b"a/").unwrap()
        self.assertEqual(
            [item.value for item in reading.items], [b"0", b"1", b"2", b"3", b"4"]
        )

    def test_swap_requires_the_expected_revision(self) -> None:
        first = self.store.compare_and_swap(b"k", 0, b"1").unwrap()
        self.assertTrue(first.succeeded)
        second = self.store.compare_and_swap(b"k", 0, b"2").unwrap()
        self.assertFalse(second.succeeded)
        assert second.current is not None
        self.assertEqual(second.current.value, b"1")
        third = self.store.compare_and_swap(b"k", first.revision, b"3").unwrap()
        self.assertTrue(third.succeeded)

    def test_key_expires_with_its_lease(self) -> None:
        lease = self.store.grant_lease(10).unwrap()
        self.store.compare_and_swap(b"k", 0, b"1", lease).unwrap()
        self.assertEqual(self.store.keep_alive(lease).unwrap(), 10)
        with self.standin.data.changed:
            self.standin.data.leases[lease].expires_at = 0.0
            self.standin.data.expire_leases()
        self.assertIsNone(self.store.get(b"k").unwrap().item)
        failed = self.store.keep_alive(lease).unwrap_err()
        self.assertEqual(failed.kind, StoreErrorKind.LEASE_NOT_FOUND)
        failed = self.store.compare_and_swap(b"k", 0, b"1", lease).unwrap_err()
        self.assertEqual(failed.kind, StoreErrorKind.LEASE_NOT_FOUND)

    def test_refused_call_is_unavailable(self) -> None:
        for status in (429, 503):
            with self.subTest(status):
                self.standin.refusal = status
                read = self.store.get(b"k").unwrap_err()
                self.assertEqual(read.kind, StoreErrorKind.UNAVAILABLE)
                swap = self.store.compare_and_swap(b"k", 0, b"1").unwrap_err()
                self.assertEqual(swap.kind, StoreErrorKind.UNAVAILABLE)

    def test_lost_response_leaves_the_outcome_unknown(self) -> None:
        self.standin.lose_answers = 1
        swap = self.store.compare_and_swap(b"k", 0, b"1").unwrap_err()
        self.assertEqual(swap.kind, StoreErrorKind.OUTCOME_UNKNOWN)
        self.assertIsNotNone(self.store.get(b"k").unwrap().item)

    def test_silent_store_times_out(self) -> None:
        self.standin.unresponsive_until = time.monotonic() + 60
        store = self.open_store(StoreTimeouts(response_s=0.1))
        failed = store.get(b"k").unwrap_err()
        self.assertEqual(failed.kind, StoreErrorKind.UNAVAILABLE)

    def test_watch_returns_changes_and_deletions_once(self) -> None:
        start = self.standin.put("op/a", b"0")
        with self.store.watch_prefix(b"op/", start + 1) as watch:
            self.standin.put("op/a", b"1")
            self.standin.put("other", b"1")
            self.standin.delete("op/a")
            changes = watch.read().unwrap()
            changes += watch.read().unwrap()
        self.assertEqual([change.value for change in changes], [b"1", None])

    def test_watch_of_compacted_revisions_fails(self) -> None:
        start = self.standin.put("op/a", b"0")
        self.standin.put("op/a", b"1")
        self.standin.compact()
        with self.store.watch_prefix(b"op/", start + 1) as watch:
            failed = watch.read().unwrap_err()
        self.assertEqual(failed.kind, StoreErrorKind.COMPACTED)

    def test_watch_resumes_after_a_refusal(self) -> None:
        start = self.standin.put("op/a", b"0")
        with self.store.watch_prefix(b"op/", start + 1) as watch:
            self.standin.refusal = 503
            failed = watch.read().unwrap_err()
            self.assertEqual(failed.kind, StoreErrorKind.UNAVAILABLE)
            self.standin.refusal = 0
            self.standin.put("op/a", b"1")
            self.assertEqual(len(watch.read().unwrap()), 1)

    def test_watch_resumes_after_a_lost_connection(self) -> None:
        start = self.standin.put("op/a", b"0")
        with self.store.watch_prefix(b"op/", start + 1) as watch:
            self.standin.calls_to_drop = 1
            failed = watch.read().unwrap_err()
            self.assertEqual(failed.kind, StoreErrorKind.UNAVAILABLE)
            self.standin.put("op/a", b"1")
            self.assertEqual(len(watch.read().unwrap()), 1)

    def test_silent_watch_times_out(self) -> None:
        start = self.standin.put("op/a", b"0")
        self.standin.unresponsive_until = time.monotonic() + 60
        timeouts = StoreTimeouts(watch_wait_ms=50, watch_response_s=0.05)
        with self.open_store(timeouts).watch_prefix(b"op/", start + 1) as watch:
            failed = watch.read().unwrap_err()
        self.assertEqual(failed.kind, StoreErrorKind.UNAVAILABLE)

    def test_close_interrupts_a_waiting_read(self) -> None:
        start = self.standin.put("op/a", b"0")
        store = self.open_store(StoreTimeouts(watch_wait_ms=600_000))
        watch = store.watch_prefix(b"op/", start + 1)
        with ThreadPoolExecutor(1) as thread:
            waiting = thread.submit(watch.read)
            wait_until(
                lambda: self.standin.waiting_watches > 0,
                "the watch request to be held open",
            )
            watch.close()
            failed = waiting.result(WAIT_S).unwrap_err()
        self.assertEqual(failed.kind, StoreErrorKind.UNAVAILABLE)
        self.assertEqual(watch.read().unwrap_err().kind, StoreErrorKind.CLOSED)
