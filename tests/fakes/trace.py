"""A digest of what schedules did, which tells whether two plays were the same."""

import contextlib
import hashlib
from collections.abc import Iterator


class Trace:
    """What was noted, in its order."""

    def __init__(self) -> None:
        self.n_notes = 0
        self._hash = hashlib.blake2b(digest_size=16)

    def note(self, *values: object) -> None:
        """Note values whose `repr` says all of them."""
        self.n_notes += 1
        self._hash.update(f"{values!r}\n".encode())

    def digest(self) -> str:
        return self._hash.hexdigest()


_open: list[Trace] = []


def note(*values: object) -> None:
    """Note values in the traces that are being recorded, if there are any."""
    for trace in _open:
        trace.note(*values)


@contextlib.contextmanager
def recorded() -> Iterator[Trace]:
    """Record what is noted within."""
    trace = Trace()
    _open.append(trace)
    try:
        yield trace
    finally:
        _open.remove(trace)
