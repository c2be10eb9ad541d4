"""Contract tests of the etcd adapter's calls: keys, leases and faults."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import Any

from jackdawkeel.store.call_counter import CallKind
from jackdawkeel.store.etcd import EtcdStore
from jackdawkeel.store.etcd import parse_store_url
from jackdawkeel.store.etcd_wire import prefix_end
from jackdawkeel.store.interface import KeyValue
from jackdawkeel.store.interface import StoreErrorKind
from tests.fakes import refusing_url
from tests.fakes import unresponsive_url
from tests.standins.processes import wait_until

from .store_test_case import KEY
from .store_test_case import WAIT_S
from .store_test_case import StoreTestCase


SHORT_TIMEOUT_S = 0.5
UNAVAILABLE = StoreErrorKind.UNAVAILABLE
UNKNOWN = StoreErrorKind.OUTCOME_UNKNOWN
NO_LEADER = "etcdserver: no leader"
HEALTHY = {"down": "", "delay_ms": 0, "lose_answers": 0, "refusal": NO_LEADER}


class SwapTestCase(StoreTestCase):
    def swap(self, expected: int, value: bytes, key: bytes = KEY) -> int:
        """Writes a key at an expected revision and returns its new revision."""
        swapped = self.store.compare_and_swap(key, expected, value).unwrap()
        self.assertTrue(swapped.succeeded)
        return swapped.revision


class KeyTest(SwapTestCase):
    """Reads and compare-and-swap of keys."""

    def test_get_of_a_missing_key_returns_no_item(self) -> None:
        reading = self.store.get(KEY).unwrap()
        self.assertIsNone(reading.item)
        self.assertGreater(reading.revision, 0)

    def test_swap_writes_only_at_the_expected_revision(self) -> None:
        first = self.swap(0, b"one")
        cases = [("exists", 0), ("older", first - 1), ("newer", first + 1)]
        for name, expected in cases:
            with self.subTest(name):
                swapped = self.store.compare_and_swap(KEY, expected, b"no").unwrap()
                self.assertFalse(swapped.succeeded)
                self.assertEqual(swapped.current, KeyValue(KEY, b"one", first))
        second = self.swap(first, b"two")
        reading = self.store.get(KEY).unwrap()
        self.assertEqual(reading.item, KeyValue(KEY, b"two", second))
        self.assertEqual(reading.revision, second)

    def test_swap_of_a_missing_key_at_a_revision_fails(self) -> None:
        swapped = self.store.compare_and_swap(KEY, 5, b"no").unwrap()
        self.assertFalse(swapped.succeeded)
        self.assertIsNone(swapped.current)

    def test_arbitrary_bytes_round_trip(self) -> None:
        value = bytes(range(256))
        revision = self.swap(0, value, key=value)
        self.assertEqual(self.read_item(value), KeyValue(value, value, revision))

    def test_get_prefix_returns_only_matching_keys(self) -> None:
        for key in (b"a/", b"a/1", b"a/\xff", b"a0", b"a", b"b"):
            self.swap(0, key, key=key)
        reading = self.store.get_prefix(b"a/").unwrap()
        keys = [item.key for item in reading.items]
        self.assertEqual(keys, [b"a/", b"a/1", b"a/\xff"])
        self.assertEqual(reading.revision, self.standin.data.revision)

    def test_prefix_end(self) -> None:
        cases = [(b"a", b"b"), (b"a\xff", b"b"), (b"\xff", b"\x00"), (b"a/", b"a0")]
        for prefix, end in cases:
            with self.subTest(prefix):
                self.assertEqual(prefix_end(prefix), end)

    def test_store_url_parsing(self) -> None:
        self.assertEqual(parse_store_url("http://127.0.0.1:2379/"), ("127.0.0.1", 2379))
        for url in ("", "127.0.0.1:2379", "https://a:1", "http://a:1/v3", "ftp://a"):
            with self.subTest(url), self.assertRaises(ValueError):
                parse_store_url(url)


class LeaseTest(StoreTestCase):
    """Leases, which the stand-in expires in real time."""

    def test_key_expires_with_its_lease(self) -> None:
        lease_id = self.store.grant_lease(1).unwrap()
        self.store.compare_and_swap(KEY, 0, b"here", lease_id).unwrap()
        self.assertIsNotNone(self.read_item())
        wait_until(lambda: self.read_item() is None, "the key to expire", WAIT_S)
        error = self.store.keep_alive(lease_id).unwrap_err()
        self.assertEqual(error.kind, StoreErrorKind.LEASE_NOT_FOUND)

    def test_renewed_lease_keeps_its_key(self) -> None:
        kept = self.store.grant_lease(3).unwrap()
        expiring = self.store.grant_lease(3).unwrap()
        self.store.compare_and_swap(KEY, 0, b"kept", kept).unwrap()
        self.store.compare_and_swap(b"other", 0, b"lapsing", expiring).unwrap()

        def is_other_key_expired() -> bool:
            self.assertEqual(self.store.keep_alive(kept).unwrap(), 3)
            return self.read_item(b"other") is None

        wait_until(is_other_key_expired, "the other key to expire", WAIT_S)
        self.assertIsNotNone(self.read_item())

    def test_write_under_an_unknown_lease_is_refused(self) -> None:
        error = self.store.compare_and_swap(KEY, 0, b"no", 4711).unwrap_err()
        self.assertEqual(error.kind, StoreErrorKind.LEASE_NOT_FOUND)
        self.assertIsNone(self.read_item())


class FaultTest(StoreTestCase):
    """The error kind of a failed call states whether it may have taken effect."""

    def test_error_kind_of_each_fault(self) -> None:
        timed_out = {"down": "refuse", "refusal": "etcdserver: request timed out"}
        proxy = {"down": "refuse", "refusal": "?"}
        cases: list[tuple[str, dict[str, Any], StoreErrorKind | None, StoreErrorKind]]
        cases = [
            ("refused before the write", {"down": "refuse"}, UNAVAILABLE, UNAVAILABLE),
            ("timed out inside", timed_out, UNAVAILABLE, UNKNOWN),
            ("503 of a proxy", proxy, UNAVAILABLE, UNKNOWN),
            ("connection dropped", {"down": "drop"}, UNAVAILABLE, UNKNOWN),
            ("answer lost", {"lose_answers": 1}, None, UNKNOWN),
            ("slower than the timeout", {"delay_ms": 1200}, UNAVAILABLE, UNKNOWN),
        ]
        store = self.open_store(read_timeout_s=SHORT_TIMEOUT_S)
        for name, faults, read_kind, write_kind in cases:
            with self.subTest(name):
                self.standin.control(faults)
                read = store.get(KEY)
                write = store.compare_and_swap(KEY, 0, b"value")
                self.standin.control(HEALTHY)
                self.assertEqual(read.err() and read.unwrap_err().kind, read_kind)
                self.assertEqual(write.unwrap_err().kind, write_kind)
                self.assertTrue(store.get(KEY).is_ok(), "the next call succeeds")

    def test_write_with_a_lost_response_took_effect(self) -> None:
        self.standin.control({"lose_answers": 1})
        self.store.compare_and_swap(KEY, 0, b"value").unwrap_err()
        item = self.read_item()
        self.assertEqual(item and item.value, b"value")

    def test_refused_write_had_no_effect(self) -> None:
        self.standin.control({"down": "refuse"})
        self.store.compare_and_swap(KEY, 0, b"value").unwrap_err()
        self.assertEqual(self.standin.record()["writes"], [])

    def test_error_kind_of_unreachable_addresses(self) -> None:
        cases = [(refusing_url, UNAVAILABLE), (unresponsive_url, UNKNOWN)]
        for open_url, write_kind in cases:
            with (
                self.subTest(write_kind),
                open_url() as url,
                EtcdStore(url, read_timeout_s=SHORT_TIMEOUT_S) as store,
            ):
                self.assertEqual(store.get(KEY).unwrap_err().kind, UNAVAILABLE)
                swapped = store.compare_and_swap(KEY, 0, b"")
                self.assertEqual(swapped.unwrap_err().kind, write_kind)

    def test_write_may_take_effect_after_the_timeout(self) -> None:
        store = self.open_store(read_timeout_s=SHORT_TIMEOUT_S)
        self.standin.control({"delay_ms": 1200})
        error = store.compare_and_swap(KEY, 0, b"late").unwrap_err()
        self.assertEqual(error.kind, UNKNOWN)
        self.standin.control({"delay_ms": 0})
        wait_until(
            lambda: self.read_item() is not None,
            "the late write to take effect",
            WAIT_S,
        )

    def test_silent_connections_fail_only_one_call(self) -> None:
        store = self.open_store(read_timeout_s=SHORT_TIMEOUT_S)
        pool = self.enterContext(ThreadPoolExecutor(4))
        self.standin.control({"delay_ms": 50})

        def read_at_once() -> list[bool]:
            return [answer.is_ok() for answer in pool.map(store.get, [KEY] * 4)]

        self.assertEqual(read_at_once(), [True] * 4)
        self.standin.control({"silence_connections": True})
        store.get(KEY).unwrap_err()
        self.assertEqual(read_at_once(), [True] * 4)

    def test_oversized_value_is_refused(self) -> None:
        large = bytes(1024 * 1024 + 1)
        error = self.store.compare_and_swap(KEY, 0, large).unwrap_err()
        self.assertEqual(error.kind, UNAVAILABLE)


class CountTest(StoreTestCase):
    """The adapter and the stand-in count the same calls."""

    def test_each_call_is_counted(self) -> None:
        self.store.get(KEY)
        self.store.get_prefix(KEY)
        self.store.compare_and_swap(KEY, 0, b"")
        self.store.keep_alive(self.store.grant_lease(10).unwrap())
        self.standin.control({"down": "drop"})
        self.store.get(KEY)
        expected = {
            CallKind.RANGE: 3,
            CallKind.TXN: 1,
            CallKind.LEASE_GRANT: 1,
            CallKind.LEASE_KEEPALIVE: 1,
            CallKind.WATCH: 0,
        }
        self.assertEqual(self.store.calls.read(), expected)
        counted = self.standin.record()["calls"]
        self.assertEqual({kind: counted[kind] for kind in CallKind}, expected)
