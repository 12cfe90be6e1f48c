"""Limit the rate of log lines that other processes can trigger at will."""

from typing import Final

# One line a second shows that a condition persists; metrics count the occurrences.
MIN_INTERVAL_SECONDS: Final = 1.0


class LogRateLimit:
    """Admits one log line per interval and counts the suppressed ones."""

    def __init__(self, min_interval_seconds: float = MIN_INTERVAL_SECONDS) -> None:
        self._min_interval_seconds = min_interval_seconds
        self._next_at = float("-inf")
        self._n_suppressed = 0

    def admit(self, now: float) -> int | None:
        """Return the lines suppressed since the last one; None suppresses this one.

        Parameters
        ----------
        now : float
            The time in seconds of `clock.now`.
        """
        if now < self._next_at:
            self._n_suppressed += 1
            return None
        self._next_at = now + self._min_interval_seconds
        n_before, self._n_suppressed = self._n_suppressed, 0
        return n_before
