"""The right to give orders to programs outside, which cannot ask who leads.

Answers the load in which leaders change in series while orders are under way: two
processes that both believe they lead would tell the outside contradicting things. The
right goes with the leadership of a group, whose term is the fencing number: it is kept
by a majority before anyone leads, only rises, and no two replicas ever have the same.
"""

import attrs

from bilberrydrum import clock, interfaces
from bilberrydrum.state import replica


@attrs.define
class Tenure:
    """One replica's right to give orders."""

    _replica: replica.Replica
    # Time in which two holders must not act in turn, in seconds.
    _lease_seconds: float
    # Whoever takes the orders refuses those with a lower number than it has seen.
    _is_fenced: bool
    # The latest number that was used here, and when, in seconds of `clock.now`.
    _last_number: int | None = None
    _acted_at: float = float("-inf")
    # Numbers up to this one were refused, as a higher one had been seen.
    _refused_number: int = -1

    def take_number(self) -> int | None:
        """Return the number for an order that is sent now; None: send none.

        The leader's lease, on the clock that counts suspended time, is looked at here,
        so this is called right before each sending.
        """
        held = self._replica.leadership()
        if held is None or not self._may_act(held, clock.now()):
            return None
        self._last_number = held.term
        self._acted_at = clock.now()
        return held.term

    def was_refused(self, number: int) -> None:
        """Note that a higher number than `number` has been seen outside."""
        self._refused_number = max(self._refused_number, number)

    def _may_act(self, held: interfaces.Leadership, now: float) -> bool:
        if held.term <= self._refused_number:
            return False
        if not self._is_fenced and now - held.since < self._lease_seconds:
            # An order of the holder before, sent just before it lost the right, may
            # still be carried out; nobody outside would see that it is an old one.
            return False
        # Having led, lost it to another and won it back, this replica would take turns
        # with it: whoever looks at the holders' names sees two at a time.
        is_back = self._last_number not in (None, held.term)
        return not is_back or now - self._acted_at >= self._lease_seconds
