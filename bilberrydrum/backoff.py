"""A pause after failures that doubles with each failure in a row."""

import attrs

# Doubling stops here, so that the power stays a small number.
_MAX_DOUBLINGS = 16


@attrs.define
class Backoff:
    """The pause of one upstream; times are in seconds of `clock.now`."""

    first_seconds: float
    max_seconds: float
    n_failures: int = 0
    until: float = float("-inf")

    def failed(self, now: float) -> None:
        """Begin the next pause."""
        seconds = self.first_seconds * 2 ** min(self.n_failures, _MAX_DOUBLINGS)
        self.n_failures += 1
        self.until = now + min(seconds, self.max_seconds)

    def succeeded(self) -> None:
        """End the pause, and begin with the shortest one next time."""
        self.n_failures = 0
        self.until = float("-inf")

    def remaining(self, now: float) -> float:
        """Return how long the pause lasts yet; 0: there is none."""
        return max(self.until - now, 0.0)
