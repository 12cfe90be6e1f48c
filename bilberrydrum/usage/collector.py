"""The control leader's collection of the gateways' counts, and which windows can close.

Gateways may be suspended, partitioned or killed around the end of a window. If the
window were closed at once, the requests that they have counted would be missing; if it
were kept open until all of them respond, its report would be late.
"""

import collections
from collections.abc import Iterator
from typing import Final

import attrs

from bilberrydrum.usage import model

# Share of the time until a report is due during which silent gateways are waited for.
# Of 10 s, this leaves 4 s for a commit, a change of leader and a slow receiver.
_WAIT_SHARE: Final = 0.6
# A gateway that has been silent for this long, in seconds, is no longer waited for: its
# host was most likely removed.
_SILENT_SECONDS: Final = 30.0


@attrs.define
class _Gateway:
    """The latest snapshot from one address, sent by its latest known incarnation."""

    snapshot: model.CountsSnapshot
    received_at: float


class CountsCollector:
    """The snapshots of all gateways, collected during one leader's term."""

    def __init__(self, options: model.UsageOptions, began_at: float) -> None:
        """Start without snapshots.

        Parameters
        ----------
        options : model.UsageOptions
            Lengths of windows and times until reports are due.
        began_at : float
            When the leadership began, in seconds of `clock.now`. All gateways send
            their counts again within a few renewals after it.
        """
        self._options = options
        self._began_at = began_at
        self._gateways_by_address: dict[str, _Gateway] = {}
        # The last snapshots of other incarnations, which have ended.
        self._former_by_incarnation: dict[str, model.CountsSnapshot] = {}

    def record(self, address: str, snapshot: model.CountsSnapshot, now: float) -> None:
        """Record a snapshot from the gateway at `address`."""
        # Snapshots of two incarnations may arrive interleaved. Each contains all counts
        # of its incarnation, so adding them up as they arrive would count requests
        # twice. Keyed by incarnation, only the latest snapshot of each counts.
        known = self._gateways_by_address.get(address)
        current = None if known is None else known.snapshot
        if current is not None and current.incarnation == snapshot.incarnation:
            before: model.CountsSnapshot | None = current
        else:
            before = self._former_by_incarnation.get(snapshot.incarnation)
        if before is not None and snapshot.sequence <= before.sequence:
            return
        if current is not None:
            self._former_by_incarnation[current.incarnation] = current
        self._former_by_incarnation.pop(snapshot.incarnation, None)
        self._gateways_by_address[address] = _Gateway(snapshot, now)

    def closable(
        self, first: int, unix_time: float, now: float, collect_seconds: float
    ) -> Iterator[model.WindowCounts]:
        """Yield the windows that can be closed, the oldest first.

        Parameters
        ----------
        first : int
            The oldest window that is not closed.
        unix_time : float
            The cluster's time of day, in seconds.
        now : float
            The same moment in seconds of `clock.now`.
        collect_seconds : float
            How long a new leader waits for gateways from which it has no snapshot yet.
        """
        if now - self._began_at < collect_seconds:
            return
        current = model.window_at(unix_time, self._options.window_seconds)
        for window in range(first, current):
            end = (window + 1) * self._options.window_seconds
            is_awaited = unix_time - end < self._options.due_seconds * _WAIT_SHARE
            if is_awaited and not self._is_complete(window, now):
                return
            yield self._counts(window)

    def first_window(self) -> int | None:
        """Return the oldest window that has requests; None: there is none."""
        windows = [
            each.window for snapshot in self._snapshots() for each in snapshot.counts
        ]
        return min(windows, default=None)

    def forget_before(self, window: int) -> None:
        """Drop snapshots of ended incarnations without counts from `window` on."""
        self._former_by_incarnation = {
            incarnation: snapshot
            for incarnation, snapshot in self._former_by_incarnation.items()
            if any(each.window >= window for each in snapshot.counts)
        }

    def _is_complete(self, window: int, now: float) -> bool:
        return all(
            each.snapshot.is_last
            or each.snapshot.complete_before > window
            or now - each.received_at >= _SILENT_SECONDS
            for each in self._gateways_by_address.values()
        )

    def _snapshots(self) -> list[model.CountsSnapshot]:
        current = [each.snapshot for each in self._gateways_by_address.values()]
        return [*self._former_by_incarnation.values(), *current]

    def _counts(self, window: int) -> model.WindowCounts:
        total: collections.Counter[str] = collections.Counter()
        for snapshot in self._snapshots():
            for each in snapshot.counts:
                if each.window == window:
                    total.update(each.n_by_account)
        return model.WindowCounts(window, dict(sorted(total.items())))
