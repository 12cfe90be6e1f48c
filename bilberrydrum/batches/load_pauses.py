"""Learn whether loads of weights interrupt the items that an engine runs.

Some engines pause all streams while they load weights, others go on. The plan of loads
depends on it: loads that interrupt items are avoided, loads that do not may come early.
The answer is taken from the streams: an engine that goes on sends as many events during
a load as at other times.
"""

import collections
from typing import Final

import attrs

# Number of loads, of all engines, that the answer is based on.
N_LOADS: Final = 8
# Number of loads that must have been observed before there is an answer.
MIN_LOADS: Final = 3
# A load interrupted the items if fewer than this share of the usual number of events
# came during it. Delayed reading takes some of them away.
MIN_EVENT_SHARE: Final = 0.4
# Loads count as not interrupting if at most this share of those observed did. A hanging
# engine or connection looks like an interruption.
MAX_INTERRUPTED_SHARE: Final = 0.25
# A load during which fewer events than this were due says nothing.
MIN_DUE_EVENTS: Final = 4.0


@attrs.define
class StreamCount:
    """The events that an engine's streams send while it loads weights."""

    # Usual interval between two events of a stream, in seconds; 0 if it is not known.
    event_seconds: float
    n_events: int = 0

    def was_interrupted(self, load_seconds: float) -> bool | None:
        """Return whether the load interrupted the streams; None if it can't be told.

        At least one of the streams must have lasted for the whole load. The events of
        one stream are compared with what is usual, as the others may have ended.
        """
        if not self.event_seconds:
            return None
        n_due = load_seconds / self.event_seconds
        if n_due < MIN_DUE_EVENTS:
            return None
        return self.n_events < MIN_EVENT_SHARE * n_due


class LoadPauses:
    """Whether loads have interrupted items recently."""

    def __init__(self) -> None:
        self._was_interrupted: collections.deque[bool] = collections.deque(
            maxlen=N_LOADS
        )

    def record(self, was_interrupted: bool | None) -> None:
        """Record one load; None: it can't be told."""
        if was_interrupted is not None:
            self._was_interrupted.append(was_interrupted)

    def are_absent(self) -> bool:
        """Return whether loads are known not to interrupt items."""
        n_loads = len(self._was_interrupted)
        n_interrupted = sum(self._was_interrupted)
        return n_loads >= MIN_LOADS and n_interrupted <= MAX_INTERRUPTED_SHARE * n_loads
