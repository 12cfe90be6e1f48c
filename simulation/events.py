"""Virtual time: calls that are made in the order of their moments."""

import heapq
import itertools
from collections.abc import Callable


class Loop:
    """The clock and what is to happen."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        # Calls of one moment are made in the order in which they were asked for.
        self._numbers = itertools.count()

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Make `call` in `seconds`."""
        entry = (self.now + seconds, next(self._numbers), call)
        heapq.heappush(self._queue, entry)

    def run_until(self, end: float) -> None:
        """Make all calls that are due before `end`."""
        while self._queue and self._queue[0][0] < end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end
