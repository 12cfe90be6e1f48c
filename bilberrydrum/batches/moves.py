"""Moves of running items from slower engines to faster ones.

A text is resumed where it stopped, so a move costs one reading of the prompt and the
text. Items that run at a slow engine (see `slow_engines`), or at one whose normal speed
is lower than that of a free engine, may move. They are ordered together with the
waiting items, and get a run slot only where no waiting item takes it before them.

A move has to save a quarter of the remaining time after its cost. The comparison uses
normal speeds, which change slowly, so an item does not move back and forth.
"""

import math
from collections.abc import Iterable, Sequence
from typing import Final, TypeVar

import attrs

# Maximum number of times that one item is moved.
MAX_MOVES: Final = 3
# Cost of a move, in seconds: the new engine reads the prompt and the text again.
MOVE_SECONDS: Final = 0.3
# A move has to save at least this share of the remaining time.
MIN_GAIN_SHARE: Final = 0.25
# Most items that are considered for a move to a faster engine in one scheduling pass.
# The next pass considers others once these have moved.
MAX_CONSIDERED: Final = 16
# Limits are rounded down to powers of this factor. Items with equal limits are compared
# with the engines together.
_LIMIT_FACTOR: Final = 1.1

_T = TypeVar("_T")


@attrs.frozen
class Source:
    """An engine from which items may move."""

    # Seconds per event that its items are expected to take; 0: not known.
    event_seconds: float
    # Whether it is slow, rather than constantly slower than a free engine.
    is_slow: bool


def gain_seconds(n_events: float, here: float, there: float) -> float:
    """Return how much earlier an item ends after a move, in seconds.

    Parameters
    ----------
    n_events : float
        Expected number of remaining events.
    here, there : float
        Seconds per event at the current and the other engine.
    """
    return n_events * (here - there) - MOVE_SECONDS


def max_target_seconds(n_events: float, source: Source) -> float:
    """Return the most seconds per event at which an item gains by a move.

    Infinite if the speed of the source is not known; 0 if no move is worthwhile.
    """
    if not source.event_seconds:
        return math.inf
    n_events = max(n_events, 1.0)
    limit = (1.0 - MIN_GAIN_SHARE) * source.event_seconds - MOVE_SECONDS / n_events
    if limit <= 0.0:
        return 0.0
    return float(_LIMIT_FACTOR ** math.floor(math.log(limit, _LIMIT_FACTOR)))


def is_slower(event_seconds: float, fastest_free: float) -> bool:
    """Return whether items may gain by a move from an engine to the fastest free one.

    Parameters
    ----------
    event_seconds, fastest_free : float
        Normal seconds per event; 0: not known.
    """
    return 0.0 < fastest_free < (1.0 - MIN_GAIN_SHARE) * event_seconds


def longest_first(candidates: Iterable[tuple[float, _T]]) -> Sequence[_T]:
    """Return the candidates to consider, given with their remaining seconds."""
    ordered = sorted(candidates, key=lambda each: -each[0])
    return [each for _, each in ordered[:MAX_CONSIDERED]]
