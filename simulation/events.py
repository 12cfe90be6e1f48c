"""An event loop in virtual time."""

import heapq
import itertools
from collections.abc import Callable


class Loop:
    """A virtual clock and the calls that are scheduled on it."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        # Calls at the same time run in the order in which they were scheduled.
        self._numbers = itertools.count()

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule `call` to run after `seconds`."""
        entry = (self.now + seconds, next(self._numbers), call)
        heapq.heappush(self._queue, entry)

    def run_until(self, end: float) -> None:
        """Run all calls that are due before `end`, in seconds."""
        while self._queue and self._queue[0][0] < end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end
