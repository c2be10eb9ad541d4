"""Tests that one odd entry of another writer is dropped while the others hold."""

from __future__ import annotations

import unittest
from unittest.mock import Mock
from unittest.mock import patch

import msgspec
from result import Ok

from jackdawkeel.errors import ErrorKind
from jackdawkeel.messages import PeerAddress
from jackdawkeel.platform.configuration import decode_configuration
from jackdawkeel.platform.heartbeats import decode_heartbeat
from jackdawkeel.platform.store import PlatformStore
from jackdawkeel.platform.store_timeouts import StoreTimeouts
from jackdawkeel.platform.submissions import decode_job
from jackdawkeel.platform.target_runtime import PlatformTargetRuntime
from jackdawkeel.scheduling.target_runtime import Listing
from jackdawkeel.scheduling.target_runtime import Run
from jackdawkeel.setting_values import parse_address
from jackdawkeel.store.entries import ENTRY_PREFIX
from jackdawkeel.store.entries import list_entries
from jackdawkeel.store.interface import GetPrefixResult
from jackdawkeel.store.interface import KeyValue
from tests.fakes import make_log
from tests.platform_adapter.test_heartbeats import HEARTBEAT
from tests.platform_adapter.test_submissions import JOB_ID
from tests.platform_adapter.test_submissions import STEP
from tests.platform_adapter.test_submissions import encode_job


DEEP = b"[" * 100_000 + b"]" * 100_000
TOO_LARGE = 2**64


def insert(body: bytes, marker: str, value: bytes) -> bytes:
    """Replaces a JSON string by an encoded value."""
    return body.replace(msgspec.json.encode(marker), value)


class OddHeartbeatTest(unittest.TestCase):
    def test_deeply_nested_heartbeat_is_rejected(self) -> None:
        for field in ("room", "labels", "unknown"):
            with self.subTest(field):
                body = insert(
                    msgspec.json.encode(HEARTBEAT | {field: "deep"}), "deep", DEEP
                )
                self.assertTrue(decode_heartbeat("i-1", body).is_err())

    def test_heartbeat_with_a_number_out_of_range_is_rejected(self) -> None:
        room = {"cpu": 1, "memMb": 1, "gpu": 1}
        cases: list[dict[str, object]] = [
            {name: number}
            for name in ("sequence", "born", "remainingMs")
            for number in (TOO_LARGE, -1, 10**400)
        ]
        cases += [{"room": room | {name: TOO_LARGE}} for name in room]
        cases += [{"room": room | {name: -1}} for name in room]
        for fields in cases:
            with self.subTest(fields):
                body = msgspec.json.encode(HEARTBEAT | fields)
                self.assertTrue(decode_heartbeat("i-1", body).is_err())


class OddListingTest(unittest.TestCase):
    def list_runs(self, running: bytes, finished: bytes = b"[]") -> Listing:
        """Returns a target's listing with these encoded rows."""
        body = b'{"clockMs":5,"running":%s,"finished":%s}' % (running, finished)
        runtime = PlatformTargetRuntime(parse_address("127.0.0.1:1"))
        with patch.object(runtime.connections, "post", return_value=(200, body)):
            listing = runtime.hold(None, 1, 0, 0.0)
        assert isinstance(listing, Listing), listing
        return listing

    def test_odd_rows_do_not_hide_the_other_runs(self) -> None:
        rows = {
            "deeply nested": DEEP,
            "deep field": b'["b",1,"",%s]' % DEEP,
            "no list": b"5",
            "null": b"null",
            "object": b'{"a":[1]}',
            "short": b'["b"]',
            "number too large": b'["b",%d,"",1]' % TOO_LARGE,
            "number of 400 digits": b'["b",1,"",%d]' % 10**400,
            "negative": b'["b",-1,"",1]',
        }
        for name, row in rows.items():
            with self.subTest(name):
                listing = self.list_runs(b'[["a",1,"",50],%s,["c",2,"",7]]' % row)
                runs = [task.run for task in listing.running]
                self.assertEqual(runs, [Run("a", 1), Run("c", 2)])

    def test_odd_ends_do_not_hide_the_other_ends(self) -> None:
        rows = {
            "deeply nested": DEEP,
            "no list": b"5",
            "number too large": b'[%d,"b",1,"done",""]' % TOO_LARGE,
            "negative": b'[-1,"b",1,"done",""]',
        }
        for name, row in rows.items():
            with self.subTest(name):
                finished = b'[[1,"a",1,"done",""],%s]' % row
                listing = self.list_runs(b"[]", finished)
                self.assertEqual([end.run for end in listing.ended], [Run("a", 1)])

    def test_brackets_in_a_string_are_no_nesting(self) -> None:
        task = b"[" * 2000 + b'\\"' + b"{" * 2000
        listing = self.list_runs(b'[["%s",1,"",50],%s]' % (task, DEEP))
        (running,) = listing.running
        self.assertEqual(running.run.task, task.decode().replace("\\", ""))


