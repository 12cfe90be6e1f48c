"""A bound on the memory of all answers that a process is receiving.

An upstream may send without end. Each answer has a largest size, but a process receives
hundreds of answers at once, and the sum of their largest sizes exceeds its memory. Once
all together hold too much, the largest is dropped. So an answer without end is given up
before any usual one, which is small.
"""

import contextlib
from collections.abc import Callable, Iterator
from typing import Final

import attrs
import eliot

from bilberrydrum import memory

# Used where the memory of the process is not configured, in bytes.
DEFAULT_MAX_BYTES: Final = 64 * 1024 * 1024
# An answer up to this size is not dropped for lack of memory elsewhere.
_SMALL_BYTES: Final = 64 * 1024


class AnswerDroppedError(Exception):
    """The answer has taken too much memory beside all others."""


@attrs.define(eq=False)
class Share:
    """The part of the memory that one answer has."""

    _memory: "AnswerMemory"
    # Frees the answer's buffer; its reader learns of it from `check` or `resize`.
    free: Callable[[], object]
    n_bytes: int = 0
    is_dropped: bool = False

    def resize(self, n_bytes: int) -> None:
        """Record the size of the answer's buffer.

        Raises
        ------
        AnswerDroppedError
            If the answer was dropped, now or since the last call.
        """
        if n_bytes != self.n_bytes and not self.is_dropped:
            self._memory.change(n_bytes - self.n_bytes)
            self.n_bytes = n_bytes
            self._memory.drop_largest()
        self.check()

    def check(self) -> None:
        """Raise `AnswerDroppedError` if the answer was dropped."""
        if self.is_dropped:
            raise AnswerDroppedError(
                f"expected at most {self._memory.max_bytes} bytes of all answers"
            )

    def drop(self) -> None:
        """Free the buffer."""
        self.is_dropped = True
        self.free()
        self._memory.change(-self.n_bytes)
        self.n_bytes = 0


class AnswerMemory:
    """The memory of a process's unfinished answers."""

    def __init__(
        self,
        max_bytes: int = DEFAULT_MAX_BYTES,
        budget: memory.Budget | None = None,
    ) -> None:
        self.max_bytes = max_bytes
        self.n_bytes = 0
        # Shared with the process's clients.
        self._budget = budget or memory.Budget(2 * max_bytes)
        self._shares: set[Share] = set()

    @contextlib.contextmanager
    def share(self, free: Callable[[], object]) -> Iterator[Share]:
        """Return a share for one answer, whose buffer `free` empties."""
        share = Share(self, free)
        self._shares.add(share)
        try:
            yield share
        finally:
            self._shares.discard(share)
            self.change(-share.n_bytes)

    def change(self, n_bytes: int) -> None:
        """Add `n_bytes`, which may be negative, to the sum."""
        self.n_bytes += n_bytes
        self._budget.change(n_bytes)

    def drop_largest(self) -> None:
        """Drop the largest answers until the others fit."""
        while self.n_bytes > self.max_bytes or self._budget.n_free() < 0:
            largest = max(self._shares, key=lambda share: share.n_bytes)
            if self.n_bytes <= self.max_bytes and largest.n_bytes <= _SMALL_BYTES:
                return
            eliot.log_message(
                message_type="requests:answer-dropped",
                n_bytes=largest.n_bytes,
                n_bytes_of_all=self.n_bytes,
                max_bytes=self.max_bytes,
            )
            largest.drop()
