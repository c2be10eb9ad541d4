"""One connection of an HTTP client, and the requests that the server parses from it."""

from __future__ import annotations

from contextlib import suppress
from http import HTTPStatus
from io import BytesIO
from typing import TYPE_CHECKING

from cheroot.server import HeaderReader
from cheroot.server import HTTPConnection
from cheroot.server import HTTPRequest

from ..answer import answer_error
from ..answer import encode_answer
from ..errors import ERROR_TABLE
from ..errors import DispatchError
from ..errors import ErrorKind
from ..http_messages import JSON_TYPE
from .limits import MAX_LINGER_BYTES
from .message_reader import Message
from .message_reader import MessageReader
from .refusals import RefusalCause


if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from cheroot.server import HTTPServer

    from .message_memory import MessageMemory
    from .refusals import RefusalCounts


INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
INTERNAL_ERROR = "500"


def render_refusal(error: DispatchError) -> bytes:
    """Returns the response to a message that is refused; its connection ends."""
    status = HTTPStatus(ERROR_TABLE[error.kind].status)
    body = encode_answer(answer_error(None, error))
    head = (
        f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: {JSON_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


class BodyFile(BytesIO):
    """The body as the application reads it; keeps no bytes that it has read."""

    def read(self, size: int | None = -1) -> bytes:
        """Returns the next bytes, all that are left by default."""
        data = super().read(size)
        if size is None or size < 0:
            self.seek(0)
            self.truncate()
        return data


class OutputBuffer:
    """Collects what the server writes until the connection sends it.

    Attributes:
        data: Bytes that have not been sent.
    """

    def __init__(self) -> None:
        self.data = bytearray()

    def write(self, data: bytes) -> int:
        """Appends bytes and returns their number."""
        self.data += data
        return len(data)


class ClientConnection(HTTPConnection):
    """A connection whose messages are read before a thread handles them.

    The socket never blocks. One thread at a time uses the connection: that of the
    selector, or one that handles a message. While that one waits for the application,
    the application may discard the body.

    Attributes:
        reader: Splits the received bytes into messages.
        message: The message that a thread handles, or None.
        keep_open: Whether another message may follow the answer.
        has_answered: Whether a message has been handled.
        events: Events for which the selector watches the socket; 0 if it doesn't.
        is_refused: Whether the answer is a refusal, after which input is discarded.
        discarded_bytes: Input that was discarded after a refusal.
        held_bytes: Bytes counted in the memory of messages.
    """

    rfile: BytesIO

    def __init__(
        self,
        server: HTTPServer,
        sock: socket.socket,
        *,
        max_body_bytes: int,
        memory: MessageMemory,
        refusals: RefusalCounts,
        on_close: Callable[[ClientConnection], None],
    ) -> None:
        super().__init__(server, sock, _make_file)
        # These caches refer to the connection, which would not be freed when closed.
        del self.resolve_peer_creds, self.get_peer_creds
        self.reader = MessageReader(max_body_bytes)
        self.output = OutputBuffer()
        self.wfile = self.output
        self.memory = memory
        self.refusals = refusals
        self.on_close = on_close
        self.message: Message | None = None
        self.keep_open = True
        self.has_answered = False
        self.events = 0
        self.is_refused = False
        self.is_closed = False
        self.discarded_bytes = 0
        self.held_bytes = 0

    # Used on the thread of the selector.

    def receive(self, buffer: bytearray) -> int:
        """Puts received bytes into a buffer.

        Returns:
            Their number; 0 if there are none yet.

        Raises:
            OSError: If the connection is lost.
            EOFError: If the client has closed it.
        """
        try:
            count: int = self.socket.recv_into(buffer)
        except BlockingIOError:
            return 0
        if not count:
            raise EOFError
        return count

    def discard_input(self, buffer: bytearray) -> bool:
        """Discards received bytes; returns whether the client may send more.

        Raises:
            OSError: If the connection is lost.
            EOFError: If the client has closed it.
        """
        self.discarded_bytes += self.receive(buffer)
        return self.discarded_bytes <= MAX_LINGER_BYTES

    def refuse(self, cause: RefusalCause, error: DispatchError) -> None:
        """Counts a refusal and makes its response the rest of the output."""
        self.refusals.count(cause)
        self.reader = MessageReader(0)
        self.message = None
        self.output.data += render_refusal(error)
        self.keep_open = False
        self.is_refused = True

    def send_interim_response(self) -> None:
        """Asks the client for the body if it waits for that."""
        if not self.reader.awaits_continue:
            return
        self.reader.awaits_continue = False
        with suppress(BlockingIOError):
            self.socket.send(INTERIM_RESPONSE)

    def send_output(self) -> bool:
        """Sends as much as the client takes; returns whether that was all.

        Raises:
            OSError: If the connection is lost.
        """
        output = self.output.data
        while output:
            try:
                sent = self.socket.send(output)
            except BlockingIOError:
                return False
            del output[:sent]
        return True

    def update_memory(self) -> None:
        """Counts the bytes that the connection holds now."""
        held = self.reader.held_bytes + len(self.output.data)
        if self.message is not None:
            held += len(self.message.head) + len(self.message.body)
        self.memory.adjust(held - self.held_bytes)
        self.held_bytes = held

    # Used on the threads that handle messages.

    def communicate(self) -> bool:
        """Handles the message and collects the response.

        Returns:
            Always true: the server then passes the connection back to the selector,
            which sends the response and keeps or closes the connection.
        """
        assert self.message is not None
        self.rfile = BytesIO(self.message.head)
        self.keep_open = super().communicate()  # type: ignore[no-untyped-call]
        self.message = None
        self.has_answered = True
        return True

    def discard_body(self) -> None:
        """Drops the body of the message, which the application has decoded."""
        if self.message is not None:
            self.message = Message(self.message.head, b"")
            self.update_memory()

    def close(self) -> None:
        """Closes the connection; further calls have no effect."""
        if self.is_closed:
            return
        self.is_closed = True
        self.memory.adjust(-self.held_bytes)
        self.held_bytes = 0
        self.reader = MessageReader(0)
        with suppress(OSError):
            super().close()
        self.socket.close()
        self.on_close(self)


def _make_file(*_: object) -> BytesIO:
    """Replaces the blocking files that the server would open on the socket."""
    return BytesIO()


class _HeaderReader(HeaderReader):
    """Leaves out the header field that the connection has handled itself."""

    def _allow_header(self, key_name: bytes) -> bool:
        return key_name != b"Expect"


class ClientRequest(HTTPRequest):
    """A request whose message has been read, so that no step waits for the client."""

    conn: ClientConnection
    header_reader = _HeaderReader()

    def parse_request(self) -> None:
        """Parses the head."""
        try:
            super().parse_request()
        except ValueError as error:
            self.simple_response("400 Bad Request", str(error))

    def respond(self) -> None:
        """Passes the request to the application and collects its response."""
        assert self.conn.message is not None
        self.rfile = BodyFile(self.conn.message.body)
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answers a request that the server can't parse or handle."""
        is_fault = status.startswith(INTERNAL_ERROR)
        if not is_fault:
            self.conn.refusals.count(RefusalCause.MALFORMED)
        kind = ErrorKind.INTERNAL if is_fault else ErrorKind.BAD_REQUEST
        self.close_connection = True
        text = msg or status.partition(" ")[2]
        self.conn.wfile.write(render_refusal(DispatchError(kind, text)))


ClientConnection.RequestHandlerClass = ClientRequest
