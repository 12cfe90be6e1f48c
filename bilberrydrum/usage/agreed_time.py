"""The time of day on which most processes agree.

Answers the load in which the clocks of some hosts jump by seconds and back while a
window ends: counted by its own clock, such a host would report requests in a window in
which no upstream began them. The steady clock is right for ages, and a median of many
hosts' clocks for the time of day.
"""

import collections
import statistics
from collections.abc import Iterable
from typing import Final

# Answers that the best one is chosen from: five seconds of renewals. The steady clocks
# of two hosts drift apart by less than a millisecond in that time.
_N_SAMPLES: Final = 10


def median_offset(offsets: Iterable[float]) -> float | None:
    """Return the offset that half of the processes agree on; None: there is none.

    Parameters
    ----------
    offsets : iterable of float
        For each process its time of day less the leader's steady clock, in seconds. Up
        to half of them may be wrong by any amount.
    """
    given = list(offsets)
    return statistics.median(given) if given else None


class AgreedTime:
    """A gateway's copy of the leader's time of day."""

    def __init__(self) -> None:
        # Round trip and offset of each answer, in seconds.
        self._samples: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=_N_SAMPLES
        )

    @property
    def is_known(self) -> bool:
        """Whether the leader has told its time yet."""
        return bool(self._samples)

    def learn(self, unix_time: float, asked_at: float, answered_at: float) -> None:
        """Take the leader's time of day from an answer.

        `asked_at` and `answered_at` are seconds of `clock.now`. The leader has read its
        clock somewhere in between, so the answer that came fastest is the best.
        """
        middle = (asked_at + answered_at) / 2
        self._samples.append((answered_at - asked_at, unix_time - middle))

    def unix_time(self, at: float) -> float:
        """Return the time of day at `at`, in seconds of `clock.now`."""
        _, offset = min(self._samples)
        return at + offset
