"""Divide the engines among the models by work.

`division` decides when this is used, and when engines move because of lags instead.

An engine that serves a single model loads each version of it once and keeps the prompts
in its cache. An engine that served all models would load a version of each of them, and
lose its cache with each load. So each model gets a share of the engines in proportion
to its demand, but at least one engine, and keeps its engines while its share is
unchanged.
"""

import math
from collections.abc import Collection, Mapping

import attrs

# While the set of engines is unchanged, the shares are recomputed only if one differs
# from the model's demand by more than this many engines: each engine that is reassigned
# costs a load of weights.
HYSTERESIS_ENGINES = 0.75


@attrs.frozen
class Shares:
    """The engines assigned to each model."""

    engine_ids_by_model: dict[str, frozenset[str]] = attrs.field(factory=dict)

    def models_of(self, engine_id: str) -> list[str]:
        """Return the models that an engine is assigned to."""
        return [
            model
            for model, engine_ids in self.engine_ids_by_model.items()
            if engine_id in engine_ids
        ]

    def is_disjoint(self) -> bool:
        """Return whether no engine is assigned to several models."""
        n_assigned = sum(len(each) for each in self.engine_ids_by_model.values())
        return n_assigned == len(frozenset().union(*self.engine_ids_by_model.values()))

    def sizes(self) -> dict[str, int]:
        """Return the number of engines of each model."""
        return {model: len(ids) for model, ids in self.engine_ids_by_model.items()}


def loaded(
    versions_by_engine: Mapping[str, Mapping[str, int]],
    newest_by_model: Mapping[str, int],
) -> Shares:
    """Return the assignment that the versions loaded by the engines show.

    An engine belongs to the model of which it is the fewest versions behind. An engine
    that is equally far behind for several models belongs to none.

    Parameters
    ----------
    versions_by_engine : mapping
        The version that each engine serves of each model.
    newest_by_model : mapping of str to int
        The newest published version of each model.
    """
    found: dict[str, set[str]] = {}
    for engine_id, versions in versions_by_engine.items():
        behind = sorted(
            (newest_by_model.get(model, version) - version, model)
            for model, version in versions.items()
        )
        if behind and (len(behind) == 1 or behind[0][0] < behind[1][0]):
            found.setdefault(behind[0][1], set()).add(engine_id)
    return Shares({model: frozenset(ids) for model, ids in found.items()})


def divide(
    engine_ids: Collection[str],
    demand_by_model: Mapping[str, float],
    previous: Shares,
) -> Shares:
    """Assign the engines to the models.

    If there are fewer engines than models, each engine is assigned to all models.

    Parameters
    ----------
    engine_ids : collection of str
        The engines that can be used.
    demand_by_model : mapping of str to float
        Work that each model's trainer asks for, in any unit. A model with a demand of 0
        gets one engine.
    previous : Shares
        The assignment so far.
    """
    models = sorted(demand_by_model)
    if not models or not engine_ids:
        return Shares()
    if len(engine_ids) < len(models):
        everything = frozenset(engine_ids)
        return Shares({model: everything for model in models})
    quotas = _quotas(len(engine_ids), demand_by_model, models, previous, engine_ids)
    return Shares(_assign_engines(sorted(engine_ids), quotas, previous))


def _quotas(
    n_engines: int,
    demand_by_model: Mapping[str, float],
    models: list[str],
    previous: Shares,
    engine_ids: Collection[str],
) -> dict[str, int]:
    total = sum(demand_by_model.values())
    exact = {
        model: n_engines
        * (demand_by_model[model] / total if total else 1 / len(models))
        for model in models
    }
    held = {
        model: len(
            previous.engine_ids_by_model.get(model, frozenset()) & set(engine_ids)
        )
        for model in models
    }
    is_settled = sum(held.values()) == n_engines and all(
        held[model] and abs(held[model] - exact[model]) <= HYSTERESIS_ENGINES
        for model in models
    )
    if is_settled:
        return held
    quotas = {model: max(1, math.floor(exact[model])) for model in models}
    while sum(quotas.values()) > n_engines:
        largest = max(models, key=lambda each: (quotas[each] - exact[each], each))
        if quotas[largest] == 1:
            largest = max(models, key=lambda each: (quotas[each], each))
        quotas[largest] -= 1
    while sum(quotas.values()) < n_engines:
        furthest_below = max(
            models, key=lambda each: (exact[each] - quotas[each], each)
        )
        quotas[furthest_below] += 1
    return quotas


def _assign_engines(
    engine_ids: list[str], quotas: Mapping[str, int], previous: Shares
) -> dict[str, frozenset[str]]:
    free = set(engine_ids)
    chosen: dict[str, set[str]] = {}
    for model, quota in quotas.items():
        kept = sorted(previous.engine_ids_by_model.get(model, frozenset()) & free)
        chosen[model] = set(kept[:quota])
        free -= chosen[model]
    for model, quota in quotas.items():
        wanted = sorted(free)[: quota - len(chosen[model])]
        chosen[model].update(wanted)
        free -= set(wanted)
    return {model: frozenset(ids) for model, ids in chosen.items()}
