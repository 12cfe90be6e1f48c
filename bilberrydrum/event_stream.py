"""Read an engine's event stream as it comes, into whole events.

Pure: bytes in, events out. An event is whole once the empty line after it was read; a
stream may break off in the middle of one, and what was begun is dropped then. Events
are numbered from 1.
"""

from typing import Final

import attrs

# Longest event taken; a longer one is an engine's fault and would fill the memory.
MAX_EVENT_BYTES: Final = 1024 * 1024
# Longest number taken; `int` fails for thousands of digits, with an error of its own.
_MAX_DIGITS: Final = 19


class EventError(Exception):
    """The bytes are no stream of numbered events."""


@attrs.frozen
class Event:
    """One event of a stream."""

    # Number in the stream, from 1; rises by one from event to event.
    number: int
    data: bytes
    # Weight version from this event on; None: as before.
    version: int | None = None
    # Its bytes as they came, with the empty line.
    raw: bytes = attrs.field(default=b"", eq=False, repr=False)


@attrs.define
class EventReader:
    """Cuts the bytes of one stream into events."""

    # Name of the field by which an event tells a change of the weight version.
    version_field: str
    # Number of the last whole event, at first the one that the stream goes on after; 0:
    # it is read from its beginning. The next event must follow it: with any number for
    # the first one, a stream that lacks its beginning would be read as whole.
    last_number: int = 0
    _rest: bytes = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that `data` completes.

        Raises
        ------
        EventError
            If an event is damaged or out of order.
        """
        text = (self._rest + data).replace(b"\r\n", b"\n")
        *blocks, self._rest = text.split(b"\n\n")
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventError("event too large")
        return [self._parse(block) for block in blocks if block.strip()]

    def is_between_events(self) -> bool:
        """Tell whether the stream, if it ends here, ends after a whole event."""
        return not self._rest.strip()

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
                number = _whole_number(value)
            elif name.decode("latin-1").lower() == self.version_field.lower():
                version = _whole_number(value)
        if number is None:
            raise EventError(f"event without a number: {block[:80]!r}")
        if number != self.last_number + 1:
            raise EventError(f"event {number} after {self.last_number}")
        self.last_number = number
        return Event(number, b"\n".join(lines), version, block + b"\n\n")


def _whole_number(value: bytes) -> int:
    text = value.strip()
    if not text.isdigit() or len(text) > _MAX_DIGITS:
        raise EventError(f"not a number: {text[:40]!r}")
    return int(text)
