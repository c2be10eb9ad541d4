"""Valid forms of a message are served, and ambiguous ones are refused."""

from __future__ import annotations

import json
import socket
from http.client import parse_headers

from tests.clients.client_test_case import ANSWER_TIMEOUT_S
from tests.clients.client_test_case import JOB
from tests.clients.client_test_case import ClientTestCase
from tests.standins.platform_fleet import PREFIX


CHUNKED = "Transfer-Encoding: chunked\r\n"


def make_chunks(body: bytes, size: int, extension: bytes = b"") -> bytes:
    """Returns a body in chunks of a size, without the last one."""
    chunks = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(
        b"%x%b\r\n%b\r\n" % (len(chunk), extension, chunk) for chunk in chunks
    )


class MessageFormTest(ClientTestCase):
    def setUp(self) -> None:
        super().setUp()
        host, _, port = self.callers.rpartition(":")
        self.connection = self.enterContext(
            socket.create_connection((host, int(port)), ANSWER_TIMEOUT_S)
        )
        self.reader = self.enterContext(self.connection.makefile("rb"))
        self.body = json.dumps(JOB).encode()

    def read_status(self) -> int:
        """Reads one answer and returns its status."""
        status = int(self.reader.readline().split()[1])
        headers = parse_headers(self.reader)
        self.reader.read(int(headers["Content-Length"]))
        return status

    def send(self, data: bytes) -> int:
        """Sends bytes and returns the status of the next answer."""
        self.connection.sendall(data)
        return self.read_status()

    def make_chunked(self, chunks: bytes, fields: str = "") -> bytes:
        """Returns a chunked submission."""
        return self.make_job_head(CHUNKED + fields) + chunks

    def is_closed(self) -> bool:
        """Returns whether the server has closed the connection."""
        try:
            return self.reader.read(1) == b""
        except ConnectionError:
            return True

    def assert_refused(self, data: bytes) -> None:
        """Checks that a message has one answer, 400 or 501, and ends the connection."""
        following = f"GET {PREFIX} HTTP/1.1\r\nHost: queue.example\r\n\r\n".encode()
        self.assertIn(self.send(data + following), (400, 501))
        self.assertTrue(self.is_closed())
        self.assertEqual([], self.fleet.runs())
        self.assert_entry_serves()

    def test_chunks_with_extensions(self) -> None:
        chunks = make_chunks(self.body, 20, b";name=value") + b"0\r\n\r\n"
        self.assertEqual(200, self.send(self.make_chunked(chunks)))

    def test_requests_after_trailers(self) -> None:
        last = b"0\r\nX-First: 1\r\nX-Second: 2\r\n\r\n"
        for _ in range(2):
            chunks = make_chunks(self.body, 20) + last
            self.assertEqual(200, self.send(self.make_chunked(chunks)))
        self.assertEqual(200, self.send(self.make_job_request()))

    def test_chunks_of_one_byte(self) -> None:
        chunks = make_chunks(self.body, 1) + b"0\r\n\r\n"
        self.assertEqual(200, self.send(self.make_chunked(chunks)))

    def test_request_in_pieces_of_one_byte(self) -> None:
        for byte in self.make_job_request():
            self.connection.sendall(bytes([byte]))
        self.assertEqual(200, self.read_status())

    def test_body_that_waits_for_the_interim_answer(self) -> None:
        fields = f"Content-Length: {len(self.body)}\r\nExpect: 100-continue\r\n"
        self.connection.sendall(self.make_job_head(fields))
        interim = [self.reader.readline() for _ in range(2)]
        self.assertEqual([b"HTTP/1.1 100 Continue\r\n", b"\r\n"], interim)
        self.assertEqual(200, self.send(self.body))

    def test_two_requests_in_one_piece(self) -> None:
        requests = self.make_job_request() + self.make_job_request()
        self.connection.sendall(requests)
        self.assertEqual([200, 200], [self.read_status(), self.read_status()])

    def test_header_names_in_any_case(self) -> None:
        request = self.make_job_request()
        for name in (b"Content-Length", b"Host", b"Content-Type"):
            request = request.replace(name, name.swapcase())
        self.assertEqual(200, self.send(request))

    def test_request_after_an_empty_line(self) -> None:
        self.assertEqual(200, self.send(self.make_job_request() + b"\r\n"))
        self.assertEqual(200, self.send(self.make_job_request()))

    def test_body_of_a_refused_request_is_not_a_request(self) -> None:
        inner = f"GET {PREFIX} HTTP/1.1\r\nHost: queue.example\r\n\r\n".encode()
        fields = f"Content-Length: {len(inner)}\r\n"
        request = self.make_job_head(fields, target="/unknown") + inner
        self.assertEqual(404, self.send(request))
        self.assertEqual(200, self.send(self.make_job_request()))

    def test_length_of_both_kinds(self) -> None:
        chunks = make_chunks(self.body, 20) + b"0\r\n\r\n"
        fields = f"Content-Length: {len(self.body)}\r\n"
        self.assert_refused(self.make_chunked(chunks, fields))

    def test_two_lengths(self) -> None:
        fields = f"Content-Length: 5\r\nContent-Length: {len(self.body)}\r\n"
        self.assert_refused(self.make_job_head(fields) + self.body)

    def test_length_with_a_sign(self) -> None:
        fields = f"Content-Length: +{len(self.body)}\r\n"
        self.assert_refused(self.make_job_head(fields) + self.body)

    def test_negative_length(self) -> None:
        self.assert_refused(self.make_job_head("Content-Length: -1\r\n") + self.body)

    def test_chunk_size_with_a_prefix(self) -> None:
        chunks = b"0x%x\r\n%b\r\n0\r\n\r\n" % (len(self.body), self.body)
        self.assert_refused(self.make_chunked(chunks))

    def test_space_before_the_colon(self) -> None:
        fields = f"Content-Length : {len(self.body)}\r\n"
        self.assert_refused(self.make_job_head(fields) + self.body)

    def test_another_transfer_coding(self) -> None:
        fields = "Transfer-Encoding: gzip, chunked\r\n"
        self.assert_refused(self.make_job_head(fields) + self.body)
