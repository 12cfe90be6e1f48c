"""How many engines may swap at a time.

A swap pauses its engine. All engines lose the same time whatever the order, but those
that wait for their turn keep the trainers fed, so only a share of them, by default one
half, swaps at a time. With a share of 1 the last engine has the new version sooner, and
for the time of a swap nobody generates.
"""

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import orders, views

# A first swap that takes longer than this does not hold up the next engine's.
TRIAL_SECONDS: Final = 3.0


@attrs.define
class Slots:
    """How many more swaps of each model may begin now."""

    n_free_by_model: dict[str, int]

    def try_take(self, model: str) -> bool:
        """Take a slot, if one is left."""
        if self.n_free_by_model[model] <= 0:
            return False
        self.n_free_by_model[model] -= 1
        return True


class Census:
    """Counts each model's engines, and those that have the wanted version."""

    def __init__(
        self, targets_by_model: Mapping[str, views.Target], swap_share: float
    ) -> None:
        self._targets_by_model = targets_by_model
        self._swap_share = swap_share
        self._n_engines = dict.fromkeys(targets_by_model, 0)
        self._n_current = dict.fromkeys(targets_by_model, 0)

    def add_settled(self, upstream: upstream_model.Upstream) -> None:
        """Count an engine that lacks nothing."""
        for name in upstream.models:
            if name in self._n_engines:
                self._n_engines[name] += 1
                self._n_current[name] += 1

    def add(self, view: views.EngineView) -> None:
        """Count an engine that may lack something."""
        for name, model in view.models_by_name.items():
            target = self._targets_by_model.get(name)
            if target is not None:
                self._n_engines[name] += 1
                self._n_current[name] += model.weight_version == target.weight_version

    def slots(self, flights: Iterable[orders.Flight], now: float) -> Slots:
        """Return the slots that the orders on their way leave."""
        n_swapping = dict.fromkeys(self._n_engines, 0)
        n_slow = dict.fromkeys(self._n_engines, 0)
        for flight in flights:
            action = flight.order.action
            if action.kind == orders.SWAP and action.model in n_swapping:
                n_swapping[action.model] += 1
                n_slow[action.model] += now - flight.since >= TRIAL_SECONDS
        n_free = {
            name: self._n_allowed(name, n_slow[name]) - n_swapping[name]
            for name in self._n_engines
        }
        return Slots(n_free)

    def _n_allowed(self, model: str, n_slow: int) -> int:
        if self._n_current[model]:
            return max(1, int(self._n_engines[model] * self._swap_share))
        # Weights that make engines fail must not take all of them: until one engine
        # generates with the new version, one at a time tries it. One that is slow to
        # answer does not hold up the others for long.
        return 1 + n_slow
