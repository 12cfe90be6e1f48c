"""Read the answer of an upstream: its head, then its body part by part.

`http.client` makes an `Answer` for each request on a `connections.Connection`. What is
not a whole and well-formed message (RFC 9112) raises an error. A byte that belongs to
no message is never skipped: it is the beginning of something that the upstream takes
for an answer, so its connection must not be used for another request.
"""

import math
from typing import Any, Final

import eventlet
import urllib3

from bilberrydrum.http1 import errors, framing, reading, syntax

# Bytes that are read at once. A stream whose client reads slowly keeps them meanwhile.
_READ_BYTES: Final = 16 * 1024
# Bytes that are read before other tasks get to run. Reading does not switch tasks while
# there is input, so an upstream that sends without a pause would stop the process.
_BYTES_PER_TURN: Final = 256 * 1024
_SWITCHING_PROTOCOLS: Final = 101


class SocketStream:
    """The buffered input of a socket."""

    def __init__(self, socket: Any) -> None:
        self._socket = socket
        self._buffer = b""
        # Index of the first byte of the buffer that nobody has read.
        self._begin = 0
        self._n_read_in_turn = 0

    @property
    def has_surplus(self) -> bool:
        """Whether bytes were received that nobody has read."""
        return self._begin < len(self._buffer)

    @property
    def has_empty_line(self) -> bool:
        """Whether a line without content was received."""
        return b"\r\n\r\n" in self._buffer

    def fill(self) -> None:
        """Wait until there is a byte to read, or the end."""
        if not self.has_surplus:
            self._buffer = self._receive()
            self._begin = 0

    def readline(self, size: int, /) -> bytes:
        """Return the bytes up to a line end, at most `size`; fewer at the end."""
        while True:
            limit = self._begin + size
            end = self._buffer.find(b"\n", self._begin, limit) + 1
            if end or len(self._buffer) >= limit:
                return self._take_until(end or limit)
            received = self._receive()
            if not received:
                return self._take_until(len(self._buffer))
            self._buffer = self._buffer[self._begin :] + received
            self._begin = 0

    def read1(self, size: int, /) -> bytes:
        """Return up to `size` bytes, as soon as there are any; none at the end."""
        self.fill()
        return self._take_until(min(self._begin + size, len(self._buffer)))

    def _take_until(self, end: int) -> bytes:
        taken = self._buffer[self._begin : end]
        self._begin = end
        return taken

    def _receive(self) -> bytes:
        if self._n_read_in_turn >= _BYTES_PER_TURN:
            self._n_read_in_turn = 0
            eventlet.sleep(0)
        received: bytes = self._socket.recv(_READ_BYTES)
        self._n_read_in_turn += len(received)
        return received


class Answer:
    """An upstream's answer to one request."""

    # http.client would take the socket away from the connection otherwise. Whoever
    # reads the answer closes or keeps the connection.
    will_close = False

    def __init__(
        self,
        socket: Any,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
        head_seconds: float = math.inf,
    ) -> None:
        self._stream = SocketStream(socket)
        self._head_seconds = head_seconds
        self._method = method or ""
        self._closes_connection = True
        self._body = reading.Body(self._stream, framing.Extent(framing.Framing.NONE))
        # The request and the upstream, for log lines; empty: not known.
        self.request_id = ""
        self.address = ""
        self.framing = framing.Framing.NONE
        self.status = 0
        self.headers = urllib3.HTTPHeaderDict()

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        OSError
            If the connection is reset.
        http1.errors.MessageError
            If there is no whole and well-formed head.
        """
        head = self._read_head_in_time()
        extent = framing.of_response(head, self._method)
        asked = syntax.list_of(head.fields, "connection")
        self._closes_connection = "close" in asked or head.minor_version == 0
        self._body = reading.Body(self._stream, extent)
        self.framing = extent.framing
        self.status = head.status
        for name, value in head.fields:
            self.headers.add(name, value)

    def _read_head_in_time(self) -> syntax.ResponseHead:
        self._stream.fill()
        if self._head_seconds == math.inf or self._stream.has_empty_line:
            return self._read_final_head()
        # An upstream that waits or works sends nothing. One that has begun to answer
        # sends its head at once; if it does not, it will never send the rest.
        late = errors.IncompleteError(
            f"expected the head within {self._head_seconds:g} s of its first byte"
        )
        with eventlet.Timeout(self._head_seconds, late):
            return self._read_final_head()

    def _read_final_head(self) -> syntax.ResponseHead:
        """Return the first head that is not that of an interim response."""
        n_left = reading.MAX_RESPONSE_HEAD_BYTES
        while True:
            lines = reading.read_head_lines(self._stream, n_left)
            head = syntax.parse_response_head(lines)
            if head.status == _SWITCHING_PROTOCOLS:
                raise errors.MalformedError("expected a response, got status 101")
            if head.status >= 200:
                return head
            n_left -= sum(len(line) for line in lines)

    @property
    def is_framed(self) -> bool:
        """Whether the answer marks its own end, by a length or by chunks.

        Any other answer ends where its connection is closed.
        """
        return self.framing is not framing.Framing.CLOSE

    @property
    def may_be_followed(self) -> bool:
        """Whether the next request may be sent on the connection."""
        return (
            self._body.is_complete
            and self.is_framed
            and not self._closes_connection
            and not self._stream.has_surplus
        )

    def read1(self, size: int) -> bytes:
        """Return up to `size` bytes of the body, once any arrive; none at its end.

        Raises
        ------
        OSError, http1.errors.MessageError
            If the body is truncated or malformed.
        """
        return self._body.read1(size)

    def read(self, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        OSError, http1.errors.MessageError
            If the body is truncated, malformed or too large.
        """
        data = bytearray()
        while part := self._body.read1(_READ_BYTES):
            data += part
            if len(data) > max_bytes:
                raise errors.TooLargeError(f"expected at most {max_bytes} bytes")
        return bytes(data)

    def isclosed(self) -> bool:
        """Return whether the body was read; `http.client` requires this name."""
        return self._body.is_complete

    def close(self) -> None:
        """Do nothing: the connection is closed by its owner."""
