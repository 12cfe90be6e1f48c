"""Limits on how many engines swap weight versions at a time.

An engine does not generate during a swap. The total pause is the same for any number of
concurrent swaps, but engines that have not swapped yet go on generating samples for the
trainers. So only a share of them, by default one half, swaps at a time. With a share of
1 the last engine has the new version sooner, but no engine generates during the swap.
"""

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import orders, views

# If the first swap to a version takes longer than this, in seconds, the next engine may
# swap as well.
FIRST_SWAP_SECONDS: Final = 3.0


@attrs.define
class SwapSlots:
    """Number of further swaps of each model that may start in this pass."""

    n_free_by_model: dict[str, int]

    def try_take(self, model: str) -> bool:
        """Take a slot for a swap of `model` and return True, if one is free."""
        if self.n_free_by_model[model] <= 0:
            return False
        self.n_free_by_model[model] -= 1
        return True


class EngineCounts:
    """Counts the engines of each model, and those that use its target version."""

    def __init__(
        self, targets_by_model: Mapping[str, views.Target], swap_share: float
    ) -> None:
        self._targets_by_model = targets_by_model
        self._swap_share = swap_share
        self._n_engines = dict.fromkeys(targets_by_model, 0)
        self._n_current = dict.fromkeys(targets_by_model, 0)

    def add_up_to_date(self, upstream: upstream_model.Upstream) -> None:
        """Count an engine that needs no order."""
        for name in upstream.models:
            if name in self._n_engines:
                self._n_engines[name] += 1
                self._n_current[name] += 1

    def add(self, view: views.EngineView) -> None:
        """Count an engine that may need an order."""
        for name, model in view.models_by_name.items():
            target = self._targets_by_model.get(name)
            if target is not None:
                self._n_engines[name] += 1
                self._n_current[name] += model.weight_version == target.weight_version

    def slots(
        self, in_flight_orders: Iterable[orders.InFlightOrder], now: float
    ) -> SwapSlots:
        """Return the slots that the swaps in flight leave free."""
        n_swapping = dict.fromkeys(self._n_engines, 0)
        n_slow = dict.fromkeys(self._n_engines, 0)
        for in_flight in in_flight_orders:
            action = in_flight.order.action
            if action.kind == orders.SWAP and action.model in n_swapping:
                n_swapping[action.model] += 1
                n_slow[action.model] += now - in_flight.issued_at >= FIRST_SWAP_SECONDS
        n_free = {
            name: self._n_allowed(name, n_slow[name]) - n_swapping[name]
            for name in self._n_engines
        }
        return SwapSlots(n_free)

    def _n_allowed(self, model: str, n_slow: int) -> int:
        if self._n_current[model]:
            return max(1, int(self._n_engines[model] * self._swap_share))
        # Weights that make engines fail must not take down all engines. So until one
        # engine generates with the new version, only one at a time swaps to it. Each
        # swap that is slow allows one more, so that a single slow engine does not
        # block the roll-out.
        return 1 + n_slow
