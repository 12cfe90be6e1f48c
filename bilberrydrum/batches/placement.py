"""Classes of engines by the time at which an item would end there.

Where engines differ, the items that determine the duration of a step should run at the
fast ones, and all others where there is room. So the time at which an item would end at
an engine is compared with the time that the longest waiting item of its model takes at
the fastest engine, its horizon. A difference below a quarter of the horizon counts as
none. A short item ends long before its horizon at any engine, so all engines are alike
for it, and it goes where the load is lowest.

Ranking engines by their speed alone would send all items to the same few fast engines
while the others are idle.
"""

import math
import statistics
from collections.abc import Hashable, Iterable, Sequence
from typing import Final, Protocol

import attrs

# Smallest difference that counts, as a share of the horizon. Load makes this much
# difference among engines of the same speed.
_CLASS_SHARE: Final = 0.25
# Lengths below this share of the horizon are not distinguished from zero, which bounds
# the number of kinds of items. At an engine of up to three times the usual seconds per
# event they end within the same quarter, and slower engines count as slow.
_MIN_SHARE: Final = 0.125
# How long a reported work factor is expected to last, in seconds. It describes the
# current moment, so it must not decide on items that run for several seconds.
_WORK_FACTOR_LASTS_SECONDS: Final = 0.5


class Item(Protocol):
    """What is needed of a waiting item."""

    @property
    def model(self) -> str:
        """The model that generates the item."""

    @property
    def n_events(self) -> float:
        """Expected number of remaining events; 0: not known."""


class Engine(Protocol):
    """What is needed of an engine."""

    @property
    def event_seconds(self) -> float:
        """Seconds per event; 0: not known."""

    @property
    def work_factor(self) -> float:
        """How long work takes at the engine's host now; 1.0 is the usual time."""


@attrs.frozen
class _Horizon:
    n_events: float = 0.0
    seconds: float = 0.0


class EndClasses:
    """The classes of expected end of given items at given engines."""

    def __init__(self, items: Iterable[Item], engines: Sequence[Engine]) -> None:
        known = [each.event_seconds for each in engines if each.event_seconds]
        # An engine of unknown speed is assumed to have the median.
        self._assumed = statistics.median_low(known) if known else 0.0
        self._speed_by_seconds = _rounded_down(known)
        self._fastest = min(self._speed_by_seconds.values(), default=0.0)
        n_events_by_model: dict[str, float] = {}
        for each in items:
            longest = n_events_by_model.get(each.model, 0.0)
            n_events_by_model[each.model] = max(longest, each.n_events)
        self._horizons_by_model = {
            name: _Horizon(n_events, n_events * self._fastest)
            for name, n_events in n_events_by_model.items()
        }
        is_busy = any(each.work_factor > 1.0 for each in engines)
        # Whether all engines are alike for all items.
        self.is_uniform = not is_busy and all(
            each <= self._fastest for each in self._speed_by_seconds.values()
        )

    def kind(self, item: Item) -> Hashable:
        """Return the property of an item that `of` uses besides its model."""
        return 0.0 if self.is_uniform else self._share(item)

    def of(self, item: Item, engine: Engine) -> int:
        """Return the class of an item's expected end at an engine; 0 is the best."""
        if self.is_uniform:
            return 0
        share = self._share(item)
        if not share:
            return 0
        excess = 0.0
        event_seconds = engine.event_seconds or self._assumed
        if event_seconds:
            speed = self._speed_by_seconds[event_seconds]
            excess = share * (speed / self._fastest - 1.0)
        return int((excess + self._delay(item, engine, share)) / _CLASS_SHARE)

    def _delay(self, item: Item, engine: Engine, share: float) -> float:
        """Return the delay by a busy host, as a share of the horizon."""
        seconds = self._horizons_by_model[item.model].seconds
        if engine.work_factor <= 1.0 or not seconds:
            return 0.0
        lasting = _WORK_FACTOR_LASTS_SECONDS * (1.0 - 1.0 / engine.work_factor)
        return min(lasting / seconds, share * (engine.work_factor - 1.0))

    def _share(self, item: Item) -> float:
        """Return the item's length as a share of its horizon, rounded up to 1 / 2^n."""
        horizon = self._horizons_by_model[item.model]
        if not horizon.n_events or item.n_events <= _MIN_SHARE * horizon.n_events:
            return 0.0
        ratio = item.n_events / horizon.n_events
        return float(2.0 ** math.ceil(math.log2(ratio)))


def _rounded_down(values: Iterable[float]) -> dict[float, float]:
    """Return each value's class: the smallest value at most a quarter below.

    A class begins with a value that is a quarter above the beginning of the one before
    it, so engines that are about equal are in one class, whatever their speed is.
    """
    classes = {}
    first = 0.0
    for each in sorted(set(values)):
        if each >= (1.0 + _CLASS_SHARE) * first:
            first = each
        classes[each] = first
    return classes
