"""What a process may spend on its clients and on the answers of upstreams.

A process is killed if it uses more than its memory. What clients and upstreams send is
not under its control, so each buffer that they can fill is charged to one budget.
"""

import gc
import os
import pathlib
from collections.abc import Callable
from typing import Final

import attrs

from bilberrydrum import runtime

# A process without clients: code, tables, and the heap that its own tasks use.
PROCESS_BYTES: Final = 48 * 1000 * 1000
# Kept free of clients, for what is charged only after it was allocated.
_MARGIN_BYTES: Final = 2 * 1000 * 1000
# Shares of the budget at which the heap counts as crowded, and as empty again.
_CROWDED_SHARE: Final = 0.25
_EMPTY_SHARE: Final = 0.05
_MEBIBYTE: Final = 1024 * 1024


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if the system does not tell."""
    try:
        fields = pathlib.Path("/proc/self/statm").read_bytes().split()
    except OSError:
        return 0
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


@attrs.define(eq=False)
class Budget:
    """The bytes that all holders together have, and the most that they may have."""

    max_bytes: int
    # Memory at which the process would be killed; 0: it is not limited.
    limit_bytes: int = 0
    n_bytes: int = 0
    _resident: Callable[[], int] = resident_bytes
    _release: Callable[[], object] = runtime.release_memory
    _was_crowded: bool = False

    @classmethod
    def of_process(cls, memory_mb: int) -> "Budget":
        """Return the budget of a process with `memory_mb` mebibytes."""
        limit = memory_mb * _MEBIBYTE
        return cls(max(limit - PROCESS_BYTES, limit // 8), limit)

    def change(self, n_bytes: int) -> None:
        """Add `n_bytes`, which may be negative."""
        self.n_bytes += n_bytes
        if self.is_crowded():
            self._was_crowded = True
        elif self._was_crowded and self.n_bytes < self.max_bytes * _EMPTY_SHARE:
            # What a crowd leaves in the heap would be missing to a large body.
            self._was_crowded = False
            gc.collect()
            self._release()

    def is_crowded(self) -> bool:
        """Return whether so much is charged that the process itself must be asked."""
        return self.n_bytes > self.max_bytes * _CROWDED_SHARE

    def n_free(self) -> int:
        """Return the bytes that are free; negative if there are too many."""
        return self.max_bytes - self.n_bytes

    def has_room(self, n_bytes: int) -> bool:
        """Return whether the process itself, as it is, may take `n_bytes` more.

        Its heap may hold more than is charged, as freed blocks between used ones are
        not returned to the system.
        """
        if not self.limit_bytes:
            return True
        return self._resident() + n_bytes + _MARGIN_BYTES <= self.limit_bytes
