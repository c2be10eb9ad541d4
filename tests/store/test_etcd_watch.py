"""Contract tests of watches: resumption, compaction, silence and closing."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import ClassVar

from jackdawkeel.store.call_counter import CallKind
from jackdawkeel.store.interface import StoreErrorKind
from tests.standins.processes import wait_until

from .store_test_case import KEY
from .store_test_case import WAIT_S
from .store_test_case import StoreTestCase


if TYPE_CHECKING:
    from jackdawkeel.store.interface import KeyChange
    from jackdawkeel.store.interface import StoreError
    from jackdawkeel.store.interface import Watch


SILENCE_S = 0.3


class WatchTest(StoreTestCase):
    """A watch returns every change once, despite outages and silent streams.

    A change that a watch skips would leave its reader with an old value.
    """

    options: ClassVar[dict[str, float]] = {"watch_silence_s": SILENCE_S}

    def setUp(self) -> None:
        super().setUp()
        self.reader = self.enterContext(ThreadPoolExecutor(1))

    def put(self, value: bytes, key: bytes = KEY) -> int:
        with self.standin.data.changed:
            revision = self.standin.data.revision + 1
            self.standin.data.put(key, value, 0, revision)
            self.standin.data.commit(revision)
            return revision

    def count_watches(self) -> int:
        return int(self.standin.record()["calls"]["watch"])

    def read_values(self, watch: Watch, count: int) -> list[bytes | None]:
        changes: list[KeyChange] = []
        while len(changes) < count:
            changes += self.reader.submit(watch.read).result(WAIT_S).unwrap()
        return [change.value for change in changes]

    def read_error(self, watch: Watch) -> StoreError:
        return self.reader.submit(watch.read).result(WAIT_S).unwrap_err()

    def test_watch_returns_history_then_new_changes(self) -> None:
        start = self.put(b"one")
        self.put(b"two")
        with self.store.watch(KEY, start) as watch:
            self.assertEqual(self.read_values(watch, 2), [b"one", b"two"])
            waiting = self.reader.submit(watch.read)
            self.put(b"other", key=b"/test/key2")
            revision = self.put(b"three")
            (change,) = waiting.result(WAIT_S).unwrap()
            self.assertEqual((change.key, change.value), (KEY, b"three"))
            self.assertEqual(change.mod_revision, revision)

    def test_prefix_watch_returns_deletions(self) -> None:
        start = self.put(b"one", key=b"/a/1")
        self.put(b"no", key=b"/b")
        with self.standin.data.changed:
            revision = self.standin.data.revision + 1
            self.standin.data.delete_range(b"/a/1", b"", revision)
            self.standin.data.commit(revision)
        with self.store.watch_prefix(b"/a/", start) as watch:
            self.assertEqual(self.read_values(watch, 2), [b"one", None])

    def test_resumes_without_a_gap_after_an_outage(self) -> None:
        start = self.put(b"one")
        for down in ("refuse", "drop"):
            with self.subTest(down), self.store.watch(KEY, start) as watch:
                self.assertEqual(self.read_values(watch, 1), [b"one"])
                self.standin.control({"down": down})
                for _ in range(2):
                    kind = self.read_error(watch).kind
                    self.assertEqual(kind, StoreErrorKind.UNAVAILABLE)
                start = self.put(b"missed")
                self.put(b"last")
                self.standin.control({"down": ""})
                self.assertEqual(self.read_values(watch, 2), [b"missed", b"last"])
                start = self.put(b"one")

    def test_silent_watch_is_replaced_without_a_gap(self) -> None:
        start = self.put(b"one")
        with self.store.watch(KEY, start) as watch:
            self.assertEqual(self.read_values(watch, 1), [b"one"])
            self.standin.control({"silence_watches": True})
            self.put(b"two")
            self.put(b"three")
            self.assertEqual(self.read_values(watch, 2), [b"two", b"three"])
        self.assertGreaterEqual(self.count_watches(), 2)
        self.assertEqual(self.store.calls.read()[CallKind.WATCH], self.count_watches())

    def test_reconnected_watch_resumes_without_a_gap(self) -> None:
        store = self.open_store(watch_silence_s=WAIT_S)
        start = self.put(b"one")
        with store.watch(KEY, start) as watch:
            self.assertEqual(self.read_values(watch, 1), [b"one"])
            waiting = self.reader.submit(watch.read)
            self.standin.control({"silence_watches": True})
            self.put(b"two")
            watch.reconnect()
            (change,) = waiting.result(WAIT_S / 2).unwrap()
            self.assertEqual(change.value, b"two")
        self.assertEqual(self.count_watches(), 2)

    def test_compaction_is_reported(self) -> None:
        start = self.put(b"one")
        self.put(b"two")
        last = self.put(b"three")
        self.standin.control({"compact": last})
        with self.store.watch(KEY, start) as watch:
            error = self.read_error(watch)
        self.assertEqual(error.kind, StoreErrorKind.COMPACTED)
        self.assertEqual(error.compact_revision, last)
        with self.store.watch(KEY, last) as watch:
            self.assertEqual(self.read_values(watch, 1), [b"three"])

    def test_compaction_during_an_outage_is_reported(self) -> None:
        start = self.put(b"one")
        with self.store.watch(KEY, start) as watch:
            self.assertEqual(self.read_values(watch, 1), [b"one"])
            self.standin.control({"down": "drop"})
            self.read_error(watch)
            self.put(b"two")
            self.put(b"three")
            self.standin.control({"down": "", "compact": 0})
            error = self.read_error(watch)
        self.assertEqual(error.kind, StoreErrorKind.COMPACTED)

    def test_resumes_after_the_last_received_change(self) -> None:
        start = self.put(b"one")
        self.put(b"two")
        with self.store.watch(KEY, start) as watch:
            self.assertEqual(self.read_values(watch, 2), [b"one", b"two"])
            self.standin.control({"silence_watches": True})
            last = self.put(b"three")
            self.standin.control({"compact": last})
            self.assertEqual(self.read_values(watch, 1), [b"three"])

    def test_close_ends_a_waiting_read(self) -> None:
        store = self.open_store(watch_silence_s=2 * WAIT_S)
        watch = store.watch(KEY, 1)
        waiting = self.reader.submit(watch.read)
        wait_until(lambda: self.count_watches() == 1, "the watch to open", WAIT_S)
        watch.close()
        error = waiting.result(WAIT_S).unwrap_err()
        self.assertEqual(error.kind, StoreErrorKind.CLOSED)
        self.assertIsNone(watch.stream)
        self.assertEqual(watch.read().unwrap_err().kind, StoreErrorKind.CLOSED)

    def test_close_races_with_a_waiting_read(self) -> None:
        for _ in range(50):
            watch = self.store.watch(KEY, 1)
            waiting = self.reader.submit(watch.read)
            closer = threading.Thread(target=watch.close)
            closer.start()
            error = waiting.result(WAIT_S).unwrap_err()
            self.assertEqual(error.kind, StoreErrorKind.CLOSED)
            closer.join()
            self.assertIsNone(watch.stream)

    def test_close_before_the_first_read_opens_no_connection(self) -> None:
        with self.store.watch(KEY, 1) as watch:
            pass
        self.assertEqual(watch.read().unwrap_err().kind, StoreErrorKind.CLOSED)
        self.assertEqual(self.count_watches(), 0)
