"""How many engines may load weights at a time.

The source of the weights has a bound of its own that nobody names: beyond it every load
takes longer, and an engine that loads starts no new request. Too few at a time is
worse: a version that reaches the last engines only after the next one was named leaves
engines that a step does not accept any more. With two at a time, 24 engines took 13 s
for a version while the trainers named one every 4 s, and two of three trainers got half
of their groups.

So the number starts as a share of the engines, but at few, and follows the time that
loads take: one more after each load at the bound that was as quick as the quickest, so
that it doubles from one round of loads to the next, and a quarter less after one that
was much slower. Were it to start at many, all loads would be slow and none would tell.
"""

from typing import Final

# Fewest at a time: one that hangs must not hold up all the others.
MIN_LOADING: Final = 2
# Share of the engines that may load at first. Small deployments bear 2 of 5, larger
# ones 10 of 24, before loads slow one another down.
FIRST_SHARE: Final = 0.4
# Most engines that load at first: what sources of larger deployments bear.
FIRST_MOST: Final = 10
# More than half of the engines never load at once: the others serve.
MAX_SHARE: Final = 0.5
# A load this many times as long as the quickest one is held up by the others. An engine
# that is full, or is looked at late, takes up to 1.5 times as long.
SLOW_FACTOR: Final = 1.8
# As quick as the quickest, but for the pause between two looks.
QUICK_FACTOR: Final = 1.3
# What is left of the bound after a slow load.
DECREASE: Final = 0.75


class LoadLimit:
    """The bound, and what it was learned from."""

    def __init__(self) -> None:
        self._quickest_seconds = float("inf")
        # The bound as learned; None: no load has told anything yet.
        self._learned: float | None = None

    def number(self, n_engines: int) -> int:
        """Return how many of `n_engines` may load at a time."""
        most = max(MIN_LOADING, int(n_engines * MAX_SHARE))
        wanted = self._learned
        if wanted is None:
            wanted = min(n_engines * FIRST_SHARE, FIRST_MOST)
        return max(MIN_LOADING, min(round(wanted), most))

    def note(self, seconds: float, n_beside: int, n_engines: int) -> None:
        """Take in a load that has succeeded.

        Parameters
        ----------
        seconds : float
            Time from the order until the engine served the version.
        n_beside : int
            Most engines that loaded at the same time, itself included.
        n_engines : int
            Engines that there are.
        """
        self._quickest_seconds = min(self._quickest_seconds, seconds)
        bound = self.number(n_engines)
        if seconds > self._quickest_seconds * SLOW_FACTOR and n_beside > MIN_LOADING:
            # Several loads that were slow together are one sign, not many.
            self._learned = max(
                float(MIN_LOADING), min(float(bound), n_beside * DECREASE)
            )
        elif seconds <= self._quickest_seconds * QUICK_FACTOR and 2 * n_beside > bound:
            # Loads that began together each count until the bound has doubled.
            self._learned = bound + 1.0
