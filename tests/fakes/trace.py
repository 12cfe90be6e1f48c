"""A digest of the events of a schedule, to compare two runs of it."""

import contextlib
import hashlib
from collections.abc import Iterator


class Trace:
    """The values that were noted, in order, as a digest."""

    def __init__(self) -> None:
        self.n_notes = 0
        self._hash = hashlib.blake2b(digest_size=16)

    def note(self, *values: object) -> None:
        """Note values whose `repr` describes them completely."""
        self.n_notes += 1
        self._hash.update(f"{values!r}\n".encode())

    def digest(self) -> str:
        return self._hash.hexdigest()


_open: list[Trace] = []


def note(*values: object) -> None:
    """Note values in all traces that are being recorded."""
    for trace in _open:
        trace.note(*values)


@contextlib.contextmanager
def recorded() -> Iterator[Trace]:
    """Record the values that are noted in the block."""
    trace = Trace()
    _open.append(trace)
    try:
        yield trace
    finally:
        _open.remove(trace)
