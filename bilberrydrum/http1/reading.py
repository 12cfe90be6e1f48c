"""Read heads and bodies from a buffered connection, within limits on their bytes.

The time that they may take is limited by the callers, which know how long they may wait
for the message as a whole.
"""

import re
from collections.abc import Callable
from typing import Final, Protocol

from bilberrydrum.http1 import errors, framing, syntax

# Largest head of a response, in bytes, including those of interim responses.
MAX_RESPONSE_HEAD_BYTES: Final = 16 * 1024
# Most lines of a head. As an object, a line takes many times its bytes.
MAX_HEAD_LINES: Final = 100
# Longest line that begins a chunk: a size, and extensions, which are not used.
MAX_CHUNK_LINE_BYTES: Final = 4 * 1024
# Largest trailer section of a chunked body.
MAX_TRAILER_BYTES: Final = 16 * 1024

_LINE_END: Final = b"\r\n"
_CHUNK_LINE: Final = re.compile(
    rb"([0-9A-Fa-f]{1,16})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?\r\n"
)


class Stream(Protocol):
    """A buffered connection."""

    def readline(self, size: int, /) -> bytes:
        """Return the bytes up to a line end, at most `size`; fewer at the end."""

    def read1(self, size: int, /) -> bytes:
        """Return up to `size` bytes, as soon as there are any; none at the end."""


def _ignore(n_bytes: int) -> None:
    pass


def read_head_lines(
    stream: Stream, max_bytes: int, record: Callable[[int], object] = _ignore
) -> list[bytes]:
    """Return the lines of a head without the empty line that ends it.

    `record` is called with the bytes read so far after each line.

    Raises
    ------
    errors.MessageError
        If the data ends before the empty line, or the head is too large.
        `errors.NoMessageError` if there is no byte at all.
    """
    lines: list[bytes] = []
    n_left = max_bytes
    while True:
        line = stream.readline(n_left + 1)
        if not line and not lines:
            raise errors.NoMessageError("the data ended before a head")
        _check_line(line, n_left)
        if line == _LINE_END:
            return lines
        n_left -= len(line)
        lines.append(line)
        record(max_bytes - n_left)
        if len(lines) > MAX_HEAD_LINES:
            raise errors.TooLargeError(f"expected at most {MAX_HEAD_LINES} lines")


def _check_line(line: bytes, max_bytes: int) -> None:
    if len(line) > max_bytes:
        raise errors.TooLargeError(f"expected a line end within {max_bytes} bytes")
    if not line.endswith(b"\n"):
        raise errors.IncompleteError(
            f"the data ended after {len(line)} bytes of a line"
        )
    if not line.endswith(_LINE_END):
        raise errors.MalformedError("expected CRLF at the end of a line, got LF")


class Body:
    """The body of one message."""

    def __init__(self, stream: Stream, extent: framing.Extent) -> None:
        self._stream = stream
        self._framing = extent.framing
        # Bytes left of the body or, if it is chunked, of the current chunk.
        self._n_left = extent.n_bytes
        self._has_chunk = False
        # Whether all of the body was read.
        self.is_complete = extent.framing is framing.Framing.NONE
        if extent.framing is framing.Framing.LENGTH and not extent.n_bytes:
            self.is_complete = True

    def read1(self, size: int) -> bytes:
        """Return up to `size` bytes as soon as there are any; none at the end.

        Raises
        ------
        errors.MessageError
            If the body ends early or is malformed.
        """
        if self.is_complete:
            return b""
        if self._framing is framing.Framing.CLOSE:
            data = self._stream.read1(size)
            self.is_complete = not data
            return data
        if self._framing is framing.Framing.CHUNKS and not self._n_left:
            self._begin_chunk()
            if self.is_complete:
                return b""
        return self._read_counted(size)

    def _read_counted(self, size: int) -> bytes:
        data = self._stream.read1(min(size, self._n_left))
        if not data:
            raise errors.IncompleteError(f"the data ended {self._n_left} bytes early")
        self._n_left -= len(data)
        if not self._n_left and self._framing is framing.Framing.LENGTH:
            self.is_complete = True
        return data

    def _begin_chunk(self) -> None:
        if self._has_chunk:
            self._end_chunk()
        line = self._stream.readline(MAX_CHUNK_LINE_BYTES + 1)
        _check_line(line, MAX_CHUNK_LINE_BYTES)
        matched = _CHUNK_LINE.fullmatch(line)
        if matched is None:
            raise errors.MalformedError(f"expected a chunk size, got {line[:60]!r}")
        self._has_chunk = True
        self._n_left = int(matched.group(1), 16)
        if not self._n_left:
            # The trailers are dropped (RFC 9112, 7.1.2), but without the empty line
            # after them the body is not whole.
            syntax.parse_fields(read_head_lines(self._stream, MAX_TRAILER_BYTES))
            self.is_complete = True

    def _end_chunk(self) -> None:
        end = self._stream.readline(len(_LINE_END))
        if end == _LINE_END:
            return
        if _LINE_END.startswith(end):
            raise errors.IncompleteError("the data ended after a chunk")
        raise errors.MalformedError(f"expected CRLF after a chunk, got {end!r}")
