"""Detection of engines that are much slower than they should be.

A constantly lower speed is not a fault: placement and moves take it into account. An
engine is slow if it has become much slower than its own normal speed while the others
have not, or if its normal speed is far below that of the others. While its normal speed
is not known, it is compared with the others only.

Thousands of engines are compared several times a second, so nothing is called for an
engine that cannot be slow.
"""

import bisect
from collections.abc import Mapping, Sequence
from typing import Final

import attrs

# An engine is slow if its seconds per event are more than this many times its normal
# ones, or, while these are unknown, the median of the others. Load alone explains a
# factor of 1.5: a decoding step takes 0.84 ms at a full engine and 0.57 ms at an empty
# one.
SLOW_FACTOR: Final = 2.2
# An engine whose normal speed is known is slow in any case if its seconds per event are
# normally more than this many times the median of the others.
CONSTANT_SLOW_FACTOR: Final = 3.0


@attrs.frozen
class Pace:
    """The seconds per event of one engine."""

    seconds: float
    # The normal value; 0: not known.
    normal_seconds: float = 0.0


def find_slow(paces_by_id: Mapping[str, Pace]) -> set[str]:
    """Return the ids of the slow engines among those with a current pace."""
    paces = sorted([each.seconds for each in paces_by_id.values()])
    ratios = sorted(
        [
            each.seconds / each.normal_seconds
            for each in paces_by_id.values()
            if each.normal_seconds
        ]
    )
    min_pace = SLOW_FACTOR * _smallest_median_of_others(paces)
    min_ratio = SLOW_FACTOR * max(_smallest_median_of_others(ratios), 1.0)
    return {
        engine_id
        for engine_id, each in paces_by_id.items()
        if (
            each.seconds > min_pace
            or (each.normal_seconds and each.seconds > min_ratio * each.normal_seconds)
        )
        and _is_slow(each, paces, ratios)
    }


def _is_slow(pace: Pace, paces: Sequence[float], ratios: Sequence[float]) -> bool:
    """Return whether an engine is slow; `paces` and `ratios` are sorted.

    They are the values of all engines, this one included.
    """
    median = _median_of_others(paces, pace.seconds)
    if not pace.normal_seconds or len(ratios) < 2:
        return pace.seconds > SLOW_FACTOR * median
    usual = min(pace.seconds, pace.normal_seconds)
    if usual > CONSTANT_SLOW_FACTOR * median:
        return True
    ratio = pace.seconds / pace.normal_seconds
    # If the process that reads all streams is delayed, all engines seem to be slower
    # than usual. So the ratio is compared with that of the others.
    return ratio > SLOW_FACTOR * max(_median_of_others(ratios, ratio), 1.0)


def _smallest_median_of_others(values: Sequence[float]) -> float:
    """Return the smallest `_median_of_others` of any member of sorted `values`."""
    if len(values) < 2:
        return float("inf")
    return _median_of_others(values, values[-1])


def _median_of_others(values: Sequence[float], own: float) -> float:
    """Return the median of sorted `values` without one member equal to `own`.

    This runs for each engine that may be slow, so it doesn't build a list of the
    others: with thousands of engines that would block all other tasks of the process.
    """
    position = bisect.bisect_left(values, own)

    def other(index: int) -> float:
        return values[index if index < position else index + 1]

    n_others = len(values) - 1
    middle = n_others // 2
    if n_others % 2:
        return other(middle)
    return (other(middle - 1) + other(middle)) / 2
