"""Tests of the message reader: forms of a request, limits and ambiguous lengths."""

from __future__ import annotations

import unittest

from jackdawkeel.connections.limits import MAX_EMPTY_LINES
from jackdawkeel.connections.limits import MAX_FRAMING_BYTES
from jackdawkeel.connections.limits import MAX_FRAMING_LINE_BYTES
from jackdawkeel.connections.limits import MAX_HEAD_BYTES
from jackdawkeel.connections.limits import MAX_HEADER_LINES
from jackdawkeel.connections.message_reader import MessageReader
from jackdawkeel.connections.refusals import MessageError
from jackdawkeel.connections.refusals import RefusalCause


MAX_BODY_BYTES = 1000
GET = b"GET /path HTTP/1.1\r\nHost: a\r\n"
POST = b"POST /path HTTP/1.1\r\nHost: a\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def make_post(length: bytes, body: bytes = b"") -> bytes:
    """Returns a request with a Content-Length."""
    return POST + b"Content-Length: " + length + b"\r\n\r\n" + body


class MessageReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader = MessageReader(MAX_BODY_BYTES)

    def read_all(self, data: bytes) -> list[bytes]:
        """Returns the bodies of all messages in some bytes."""
        bodies = []
        message = self.reader.feed(data)
        while message is not None:
            bodies.append(message.body)
            message = self.reader.feed(b"")
        return bodies

    def test_valid_forms(self) -> None:
        cases = {
            "no body": (GET + b"\r\n", [b""]),
            "a length": (make_post(b"5", b"abcde"), [b"abcde"]),
            "a length of 0": (make_post(b"0"), [b""]),
            "the largest body": (
                make_post(b"%d" % MAX_BODY_BYTES, b"a" * MAX_BODY_BYTES),
                [b"a" * MAX_BODY_BYTES],
            ),
            "chunks": (CHUNKED + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", [b"abcde"]),
            "chunk sizes in any case": (
                CHUNKED + b"00a\r\n0123456789\r\nA\r\n0123456789\r\n000\r\n\r\n",
                [b"01234567890123456789"],
            ),
            "extensions": (CHUNKED + b'3 ;a="b;c"\r\nabc\r\n0;x\r\n\r\n', [b"abc"]),
            "trailers": (CHUNKED + b"0\r\nA: 1\r\nB: 2\r\n\r\n", [b""]),
            "two messages": (make_post(b"1", b"a") * 2, [b"a", b"a"]),
            "a message behind trailers": (
                CHUNKED + b"0\r\nA: 1\r\n\r\n" + make_post(b"1", b"a"),
                [b"", b"a"],
            ),
            "empty lines before": (b"\r\n" * MAX_EMPTY_LINES + GET + b"\r\n", [b""]),
            "most header lines": (
                GET + b"X: 1\r\n" * (MAX_HEADER_LINES - 1) + b"\r\n",
                [b""],
            ),
        }
        for name, (data, bodies) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.assertEqual(bodies, self.read_all(data))
                self.assertFalse(self.reader.has_begun)
            with self.subTest(f"{name}, a byte at a time"):
                self.setUp()
                pieces = [data[index : index + 1] for index in range(len(data))]
                self.assertEqual(
                    bodies, [body for piece in pieces for body in self.read_all(piece)]
                )

    def test_refused_messages(self) -> None:
        cases = {
            RefusalCause.MALFORMED: [
                b"GET /path\r\n\r\n",
                b"GET  /path HTTP/1.1\r\n\r\n",
                b"GET /path HTTP/1.1\n\n",
                b"GET /path HTTP/1.1\r\nHost: a\n\r\n\r\n",
                b"\r\n" * (MAX_EMPTY_LINES + 1),
                GET + b"Name : value\r\n\r\n",
                GET + b" folded\r\n\r\n",
                GET + b"no colon\r\n\r\n",
                GET + b"Name: a\0b\r\n\r\n",
                make_post(b"-1"),
                make_post(b"+1"),
                make_post(b"1, 1"),
                make_post(b"0x1"),
                make_post(b"1_0"),
                make_post(b""),
                POST + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\n",
                POST + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
                CHUNKED + b"0x3\r\n",
                CHUNKED + b"-3\r\n",
                CHUNKED + b"+3\r\n",
                CHUNKED + b"3_0\r\n",
                CHUNKED + b"\r\n",
                CHUNKED + b"3\r\nabcd\r\n",
                CHUNKED + b"0\r\nno colon\r\n",
            ],
            RefusalCause.HEAD_TOO_LARGE: [
                b"GET /" + b"a" * MAX_HEAD_BYTES,
                GET + b"X: " + b"a" * MAX_HEAD_BYTES,
                GET + b"X: 1\r\n" * MAX_HEADER_LINES + b"\r\n",
            ],
            RefusalCause.BODY_TOO_LARGE: [
                make_post(b"%d" % (MAX_BODY_BYTES + 1)),
                make_post(b"9" * 15),
                CHUNKED + b"%x\r\n" % (MAX_BODY_BYTES + 1),
                CHUNKED + b"%x\r\n%b\r\n1\r\n" % (MAX_BODY_BYTES, bytes(1000)),
            ],
            RefusalCause.FRAMING_TOO_LARGE: [
                CHUNKED + b"0" * MAX_FRAMING_LINE_BYTES,
                CHUNKED + b"1;" + b"a" * MAX_FRAMING_LINE_BYTES,
                CHUNKED + b"0\r\nX: " + b"a" * MAX_FRAMING_LINE_BYTES,
                CHUNKED + b"0\r\n" + b"X: 1\r\n" * (MAX_FRAMING_BYTES // 6 + 1),
            ],
        }
        for cause, messages in cases.items():
            for data in messages:
                with self.subTest(data[:100]):
                    self.setUp()
                    with self.assertRaises(MessageError) as caught:
                        self.reader.feed(data)
                    self.assertIs(cause, caught.exception.cause)

    def test_interim_response_is_awaited_until_the_body_arrives(self) -> None:
        head = POST + b"Content-Length: 1\r\nExpect: 100-continue\r\n\r\n"
        self.assertIsNone(self.reader.feed(head))
        self.assertTrue(self.reader.awaits_continue)
        self.assertIsNotNone(self.reader.feed(b"a"))
        self.assertFalse(self.reader.awaits_continue)

    def test_held_bytes_are_those_of_the_incomplete_message(self) -> None:
        data = make_post(b"10", b"abc")
        self.reader.feed(data)
        self.assertEqual(len(data), self.reader.held_bytes)
        self.reader.feed(b"defghij")
        self.assertEqual(0, self.reader.held_bytes)