class OddSubmissionTest(unittest.TestCase):
    def test_number_out_of_range_is_a_bad_request_that_names_the_field(self) -> None:
        for name in ("count", "cpu", "memMb", "gpu", "estimateMs", "maxPerServer"):
            for number in (TOO_LARGE, 10**400):
                with self.subTest(name, number=number):
                    body = encode_job(STEP | {name: number})
                    error = decode_job(JOB_ID, body).unwrap_err().error
                    self.assertEqual(error.kind, ErrorKind.BAD_REQUEST)
                    self.assertIn(name, error.message)

    def test_deeply_nested_job_is_a_bad_request(self) -> None:
        body = insert(encode_job(STEP, unknown="deep"), "deep", DEEP)
        error = decode_job(JOB_ID, body).unwrap_err().error
        self.assertEqual(error.kind, ErrorKind.BAD_REQUEST)


class OddStoreEntryTest(unittest.TestCase):
    def test_deeply_nested_configuration_is_rejected(self) -> None:
        value = b'{"version":1,"unknown":%s}' % DEEP
        self.assertTrue(decode_configuration(value).is_err())

    def test_deeply_nested_responses_of_the_store_are_errors(self) -> None:
        timeouts = StoreTimeouts(1.0, 1000, 2.0)
        store = PlatformStore(parse_address("127.0.0.1:1"), timeouts)
        response = Mock(status=200, data=b'{"unknown":%s}' % DEEP)
        with patch.object(store.pool, "request", return_value=response):
            self.assertTrue(store.get_prefix(b"a").is_err())
        watch = store.watch_prefix(b"a", 1)
        with watch, patch.object(watch, "_request", return_value=response):
            self.assertTrue(watch.read().is_err())

    def test_odd_entries_do_not_hide_the_other_entries(self) -> None:
        entry = PeerAddress("1" * 16, "tcp://10.0.0.1:7000")
        links = (
            b"tcp://10.0.0.1:65536",
            b"tcp://10.0.0.1:0",
            b"tcp://10.0.0.1:" + b"9" * 5000,
            b"tcp://host.example:7000",
            b"tcp://%s:7000" % (b"a" * 300),
            b"tcp://a\x00b:7000",
            b"tcp://:7000",
            b"\xff\xfe",
            DEEP,
        )
        items = [
            KeyValue(ENTRY_PREFIX + b"%016x" % number, link, 1)
            for number, link in enumerate(links)
        ]
        key = ENTRY_PREFIX + entry.incarnation.encode()
        good = KeyValue(key, entry.link.encode(), 1)
        odd_key = KeyValue(ENTRY_PREFIX + b"\xff", entry.link.encode(), 1)
        store = Mock()
        store.get_prefix.return_value = Ok(GetPrefixResult([*items, odd_key, good], 5))
        self.assertEqual(list_entries(store, make_log()).unwrap(), [entry])


if __name__ == "__main__":
    unittest.main()
