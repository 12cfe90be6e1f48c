"""Limit how many engines load weights at a time.

The source of the weights has a capacity that is not configured anywhere. Beyond it
every load takes longer, and an engine starts no new request while it loads. Too low a
limit is worse: if a version reaches the last engines only after the next one was
announced, steps no longer accept these engines. With two loads at a time, 24 engines
took 13 s for a version while the trainers announced one every 4 s, and two of three
trainers got half of their groups.

So the limit starts as a share of the engines, capped at a small number, and adapts to
the duration of the loads. It grows by one after each load that was about as fast as the
fastest one while more than half of the limit was in use, so it doubles from one round
of loads to the next, and shrinks by a quarter after a load that was much slower. A high
initial limit would make all loads slow, and there would be no fast load to compare them
with.
"""

from typing import Final

# Lower bound of the limit. With two, a load that hangs does not block all others.
MIN_LOADING: Final = 2
# Initial limit as a share of the engines. Loads begin to slow one another down above
# 2 of 5 engines in small deployments and 10 of 24 in larger ones.
FIRST_SHARE: Final = 0.4
# Cap of the initial limit: what the weight sources of larger deployments support.
MAX_FIRST: Final = 10
# At most this share of the engines loads at a time; the others serve requests.
MAX_SHARE: Final = 0.5
# A load that takes more than this many times as long as the fastest one is slowed down
# by the others. A factor of up to 1.5 occurs at engines that are full or polled late.
SLOW_FACTOR: Final = 1.8
# A load up to this many times as long as the fastest one counts as equally fast: the
# difference may come from the polling interval alone.
QUICK_FACTOR: Final = 1.3
# Factor by which a slow load reduces the limit.
DECREASE: Final = 0.75


class LoadLimit:
    """The adaptive limit on concurrent loads."""

    def __init__(self) -> None:
        self._quickest_seconds = float("inf")
        # The adapted limit; None until a load has changed it.
        self._learned: float | None = None

    def max_loading(self, n_engines: int) -> int:
        """Return how many of `n_engines` may load at a time."""
        most = max(MIN_LOADING, int(n_engines * MAX_SHARE))
        wanted = self._learned
        if wanted is None:
            wanted = min(n_engines * FIRST_SHARE, MAX_FIRST)
        return max(MIN_LOADING, min(round(wanted), most))

    def record_load(self, seconds: float, n_concurrent: int, n_engines: int) -> None:
        """Adapt the limit to a load that has succeeded.

        Parameters
        ----------
        seconds : float
            Time from the order until the engine served the version.
        n_concurrent : int
            Number of engines that loaded at the same time, this one included.
        n_engines : int
            Number of all engines.
        """
        self._quickest_seconds = min(self._quickest_seconds, seconds)
        bound = self.max_loading(n_engines)
        if (
            seconds > self._quickest_seconds * SLOW_FACTOR
            and n_concurrent > MIN_LOADING
        ):
            # Loads that were slow at the same time have the same `n_concurrent`, so
            # together they reduce the limit just once.
            self._learned = max(
                float(MIN_LOADING), min(float(bound), n_concurrent * DECREASE)
            )
        elif (
            seconds <= self._quickest_seconds * QUICK_FACTOR
            and 2 * n_concurrent > bound
        ):
            # Each load of a concurrent round raises the limit by one, until it has
            # doubled.
            self._learned = bound + 1.0
