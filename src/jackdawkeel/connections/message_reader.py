"""Splits the bytes of a client into HTTP messages, within limits.

A message has its size checked before its bytes are kept, and is passed on only when it
is complete. The HTTP server then parses its head; see RFC 9112, sections 6 and 7, for
the rules on its length.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import NoReturn

from ..errors import ErrorKind
from .limits import MAX_EMPTY_LINES
from .limits import MAX_FRAMING_BYTES
from .limits import MAX_FRAMING_LINE_BYTES
from .limits import MAX_HEAD_BYTES
from .limits import MAX_HEADER_LINES
from .refusals import MessageError
from .refusals import RefusalCause


CRLF = b"\r\n"
END_OF_HEAD = b"\r\n\r\n"
FIELD_LINE = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00\r\n]*"
HEAD = re.compile(
    rb"[!-~]+ [^\x00-\x20\x7f]+ HTTP/[0-9]\.[0-9]\r\n(?:" + FIELD_LINE + rb"\r\n)*\r\n"
)
TRAILER = re.compile(FIELD_LINE)
FRAMING_FIELD = re.compile(
    rb"\r\n(content-length|transfer-encoding|expect):[ \t]*([^\r\n]*?)[ \t]*(?=\r\n)",
    re.IGNORECASE,
)
LENGTH = re.compile(rb"[0-9]{1,15}")
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[^\x00\r\n]*)?")
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")


@dataclass(frozen=True, slots=True)
class Message:
    """A complete request.

    Attributes:
        head: Request line and header fields, with the empty line that ends them.
        body: The body, without the framing of chunks and without trailers.
    """

    head: bytes
    body: bytes


class MessageReader:
    """Reads the messages of one connection.

    Attributes:
        max_body_bytes: Size of the largest body that is read.
        buffer: Received bytes that no message contains yet.
        body: The received part of the body, without the framing of chunks.
        awaits_continue: Whether the client waits for an interim response before it
            sends the body.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.buffer = bytearray()
        self._reset()

    def _reset(self) -> None:
        self.head = b""
        self.body = bytearray()
        self.position = 0
        self.scanned = 0
        self.empty_lines = 0
        self.framing_bytes = 0
        self.missing_bytes = 0
        self.awaits_continue = False
        self.is_complete = False
        # Not a bound method: the reader would then be freed only by the collector of
        # reference cycles, with all that it holds.
        self.read_next = MessageReader._read_head

    @property
    def held_bytes(self) -> int:
        """Number of bytes that the reader holds."""
        return len(self.buffer) + len(self.body) + len(self.head)

    @property
    def has_begun(self) -> bool:
        """Whether a part of a message has arrived."""
        return bool(self.buffer or self.head)

    def feed(self, data: bytes | memoryview) -> Message | None:
        """Adds received bytes.

        Returns:
            The first message that is complete, or None. Later ones stay buffered, and
            are returned by calls without data.

        Raises:
            MessageError: If the message is invalid or exceeds a limit.
        """
        self.buffer += data
        while self.read_next(self):
            if self.is_complete:
                return self._finish_message()
        del self.buffer[: self.position]
        self.position = 0
        return None

    # Each step returns whether it has completed a part of the message, and sets the
    # step that follows.

    def _read_head(self) -> bool:
        while self.buffer.startswith(CRLF):
            del self.buffer[: len(CRLF)]
            self.empty_lines += 1
            if self.empty_lines > MAX_EMPTY_LINES:
                _refuse_malformed("there are empty lines instead of a request")
        end = self.buffer.find(END_OF_HEAD, self.scanned, MAX_HEAD_BYTES)
        if end < 0:
            if len(self.buffer) >= MAX_HEAD_BYTES:
                _refuse_head(f"the head is longer than {MAX_HEAD_BYTES} bytes")
            if BARE_LINE_FEED.search(self.buffer, self.scanned):
                _refuse_malformed("lines must end with CRLF")
            self.scanned = max(0, len(self.buffer) - len(END_OF_HEAD))
            return False
        self.position = end + len(END_OF_HEAD)
        self.head = bytes(self.buffer[: self.position])
        if self.head.count(CRLF) > MAX_HEADER_LINES + 2:
            _refuse_head(f"there are more than {MAX_HEADER_LINES} header lines")
        if HEAD.fullmatch(self.head) is None:
            _refuse_malformed("the request line or a header line is invalid")
        self._prepare_body()
        return True

    def _prepare_body(self) -> None:
        fields: dict[bytes, bytes] = {}
        for name, value in FRAMING_FIELD.findall(self.head):
            if name.lower() in fields:
                _refuse_malformed("a header field that frames the message is repeated")
            fields[name.lower()] = value
        length = fields.get(b"content-length")
        coding = fields.get(b"transfer-encoding")
        self.awaits_continue = fields.get(b"expect", b"").lower() == b"100-continue"
        if coding is not None:
            if length is not None:
                _refuse_malformed("Content-Length and Transfer-Encoding are both set")
            if coding.lower() != b"chunked":
                _refuse_malformed("the only transfer coding that is supported: chunked")
            self.read_next = MessageReader._read_chunk_size
            return
        if length is not None:
            if LENGTH.fullmatch(length) is None:
                _refuse_malformed("Content-Length is invalid")
            self.missing_bytes = int(length)
        if self.missing_bytes > self.max_body_bytes:
            self._refuse_body()
        self.read_next = MessageReader._read_body

    def _read_body(self) -> bool:
        if not self._read_missing():
            return False
        self.is_complete = True
        return True

    def _read_missing(self) -> bool:
        """Moves bytes to the body; returns whether none are missing any more."""
        available = self.buffer[self.position : self.position + self.missing_bytes]
        self.body += available
        self.position += len(available)
        self.missing_bytes -= len(available)
        return not self.missing_bytes

    def _read_line(self) -> bytes | None:
        """Returns the next line of the framing without its end, or None."""
        start = self.position
        limit = start + MAX_FRAMING_LINE_BYTES
        end = self.buffer.find(CRLF, start, limit)
        if end < 0:
            if len(self.buffer) >= limit:
                _refuse_framing(f"a line is longer than {MAX_FRAMING_LINE_BYTES} bytes")
            return None
        self.position = end + len(CRLF)
        self.framing_bytes += self.position - start
        if self.framing_bytes > MAX_FRAMING_BYTES:
            _refuse_framing(
                f"chunk sizes and trailers are longer than {MAX_FRAMING_BYTES} bytes"
            )
        return bytes(self.buffer[start:end])

    def _read_chunk_size(self) -> bool:
        line = self._read_line()
        if line is None:
            return False
        match = CHUNK_SIZE.fullmatch(line)
        if match is None:
            _refuse_malformed("the size of a chunk is invalid")
        self.missing_bytes = int(match[1], 16)
        if not self.missing_bytes:
            self.read_next = MessageReader._read_trailer
            return True
        if len(self.body) + self.missing_bytes > self.max_body_bytes:
            self._refuse_body()
        self.read_next = MessageReader._read_chunk
        return True

    def _read_chunk(self) -> bool:
        if not self._read_missing():
            return False
        self.read_next = MessageReader._read_chunk_end
        return True

    def _read_chunk_end(self) -> bool:
        end = self.position + len(CRLF)
        if len(self.buffer) < end:
            return False
        if self.buffer[self.position : end] != CRLF:
            _refuse_malformed("a chunk is longer than its size")
        self.position = end
        self.framing_bytes += len(CRLF)
        self.read_next = MessageReader._read_chunk_size
        return True

    def _read_trailer(self) -> bool:
        line = self._read_line()
        if line is None:
            return False
        if not line:
            self.is_complete = True
        elif TRAILER.fullmatch(line) is None:
            _refuse_malformed("a trailer line is invalid")
        return True

    def _finish_message(self) -> Message:
        message = Message(self.head, bytes(self.body))
        del self.buffer[: self.position]
        self._reset()
        return message

    def _refuse_body(self) -> NoReturn:
        text = f"the request body is longer than {self.max_body_bytes} bytes"
        raise MessageError(RefusalCause.BODY_TOO_LARGE, ErrorKind.BODY_TOO_LARGE, text)


def _refuse_malformed(text: str) -> NoReturn:
    raise MessageError(RefusalCause.MALFORMED, ErrorKind.BAD_REQUEST, text)


def _refuse_head(text: str) -> NoReturn:
    raise MessageError(RefusalCause.HEAD_TOO_LARGE, ErrorKind.HEAD_TOO_LARGE, text)


def _refuse_framing(text: str) -> NoReturn:
    raise MessageError(RefusalCause.FRAMING_TOO_LARGE, ErrorKind.BODY_TOO_LARGE, text)
