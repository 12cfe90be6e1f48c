"""The replicated log's entries, as held in memory.

Entries up to `base_index` are covered by a snapshot. Commands stay opaque bytes until
they are applied, so the cost of replication does not depend on their content.
"""

import functools
from collections.abc import Iterable, Sequence
from typing import Any, Final

import attrs
import msgpack

from bilberrydrum import packing

# The first entry of a leader's term. Its commit also commits entries of earlier terms.
KIND_NOOP: Final = 0
# A command in a client session: a packed `sessions.SessionCommand`.
KIND_SESSION: Final = 1
# A command of the leader's own process: the codec bytes of the command.
KIND_LOCAL: Final = 2
# The codec bytes of a `membership.Membership`.
KIND_MEMBERSHIP: Final = 3
# A new client session, whose id is the entry's index.
KIND_OPEN_SESSION: Final = 4


@attrs.frozen
class Entry:
    """One entry of the log."""

    index: int
    term: int
    # Wall clock of the leader that appended it, in seconds; never below that of the
    # previous entry.
    time: float
    kind: int
    data: bytes


def pack(entries: Iterable[Entry]) -> bytes:
    """Encode `entries` for messages and for the disk."""
    given = tuple(entries)
    if any(len(each.data) >= packing.LARGE_BYTES for each in given):
        return _pack_large(given)
    _pack_large.cache_clear()
    return _pack(given)


def _pack(entries: tuple[Entry, ...]) -> bytes:
    rows = [(e.index, e.term, e.time, e.kind, e.data) for e in entries]
    return packing.pack(rows)


# All followers and the disk get the same bytes.
_pack_large: Final = functools.lru_cache(maxsize=1)(_pack)


def forget_packed() -> None:
    """Free the encoded form of large entries, which was sent to the followers."""
    _pack_large.cache_clear()


def unpack(data: bytes) -> list[Entry]:
    """Decode the entries encoded by `pack`."""
    rows: list[Any] = msgpack.unpackb(data)
    return [Entry(*row) for row in rows]


class Log:
    """The entries after the base, and the base's index, term and time.

    The base is the last entry that was removed because a snapshot covers it.
    """

    def __init__(
        self,
        base_index: int = 0,
        base_term: int = 0,
        base_time: float = 0.0,
        entries: Sequence[Entry] = (),
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.base_time = base_time
        self._entries = list(entries)
        self.n_bytes = sum(len(each.data) for each in self._entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base when there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the base when there is none."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def last_time(self) -> float:
        """Time of the last entry, or of the base when there is none."""
        return self._entries[-1].time if self._entries else self.base_time

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`; None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> Entry:
        """Return the entry at `index`, which must be in the log."""
        return self._entries[index - self.base_index - 1]

    def between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from `first` to `last`, both inclusive."""
        start = first - self.base_index - 1
        return self._entries[start : last - self.base_index]

    def append(self, entries: Sequence[Entry]) -> None:
        """Append `entries`, which follow the last one."""
        self._entries.extend(entries)
        self.n_bytes += sum(len(each.data) for each in entries)

    def truncate(self, last_index: int) -> None:
        """Remove all entries after `last_index`."""
        keep = last_index - self.base_index
        self.n_bytes -= sum(len(each.data) for each in self._entries[keep:])
        del self._entries[keep:]

    def compact(self, base_index: int) -> None:
        """Remove all entries up to `base_index`, which a snapshot covers."""
        if base_index <= self.base_index:
            return
        base = self.entry(base_index)
        dropped = base_index - self.base_index
        self.n_bytes -= sum(len(each.data) for each in self._entries[:dropped])
        del self._entries[:dropped]
        self.base_index = base_index
        self.base_term = base.term
        self.base_time = base.time

    def reset(self, base_index: int, base_term: int, base_time: float) -> None:
        """Remove all entries and start after a snapshot."""
        self._entries.clear()
        self.n_bytes = 0
        self.base_index = base_index
        self.base_term = base_term
        self.base_time = base_time
