"""Parse an engine's event stream incrementally.

The parser does no I/O: it takes bytes and returns events. An event is complete once the
empty line after it has been read. If a stream is cut off within an event, that event is
dropped. Events are numbered from 1.
"""

import re
from typing import Final

import attrs

# Longest accepted event. A longer one is an engine's fault; without a limit, such an
# event could exhaust the memory.
MAX_EVENT_BYTES: Final = 1024 * 1024
# Most digits of an accepted number. For thousands of digits, `int` raises an error that
# is not an `EventError`.
_MAX_DIGITS: Final = 19
_EVENT_END: Final = re.compile(rb"\r?\n\r?\n")
# Most bytes of an event's end that may have arrived before its last one.
_N_BYTES_BEFORE_END: Final = 3


class EventError(Exception):
    """The bytes are not a stream of numbered events."""


@attrs.frozen
class Event:
    """One event of a stream."""

    # Position in the stream: 1 for the first event, one more for each further one.
    number: int
    data: bytes
    # Weight version from this event on; None if it has not changed.
    version: int | None = None
    # The bytes of the event as received, including the empty line.
    raw: bytes = attrs.field(default=b"", eq=False, repr=False)


@attrs.define
class EventReader:
    """Splits the bytes of one stream into events."""

    # Name of the event field that contains a new weight version.
    version_field: str
    # Number of the last complete event. Its initial value is the event after which the
    # stream is resumed, 0 if it is read from the beginning. The next event must have
    # the next number: if the first event could have any number, a stream without its
    # beginning would be accepted as complete.
    last_number: int = 0
    _unparsed: bytearray = attrs.field(factory=bytearray)

    @property
    def n_unparsed(self) -> int:
        """Number of bytes of the event that is not complete yet."""
        return len(self._unparsed)

    def clear(self) -> None:
        """Drop the event that is not complete yet; nothing may be fed after that."""
        self._unparsed = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that `data` completes.

        Raises
        ------
        EventError
            If an event is damaged or out of order.
        """
        # An event is searched for its end once only. A long one that arrives byte by
        # byte would take all processor time otherwise.
        begin = max(len(self._unparsed) - _N_BYTES_BEFORE_END, 0)
        self._unparsed += data
        ends = [each.end() for each in _EVENT_END.finditer(self._unparsed, begin)]
        if ends:
            complete = bytes(self._unparsed[: ends[-1]])
            del self._unparsed[: ends[-1]]
        else:
            complete = b""
        if len(self._unparsed) > MAX_EVENT_BYTES:
            raise EventError("event too large")
        blocks = complete.replace(b"\r\n", b"\n").split(b"\n\n")
        return [self._parse(block) for block in blocks if block.strip()]

    def is_between_events(self) -> bool:
        """Return whether a stream that ends here ends after a complete event."""
        return not self._unparsed.strip()

    def _parse(self, block: bytes) -> Event:
        number = None
        version = None
        lines = []
        for line in block.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"data":
                lines.append(value)
            elif name == b"id":
                number = _parse_number(value)
            elif name.decode("latin-1").lower() == self.version_field.lower():
                version = _parse_number(value)
        if number is None:
            raise EventError(f"event without a number: {block[:80]!r}")
        if number != self.last_number + 1:
            raise EventError(f"event {number} after {self.last_number}")
        self.last_number = number
        return Event(number, b"\n".join(lines), version, block + b"\n\n")


def _parse_number(value: bytes) -> int:
    text = value.strip()
    if not text.isdigit() or len(text) > _MAX_DIGITS:
        raise EventError(f"not a number: {text[:40]!r}")
    return int(text)
