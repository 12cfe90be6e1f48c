"""Exponential backoff: a pause that doubles with each consecutive failure."""

import attrs

# Without a limit, the power of two would grow without bound in a long outage.
_MAX_DOUBLINGS = 16


def pause_seconds(n_failures: int, first_seconds: float, max_seconds: float) -> float:
    """Return the pause after the last of `n_failures` consecutive failures."""
    n_doublings = min(n_failures - 1, _MAX_DOUBLINGS)
    return min(first_seconds * 2.0**n_doublings, max_seconds)


@attrs.define
class Backoff:
    """The backoff of one peer; times are in seconds of `clock.now`."""

    first_seconds: float
    max_seconds: float
    n_failures: int = 0
    until: float = float("-inf")

    def record_failure(self, now: float) -> None:
        """Start the next pause, twice as long as the one before up to the maximum."""
        self.n_failures += 1
        self.until = now + pause_seconds(
            self.n_failures, self.first_seconds, self.max_seconds
        )

    def record_success(self) -> None:
        """End the pause; the next failure starts the shortest one again."""
        self.n_failures = 0
        self.until = float("-inf")

    def remaining(self, now: float) -> float:
        """Return the seconds left of the pause, or 0 if there is none."""
        return max(self.until - now, 0.0)
