"""The speed of each engine, learned from its own streams and reports.

An engine's normal speed is a slow average of the interval between two events of a
stream. The fast average in `engines` follows sudden changes. How busy the engine's host
is at the moment comes from its reports.
"""

import statistics
from collections.abc import Collection
from typing import Final

import attrs

from bilberrydrum import upstream_protocol

# Number of intervals after which the normal speed counts as known: several events of
# each item at a full engine.
MIN_SAMPLES: Final = 20
# Weight of one interval in the average. It follows a lasting change within some hundred
# events, and a slowdown of a few seconds moves it little.
NORMAL_WEIGHT: Final = 1 / 300
# While the fast average is more than this many times the normal speed, the engine is
# slowed down, and an interval counts only `SLOWED_WEIGHT` times as much. With the full
# weight, an engine that turns three times slower would count as normal again before
# the fast average has followed.
SLOWED_FACTOR: Final = 1.5
SLOWED_WEIGHT: Final = 0.2
# A reported work factor is ignored after this time, in seconds. It changes many times a
# second.
WORK_FACTOR_SECONDS: Final = 0.5
# Share of the engines whose speeds must be known before an engine of unknown speed is
# restricted. A new leader knows none, and restricts none.
MIN_KNOWN_SHARE: Final = 0.5


@attrs.define
class Speed:
    """What is known of the speed of one incarnation of an engine."""

    # Average interval between two events of a stream, in seconds; 0: not known.
    normal_seconds: float = 0.0
    n_samples: int = 0
    # The same once there are enough samples; 0 before.
    known_seconds: float = 0.0
    _work_factor: float = 1.0
    _work_factor_at: float = float("-inf")

    @property
    def is_known(self) -> bool:
        """Whether there are enough samples."""
        return self.known_seconds > 0.0

    def record(self, seconds: float, pace_seconds: float) -> None:
        """Record an interval; `pace_seconds` is the fast average that includes it."""
        self.n_samples += 1
        weight = max(1 / self.n_samples, NORMAL_WEIGHT)
        if self.known_seconds and pace_seconds > SLOWED_FACTOR * self.normal_seconds:
            weight *= SLOWED_WEIGHT
        self.normal_seconds += weight * (seconds - self.normal_seconds)
        if self.n_samples >= MIN_SAMPLES:
            self.known_seconds = self.normal_seconds

    def record_work_factor(self, factor: float, now: float) -> None:
        """Record how long work takes at the engine's host; 1.0 is the usual time."""
        if upstream_protocol.is_plausible_factor(factor):
            self._work_factor = factor
            self._work_factor_at = now

    def work_factor(self, now: float) -> float:
        """Return the last reported work factor; 1.0 if it is unknown or outdated."""
        if 0.0 <= now - self._work_factor_at <= WORK_FACTOR_SECONDS:
            return self._work_factor
        return 1.0


def assumed_seconds(speeds: Collection[Speed]) -> float:
    """Return the seconds per event that are assumed of an engine without samples.

    Parameters
    ----------
    speeds : collection of Speed
        Those of all engines.

    Returns
    -------
    float
        The median of the known speeds; 0 if fewer than `MIN_KNOWN_SHARE` are known.
    """
    known = [each.known_seconds for each in speeds if each.known_seconds]
    if not known or len(known) < MIN_KNOWN_SHARE * len(speeds):
        return 0.0
    return statistics.median(known)


def n_slots_to_use(speed: Speed, n_slots: int, assumed: float) -> int:
    """Return how many run slots of an engine may be used.

    An engine that has just started may be slow or crash again, so until its speed is
    known, it gets half of its run slots. `assumed` is the result of `assumed_seconds`.
    """
    if not assumed or speed.is_known or n_slots < 2:
        return n_slots
    return n_slots // 2
