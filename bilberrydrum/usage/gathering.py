"""What gateways have told the control leader, and which windows can be closed.

Answers the load in which gateways stand still, are cut off or are killed around a
window's end: closed at once, the window would lack what they have counted; kept open
until all are back, its report would be late.
"""

import collections
from collections.abc import Iterator
from typing import Final

import attrs

from bilberrydrum.usage import model

# Share of the time until a report is due for which a gateway that is silent is waited
# for: of 10 s it leaves four for a commit, a change of the leader and a slow receiver.
_WAIT_SHARE: Final = 0.6
# A gateway that is silent for this long, in seconds, is waited for no more: its host
# was most likely taken away.
_GONE_SECONDS: Final = 30.0


@attrs.define
class _Gateway:
    """The start of the process at one address that was heard last."""

    telling: model.Telling
    heard_at: float


class Gathering:
    """The tellings of all gateways, of one leader's time."""

    def __init__(self, options: model.UsageOptions, began_at: float) -> None:
        """Start without tellings.

        `began_at`: when the leadership began, in seconds of `clock.now`; all gateways
        tell their counts anew within some renewals of it.
        """
        self._options = options
        self._began_at = began_at
        self._gateways_by_address: dict[str, _Gateway] = {}
        # The last tellings of other starts, which have ended.
        self._former_by_incarnation: dict[str, model.Telling] = {}

    def note(self, address: str, telling: model.Telling, now: float) -> None:
        """Take what the gateway at `address` tells."""
        # Tellings of two starts may come mixed. Each has all counts of its start: added
        # as they come, those of one start would count twice. Kept by the start, the
        # latest of each counts, once.
        known = self._gateways_by_address.get(address)
        current = None if known is None else known.telling
        if current is not None and current.incarnation == telling.incarnation:
            before: model.Telling | None = current
        else:
            before = self._former_by_incarnation.get(telling.incarnation)
        if before is not None and telling.sequence <= before.sequence:
            return
        if current is not None:
            self._former_by_incarnation[current.incarnation] = current
        self._former_by_incarnation.pop(telling.incarnation, None)
        self._gateways_by_address[address] = _Gateway(telling, now)

    def closable(
        self, first: int, unix_time: float, now: float, gather_seconds: float
    ) -> Iterator[model.WindowCounts]:
        """Yield the windows that can be closed, the oldest first.

        Parameters
        ----------
        first : int
            The oldest window that is not closed.
        unix_time : float
            The time of day on which the processes agree, in seconds.
        now : float
            The same moment in seconds of `clock.now`.
        gather_seconds : float
            How long a new leader waits for gateways that it has not heard of yet.
        """
        if now - self._began_at < gather_seconds:
            return
        current = model.window_at(unix_time, self._options.window_seconds)
        for window in range(first, current):
            end = (window + 1) * self._options.window_seconds
            is_awaited = unix_time - end < self._options.due_seconds * _WAIT_SHARE
            if is_awaited and not self._is_complete(window, now):
                return
            yield self._counts(window)

    def first_window(self) -> int | None:
        """Return the oldest window with a request in it; None: there is none."""
        windows = [each.window for told in self._tellings() for each in told.counts]
        return min(windows, default=None)

    def forget_before(self, window: int) -> None:
        """Drop tellings of ended processes that only concern closed windows."""
        self._former_by_incarnation = {
            incarnation: told
            for incarnation, told in self._former_by_incarnation.items()
            if any(each.window >= window for each in told.counts)
        }

    def _is_complete(self, window: int, now: float) -> bool:
        return all(
            each.telling.is_last
            or each.telling.complete_before > window
            or now - each.heard_at >= _GONE_SECONDS
            for each in self._gateways_by_address.values()
        )

    def _tellings(self) -> list[model.Telling]:
        current = [each.telling for each in self._gateways_by_address.values()]
        return [*self._former_by_incarnation.values(), *current]

    def _counts(self, window: int) -> model.WindowCounts:
        total: collections.Counter[str] = collections.Counter()
        for told in self._tellings():
            for each in told.counts:
                if each.window == window:
                    total.update(each.n_by_account)
        return model.WindowCounts(window, dict(sorted(total.items())))
