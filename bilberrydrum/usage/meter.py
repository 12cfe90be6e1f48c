"""Counts the requests that upstreams begin, at one gateway."""

import collections
import contextlib
import uuid
from collections.abc import Iterator
from typing import Final

import attrs
import eliot

from bilberrydrum import clock, counters
from bilberrydrum.usage import agreed_time, model

# Windows whose counts are kept while no leader closes them. At 5 s a window that is two
# minutes without a control group, some 0.5 MB at 27 requests a second; a report is long
# overdue by then.
MAX_WINDOWS: Final = 24


@attrs.define(eq=False)
class Attempt:
    """A request on its way to one upstream."""

    account: str
    opened_at: float
    # When it was sent, in seconds of `clock.now`; None: no upstream began it.
    began_at: float | None = None


class Meter:
    """What this gateway has counted and not seen closed."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._incarnation = uuid.uuid4().hex[:16]
        self._sequence = 0
        self._closed_before = 0
        self._counts_by_window: dict[int, collections.Counter[str]] = {}
        self._under_way: set[Attempt] = set()
        self.time = agreed_time.AgreedTime()
        # Nothing more will begin.
        self.is_stopping = False

    @contextlib.contextmanager
    def attempt(self, account: str) -> Iterator[Attempt]:
        """Count what the block sends, if it notes in `began_at` that it was begun."""
        opened = Attempt(account, clock.now())
        self._under_way.add(opened)
        try:
            yield opened
        finally:
            self._under_way.discard(opened)
            if opened.began_at is not None:
                self._count(opened.account, opened.began_at)

    def _count(self, account: str, began_at: float) -> None:
        if not self.time.is_known:
            # No leader was ever heard, so there is no policy that has accounts.
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

    def learn(
        self,
        unix_time: float,
        asked_at: float,
        answered_at: float,
        closed_before: int,
    ) -> None:
        """Take the leader's time of day, and which windows are closed."""
        if unix_time:
            self.time.learn(unix_time, asked_at, answered_at)
        self._closed_before = max(self._closed_before, closed_before)
        for window in list(self._counts_by_window):
            if window < self._closed_before:
                del self._counts_by_window[window]

    def telling(self) -> model.Telling | None:
        """Return what the leader is to know; None: there are no windows yet."""
        if not self.time.is_known:
            return None
        self._sequence += 1
        since = min((each.opened_at for each in self._under_way), default=clock.now())
        return model.Telling(
            self._incarnation,
            self._sequence,
            self._window_at(since),
            tuple(
                model.WindowCounts(window, dict(counts))
                for window, counts in sorted(self._counts_by_window.items())
            ),
            self.is_stopping and not self._under_way,
        )


@contextlib.contextmanager
def attempt(meter: Meter | None, account: str | None) -> Iterator[Attempt]:
    """Count by `meter` what the block sends; None: use is not counted."""
    if meter is None or not account:
        yield Attempt("", 0.0)
        return
    with meter.attempt(account) as opened:
        yield opened
