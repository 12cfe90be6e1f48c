"""The cluster's time of day: the median of the processes' clocks.

The clocks of some hosts may jump by seconds and back around the end of a window. If
such a host counted by its own clock, requests would be reported in a window in which no
upstream began them. So durations are measured with the steady clock, and the time of
day is the median over the clocks of many hosts.
"""

import collections
import statistics
from collections.abc import Iterable
from typing import Final

# Number of latest answers from which the best one is chosen: five seconds of renewals.
# The steady clocks of two hosts drift apart by less than a millisecond in that time.
_N_SAMPLES: Final = 10


def median_offset(offsets: Iterable[float]) -> float | None:
    """Return the median of the processes' clock offsets; None: there are no offsets.

    Parameters
    ----------
    offsets : iterable of float
        For each process, its time of day minus the leader's steady clock, in seconds.
        The result is sound as long as fewer than half of the offsets are wrong, by any
        amount.
    """
    values = list(offsets)
    return statistics.median(values) if values else None


class ClusterClock:
    """A gateway's estimate of the cluster's time of day, from the leader's answers."""

    def __init__(self) -> None:
        # Round trip and offset of each answer, in seconds.
        self._samples: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=_N_SAMPLES
        )

    @property
    def is_known(self) -> bool:
        """Whether the leader has sent its time of day yet."""
        return bool(self._samples)

    def add_sample(self, unix_time: float, sent_at: float, received_at: float) -> None:
        """Record the leader's time of day from an answer.

        The leader has read its clock at some moment of the round trip, so the answer
        with the shortest round trip is the most accurate.

        Parameters
        ----------
        unix_time : float
            The leader's time of day, in seconds.
        sent_at, received_at : float
            When the request was sent and its answer came, in seconds of `clock.now`.
        """
        middle = (sent_at + received_at) / 2
        self._samples.append((received_at - sent_at, unix_time - middle))

    def unix_time(self, at: float) -> float:
        """Return the time of day, in seconds, at `at`, in seconds of `clock.now`."""
        _, offset = min(self._samples)
        return at + offset
