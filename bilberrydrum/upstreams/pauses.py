"""Detect that this process was paused, and suspend its own leases for a while.

While a process is paused (by SIGSTOP, for example), an upstream may leave through
another gateway. A renewal that the upstream sent before may wait in a socket of the
paused process; read when the process resumes, it would count as new and the upstream
would be listed again. So for a while after a pause the own leases do not count, and
renewals that arrive renew none. Meanwhile the sockets are emptied and the other
gateways send their records. Leases of other owners need no suspension, since their
messages carry timestamps.
"""

from typing import Final

# The task takes a step ten times a second. If there was none for this long, in seconds,
# the process was paused. A shorter pause extends a lease by less than this.
PAUSED_SECONDS: Final = 0.9
# Time to empty the sockets and to receive the records of the others, in seconds.
SUSPENSION_SECONDS: Final = 0.5


class PauseDetector:
    """Tracks when the last step was, and when the process last resumed."""

    def __init__(self) -> None:
        self._stepped_at: float | None = None
        self._resumed_at = float("-inf")

    def step(self, now: float) -> bool:
        """Record a step; return whether the process was paused until now."""
        was_paused = self._was_paused(now)
        self._stepped_at = now
        if was_paused:
            self._resumed_at = now
        return was_paused

    def are_own_leases_suspended(self, now: float) -> bool:
        """Return whether own leases do not count at `now`."""
        return self._was_paused(now) or now - self._resumed_at < SUSPENSION_SECONDS

    def _was_paused(self, now: float) -> bool:
        stepped_at = self._stepped_at
        return stepped_at is not None and now - stepped_at >= PAUSED_SECONDS
