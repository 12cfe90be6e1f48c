"""Counts the requests that upstreams begin for one gateway."""

import collections
import contextlib
import uuid
from collections.abc import Iterator
from typing import Final

import attrs
import eliot

from bilberrydrum import clock, counters
from bilberrydrum.usage import cluster_clock, model

# Maximum number of windows whose counts are kept while no leader closes them: two
# minutes of windows of 5 s, about 0.5 MB at 27 requests a second. By then the reports
# are long overdue.
MAX_WINDOWS: Final = 24


@attrs.define(eq=False)
class Attempt:
    """One attempt to send a request to an upstream."""

    account: str
    opened_at: float
    # When the request was sent, in seconds of `clock.now`; None: no upstream began it.
    began_at: float | None = None


class Meter:
    """The requests counted at this gateway, for windows not known to be closed."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._incarnation = uuid.uuid4().hex[:16]
        self._sequence = 0
        self._closed_before = 0
        self._counts_by_window: dict[int, collections.Counter[str]] = {}
        self._in_flight: set[Attempt] = set()
        self.time = cluster_clock.ClusterClock()
        # Whether the gateway is stopping and will begin no more attempts.
        self.is_stopping = False

    @contextlib.contextmanager
    def attempt(self, account: str) -> Iterator[Attempt]:
        """Count the attempt made in the block, if the block sets its `began_at`."""
        opened = Attempt(account, clock.now())
        self._in_flight.add(opened)
        try:
            yield opened
        finally:
            self._in_flight.discard(opened)
            if opened.began_at is not None:
                self._count(opened.account, opened.began_at)

    def _count(self, account: str, began_at: float) -> None:
        if not self.time.is_known:
            # No leader has ever answered, so there is no policy with accounts yet.
            return
        window = self._window_at(began_at)
        if window < self._closed_before:
            counters.USAGE_LOST.labels("late").inc()
            eliot.log_message(
                message_type="usage:counted-late",
                account=account,
                window=window,
                closed_before=self._closed_before,
            )
            return
        counts = self._counts_by_window.setdefault(window, collections.Counter())
        counts[account] += 1
        self._drop_oldest()

    def _drop_oldest(self) -> None:
        while len(self._counts_by_window) > MAX_WINDOWS:
            window = min(self._counts_by_window)
            dropped = self._counts_by_window.pop(window)
            counters.USAGE_LOST.labels("dropped").inc(dropped.total())
            eliot.log_message(
                message_type="usage:dropped", window=window, n_requests=dropped.total()
            )

    def _window_at(self, at: float) -> int:
        return model.window_at(self.time.unix_time(at), self._window_seconds)

    def update(
        self,
        unix_time: float,
        sent_at: float,
        received_at: float,
        closed_before: int,
    ) -> None:
        """Apply the leader's time of day and closed windows from an answer.

        Parameters
        ----------
        unix_time : float
            The leader's time of day, in seconds; 0: not sent.
        sent_at, received_at : float
            When the request was sent and its answer came, in seconds of `clock.now`.
        closed_before : int
            All windows before this one are closed.
        """
        if unix_time:
            self.time.add_sample(unix_time, sent_at, received_at)
        self._closed_before = max(self._closed_before, closed_before)
        for window in list(self._counts_by_window):
            if window < self._closed_before:
                del self._counts_by_window[window]

    def snapshot(self) -> model.CountsSnapshot | None:
        """Return the counts for the leader; None: the time of day is not known yet."""
        if not self.time.is_known:
            return None
        self._sequence += 1
        since = min((each.opened_at for each in self._in_flight), default=clock.now())
        return model.CountsSnapshot(
            self._incarnation,
            self._sequence,
            self._window_at(since),
            tuple(
                model.WindowCounts(window, dict(counts))
                for window, counts in sorted(self._counts_by_window.items())
            ),
            self.is_stopping and not self._in_flight,
        )


@contextlib.contextmanager
def attempt(meter: Meter | None, account: str | None) -> Iterator[Attempt]:
    """Count the attempt made in the block; no meter or account: count nothing."""
    if meter is None or not account:
        yield Attempt("", 0.0)
        return
    with meter.attempt(account) as opened:
        yield opened
