"""Messages without an end, on each address that a client can reach."""

from __future__ import annotations

from tests.clients.client_test_case import ClientTestCase
from tests.standins.crowd import Stream


CHUNKED = "Transfer-Encoding: chunked\r\n"
CHUNKED_BODY = b"2\r\n{}\r\n0\r\n"
HEAD = b"GET /unknown HTTP/1.1\r\nHost: queue.example\r\n"
LINES_A_PIECE = 1000


def make_new_names(number: int) -> bytes:
    """Returns header lines, each of a name that no other line has."""
    first = number * LINES_A_PIECE
    lines = (f"X-{first + index}: 1\r\n" for index in range(LINES_A_PIECE))
    return "".join(lines).encode()


class EndlessHeadTest(ClientTestCase):
    def test_request_line_without_end(self) -> None:
        self.assert_entry_bears(Stream.repeat(b"GET /", b"a"))

    def test_header_line_without_end(self) -> None:
        self.assert_entry_bears(Stream.repeat(HEAD + b"X-Long: ", b"a"))

    def test_folded_header_lines_without_end(self) -> None:
        self.assert_entry_bears(Stream.repeat(HEAD + b"X-Long: a\r\n", b" a\r\n"))

    def test_header_lines_of_new_names_without_end(self) -> None:
        self.assert_entry_bears(Stream(HEAD, make_new_names))

    def test_list_header_without_end(self) -> None:
        self.assert_entry_bears(Stream.repeat(HEAD, b"Accept: a/b\r\n"))

    def test_header_line_without_end_to_the_readiness_address(self) -> None:
        stream = Stream.repeat(HEAD + b"X-Long: ", b"a")
        self.assert_entry_bears(stream, self.readiness)

    def test_header_line_without_end_to_the_metrics_address(self) -> None:
        stream = Stream.repeat(HEAD + b"X-Long: ", b"a")
        self.assert_entry_bears(stream, self.metrics)

    def test_header_line_without_end_to_an_agent(self) -> None:
        self.assert_agent_bears(Stream.repeat(HEAD + b"X-Long: ", b"a"))


class EndlessChunkTest(ClientTestCase):
    def stream(self, start: bytes, pattern: bytes) -> Stream:
        """Returns a chunked submission that starts and goes on as given."""
        return Stream.repeat(self.make_job_head(CHUNKED) + start, pattern)

    def test_trailer_line_without_end(self) -> None:
        self.assert_entry_bears(self.stream(CHUNKED_BODY + b"X-Long: ", b"a"))

    def test_short_trailer_lines_without_end(self) -> None:
        self.assert_entry_bears(self.stream(CHUNKED_BODY, b"X-Trailer: a\r\n"))

    def test_trailer_line_without_end_to_an_agent(self) -> None:
        self.assert_agent_bears(self.stream(CHUNKED_BODY + b"X-Long: ", b"a"))

    def test_chunk_size_line_without_end(self) -> None:
        self.assert_entry_bears(self.stream(b"", b"0"))

    def test_chunk_extension_without_end(self) -> None:
        self.assert_entry_bears(self.stream(b"2;name=", b"a"))

    def test_chunk_larger_than_any_limit(self) -> None:
        self.assert_entry_bears(self.stream(b"7fffffff\r\n", b"a"))

    def test_chunk_with_a_negative_size(self) -> None:
        self.assert_entry_bears(self.stream(b"-5\r\n", b"a"))

    def test_chunks_of_one_byte_without_end(self) -> None:
        self.assert_entry_bears(self.stream(b"", b"1\r\na\r\n"))

    def test_body_with_a_negative_length(self) -> None:
        head = self.make_job_head("Content-Length: -5\r\n")
        self.assert_entry_bears(Stream.repeat(head, b"a"))
