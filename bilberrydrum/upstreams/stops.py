"""Notice that this process was stopped, and doubt its own leases for a while.

While a process is stopped, an upstream may leave through another gateway. A renewal
that it had sent before may wait in a socket of the stopped process; read after the
wake, it would be taken for a new one and list the upstream again. So for a while after
a stop the own leases count for nothing and renewals that arrive renew none. Meanwhile
the sockets are emptied and the other gateways tell what they know. The leases of other
homes need no doubt: their messages are dated.
"""

from typing import Final

# The task takes a step ten times a second; without one for this long it was stopped. A
# shorter stop lengthens a lease by less than this.
STOPPED_SECONDS: Final = 0.9
# Time to empty the sockets and to hear the others.
DOUBT_SECONDS: Final = 0.5


class Stops:
    """When the last step was, and when the process last woke."""

    def __init__(self) -> None:
        self._stepped_at: float | None = None
        self._woke_at = float("-inf")

    def step(self, now: float) -> bool:
        """Note a step; True: the process was stopped until now."""
        was_stopped = self._was_stopped(now)
        self._stepped_at = now
        if was_stopped:
            self._woke_at = now
        return was_stopped

    def is_in_doubt(self, now: float) -> bool:
        """Tell whether own leases count for nothing now."""
        return self._was_stopped(now) or now - self._woke_at < DOUBT_SECONDS

    def _was_stopped(self, now: float) -> bool:
        stepped_at = self._stepped_at
        return stepped_at is not None and now - stepped_at >= STOPPED_SECONDS
