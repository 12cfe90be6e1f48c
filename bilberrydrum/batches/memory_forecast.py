"""Forecast of the use of an engine's memory until the last of its items has ended.

All items at an engine generate at the same rate, so time is measured in the tokens that
each of them has generated from now on. An item holds its prompt and what it has
generated, grows by one token per unit of time, and frees everything at its end. So the
use is largest right before the end of some item, and only these times are examined.
"""

import bisect
import math
from collections.abc import Iterable
from typing import Final

import attrs

# An item that has reached its estimate is expected to generate this share of what it
# has generated in addition.
OUTGROWN_SHARE: Final = 0.5
# Number of length classes per doubling of the remaining tokens (see `length_class`).
_CLASSES_PER_DOUBLING: Final = 4


def n_expected_left(n_expected: float, n_generated: float) -> float:
    """Return how much an item will still generate, in the unit of the arguments."""
    if n_generated < n_expected:
        return n_expected - n_generated
    return OUTGROWN_SHARE * n_generated


@attrs.frozen
class Need:
    """Tokens that one item holds in an engine's memory over time."""

    # Tokens held now: those of the prompt and those generated so far.
    n_held: int = 0
    # Tokens expected to be generated until the item ends; 0: not known. The size then
    # stays `n_held`, and the item is assumed to outlast all others.
    n_left: int = 0

    @classmethod
    def of(
        cls, n_prompt: int, n_expected: int, n_maximum: float, n_generated: float
    ) -> "Need":
        """Return the need of an item with an estimate of its length.

        Parameters
        ----------
        n_prompt : int
            Tokens of the prompt.
        n_expected : int
            Estimate of the output tokens.
        n_maximum : float
            Upper bound of the output tokens. It is ignored below the estimate.
        n_generated : float
            Output tokens generated so far.
        """
        left = n_expected_left(n_expected, n_generated)
        left = min(left, max(n_maximum, n_expected) - n_generated)
        return cls(n_prompt + math.ceil(n_generated), max(math.ceil(left), 1))

    def length_class(self) -> int:
        """Return a coarse class of the remaining tokens; it increases with them."""
        if not self.n_left:
            return UNKNOWN_LENGTH
        return int(_CLASSES_PER_DOUBLING * math.log2(self.n_left))


# Class of the items of unknown length.
UNKNOWN_LENGTH: Final = 1_000


def shortest_of_class(length_class: int) -> int:
    """Return a lower bound of the remaining tokens of a class; 0: not known."""
    if length_class == UNKNOWN_LENGTH:
        return 0
    return max(int(2 ** (length_class / _CLASSES_PER_DOUBLING)), 1)


class Forecast:
    """The forecast use of one engine's memory, which grows with each item added."""

    def __init__(self, needs: Iterable[Need] = ()) -> None:
        """Initialise the forecast; `needs` is read when the first item is compared.

        Most engines are compared with no item in a scheduling pass.
        """
        self._unread: Iterable[Need] = needs
        # Items of unknown length, in tokens.
        self._n_fixed = 0
        # The remaining and the held tokens of the other items, in this order.
        self._growing: list[tuple[int, int]] = []

    def _read(self) -> None:
        unread, self._unread = self._unread, ()
        for each in unread:
            self.add(each)

    def add(self, need: Need) -> None:
        """Add an item."""
        if need.n_left:
            bisect.insort(self._growing, (need.n_left, need.n_held))
        else:
            self._n_fixed += need.n_held

    def peak(self) -> int:
        """Return the largest use at any time, in tokens."""
        self._read()
        peak = self._n_fixed
        n_held = self._n_fixed
        for n_after, (time, held) in enumerate(reversed(self._growing), 1):
            n_held += held
            peak = max(peak, n_held + n_after * time)
        return peak

    def room(self, n_left: int, n_capacity: int) -> int:
        """Return how many tokens a further item may hold at its start.

        Parameters
        ----------
        n_left : int
            Tokens that the item will generate; 0: not known (see `Need`).
        n_capacity : int
            Size of the memory in tokens.

        Returns
        -------
        int
            Negative if there is no room for any item. It never increases with a known
            `n_left` or as items are added.
        """
        self._read()
        peak = self._n_fixed
        n_held = self._n_fixed
        room = n_capacity
        is_examined = not n_left
        for n_after, (time, held) in enumerate(reversed(self._growing), 1):
            if not is_examined and time < n_left:
                # The use right before the further item's end.
                is_examined = True
                room = n_capacity - n_held - n_after * n_left
            n_held += held
            use = n_held + n_after * time
            peak = max(peak, use)
            if n_left and time <= n_left:
                room = min(room, n_capacity - use - time)
        if not is_examined:
            n_items = len(self._growing) + 1
            room = min(room, n_capacity - n_held - n_items * n_left)
        if not n_left:
            return n_capacity - peak
        return room if peak <= n_capacity else min(room, n_capacity - peak)
