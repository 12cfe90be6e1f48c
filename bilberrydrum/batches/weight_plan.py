"""Which engines load which version of a model's weights next.

Engines are loaded a few at a time, as each load takes longer while others load, and
never more than half of a model's engines at once: the others go on under the version
before, which a step still allows.
"""

from collections.abc import Collection, Mapping

import attrs


@attrs.frozen
class EngineWeights:
    """One engine, as far as its weights matter."""

    engine_id: str
    versions_by_model: Mapping[str, int]
    # It is carrying out an order, or an order's fate is not known yet.
    is_loading: bool
    # Requests that it runs for this system.
    n_running: int


@attrs.frozen
class Load:
    """An engine is to serve a version."""

    engine_id: str
    model: str
    version: int


def plan(
    engines: Collection[EngineWeights],
    engine_ids_by_model: Mapping[str, frozenset[str]],
    named_versions_by_model: Mapping[str, int],
    max_loading: int,
) -> list[Load]:
    """Return the loads that are to begin now."""
    by_id = {each.engine_id: each for each in engines}
    n_free = max_loading - sum(1 for each in engines if each.is_loading)
    begun: set[str] = set()
    loads: list[Load] = []
    for need in _needs(by_id, engine_ids_by_model, named_versions_by_model):
        if len(loads) >= n_free:
            break
        if need.engine_id in begun:
            continue
        mates = engine_ids_by_model[need.model]
        if not _may_begin(need.engine_id, mates, by_id, begun):
            continue
        begun.add(need.engine_id)
        loads.append(need)
    return loads


def _needs(
    by_id: Mapping[str, EngineWeights],
    engine_ids_by_model: Mapping[str, frozenset[str]],
    named_versions_by_model: Mapping[str, int],
) -> list[Load]:
    """Return all loads that are wanted, the model furthest behind first."""
    ranked = []
    for model, engine_ids in engine_ids_by_model.items():
        named = named_versions_by_model.get(model)
        if named is None:
            continue
        for engine_id in engine_ids:
            engine = by_id.get(engine_id)
            if engine is None or model not in engine.versions_by_model:
                continue
            behind = named - engine.versions_by_model[model]
            if behind > 0:
                rank = (-behind, engine.n_running, engine_id)
                ranked.append((rank, Load(engine_id, model, named)))
    ranked.sort(key=lambda each: each[0])
    return [load for _, load in ranked]


def _may_begin(
    engine_id: str,
    mates: frozenset[str],
    by_id: Mapping[str, EngineWeights],
    begun: set[str],
) -> bool:
    if by_id[engine_id].is_loading:
        return False
    present = [by_id[each] for each in mates if each in by_id]
    n_loading = sum(1 for each in present if each.is_loading or each.engine_id in begun)
    return n_loading == 0 or n_loading + 1 <= len(present) // 2
