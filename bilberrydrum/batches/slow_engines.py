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

# An engine is slow if its seconds per event are more than this many times its normal
# ones, or, while these are unknown, the median of the others. Load alone explains a
# factor of 1.5: a decoding step takes 0.84 ms at a full engine and 0.57 ms at an empty
# one.
SLOW_FACTOR: Final = 2.2
# An engine whose normal speed is known is slow in any case if its seconds per event are
# normally more than this many times the median of the others. Moves and placement
# compensate for smaller differences.
CONSTANT_SLOW_FACTOR: Final = 3.0


def find_slow(
    paces_by_id: Mapping[str, float], normal_by_id: Mapping[str, float]
) -> set[str]:
    """Return the ids of the slow engines.

    Parameters
    ----------
    paces_by_id : mapping
        Current seconds per event of the engines that run items.
    normal_by_id : mapping
        Normal seconds per event, for those of these engines where it is known.
    """
    if len(paces_by_id) < 2:
        return set()
    ratios_by_id = {key: paces_by_id[key] / normal_by_id[key] for key in normal_by_id}
    paces = sorted(paces_by_id.values())
    ratios = sorted(ratios_by_id.values())
    median = _smallest_median_of_others(paces)
    min_pace = SLOW_FACTOR * median
    min_constant_pace = CONSTANT_SLOW_FACTOR * median
    min_ratio = SLOW_FACTOR * max(_smallest_median_of_others(ratios), 1.0)
    if len(ratios) < 2:
        min_ratio = 0.0
    slow = {
        key
        for key, pace in paces_by_id.items()
        if key not in normal_by_id
        and pace > min_pace
        and pace > SLOW_FACTOR * _median_of_others(paces, pace)
    }
    candidates = [
        key
        for key, ratio in ratios_by_id.items()
        if ratio > min_ratio or normal_by_id[key] > min_constant_pace
    ]
    for key in candidates:
        if _is_slow(paces_by_id[key], normal_by_id[key], paces, ratios):
            slow.add(key)
    return slow


def _is_slow(
    pace: float, normal: float, paces: Sequence[float], ratios: Sequence[float]
) -> bool:
    """Return whether an engine of known normal speed is slow.

    `paces` and `ratios` are the sorted values of all engines, this one included.
    """
    median = _median_of_others(paces, pace)
    if len(ratios) < 2:
        return pace > SLOW_FACTOR * median
    if min(pace, normal) > CONSTANT_SLOW_FACTOR * median:
        return True
    # If the process that reads all streams is delayed, all engines seem to be slower
    # than usual. So the ratio is compared with that of the others.
    ratio = pace / normal
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
