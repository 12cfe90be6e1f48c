"""Fencing numbers for orders to external programs, which do not know the leader.

If the leader changes several times while orders are in flight, two processes that both
believe they lead could send contradictory orders. Only the leader of a group may send
orders, and the term is the fencing number: a majority stores it before a replica leads,
it only increases, and no two replicas lead in the same term.
"""

import attrs

from bilberrydrum import clock, interfaces
from bilberrydrum.state import replica


@attrs.define
class FencingGuard:
    """Decides whether a replica may send orders to external programs."""

    _replica: replica.Replica
    # Minimum time between orders of two different leaders, in seconds.
    _lease_seconds: float
    # Whether the receiver refuses orders with a lower number than it has seen.
    _is_fenced: bool
    # The last number used here, and when it was used, in seconds of `clock.now`.
    _last_number: int | None = None
    _sent_at: float = float("-inf")
    # Numbers up to this one were refused by a receiver that had seen a higher one.
    _refused_number: int = -1

    def acquire_number(self) -> int | None:
        """Return the fencing number for an order, or None if it must not be sent.

        The leader lease is checked here, on the clock that includes suspended time, so
        call this immediately before each order is sent.
        """
        held = self._replica.leadership()
        if held is None or not self._may_send(held, clock.now()):
            return None
        self._last_number = held.term
        self._sent_at = clock.now()
        return held.term

    def record_refusal(self, number: int) -> None:
        """Record that a receiver has seen a higher number than `number`."""
        self._refused_number = max(self._refused_number, number)

    def _may_send(self, held: interfaces.Leadership, now: float) -> bool:
        if held.term <= self._refused_number:
            return False
        if not self._is_fenced and now - held.since < self._lease_seconds:
            # An order that the previous leader sent just before it lost its lease may
            # still be carried out, and the receiver could not detect that it is stale.
            return False
        # If this replica was re-elected after another one led in between, orders of
        # both would alternate, and the receiver would see two senders within the lease
        # time.
        is_back = self._last_number not in (None, held.term)
        return not is_back or now - self._sent_at >= self._lease_seconds
