"""Space out log lines that whoever calls from outside can bring about."""

from typing import Final

# One line of a kind a second shows that it goes on; the counters tell how often.
SPACING_SECONDS: Final = 1.0


class LineLimit:
    """Lets one line through every so often and counts the others."""

    def __init__(self, spacing_seconds: float = SPACING_SECONDS) -> None:
        self._spacing_seconds = spacing_seconds
        self._next_at = float("-inf")
        self._n_held_back = 0

    def admit(self, now: float) -> int | None:
        """Return how many lines were held back before this one; None: this one is."""
        if now < self._next_at:
            self._n_held_back += 1
            return None
        self._next_at = now + self._spacing_seconds
        n_before, self._n_held_back = self._n_held_back, 0
        return n_before
