"""The targets of the engines, and the progress of each engine."""

from collections.abc import Mapping, Sequence
from typing import Final

import attrs

from bilberrydrum.bundles import model as bundle_model
from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import orders, planner, queries, views

# States of one model on one engine, by the engine's report.
CURRENT: Final = "current"
# The target version is in memory, but not in use.
LOADED: Final = "loaded"
BEHIND: Final = "behind"


@attrs.frozen
class FailedOrder:
    """An order that did not succeed and will be issued again."""

    kind: str
    weight_version: int
    adapter: str
    n_failures: int
    detail: str


@attrs.frozen
class EngineStatus:
    """One model on one engine."""

    upstream_id: str
    weight_version: int
    loaded_versions: tuple[int, ...]
    state: str
    # Kind of the order in flight; empty if this process has issued none.
    order: str = ""
    failed_orders: tuple[FailedOrder, ...] = ()


@attrs.frozen
class ModelStatus:
    """One model on all engines."""

    model: str
    # Version that the engines are to generate with; 0 if any version will do.
    weight_version: int
    prepared_version: int
    n_engines: int
    n_current: int
    n_loaded: int
    engines: tuple[EngineStatus, ...]


def targets_by_model(
    bundle: bundle_model.Bundle, publications: queries.Publications
) -> dict[str, views.Target]:
    """Return the target of each model in `bundle`."""
    newest = publications.newest_model_versions(bundle.trainers)
    prepared = publications.prepared_model_versions(bundle.trainers)
    targets = {}
    for name, rule in bundle.models.items():
        published = newest.get(name, 0)
        ahead = prepared.get(name, 0)
        targets[name] = views.Target(
            weight_version=published or rule.weight_version,
            # Another trainer of the model may have published a newer version, and then
            # the prepared one is not needed.
            prepared_version=ahead if ahead > published else 0,
            source=rule.weight_store,
            max_concurrent_loads=rule.max_concurrent_loads,
            adapters=_adapters_of(name, rule, bundle),
            only_rises=bool(published),
        )
    return targets


def _adapters_of(
    model: str, rule: bundle_model.ModelRule, bundle: bundle_model.Bundle
) -> tuple[str, ...]:
    """Return the adapters that callers and trainers of a model may request."""
    trainers = bundle.trainers.values()
    of_trainers = [
        each.adapter for each in trainers if each.model == model and each.adapter
    ]
    return tuple(dict.fromkeys([*rule.adapters, *of_trainers]))


def engines_of(
    upstreams_by_id: Mapping[str, upstream_model.Upstream],
) -> dict[str, upstream_model.Upstream]:
    """Return the engines among the upstreams."""
    return {
        upstream_id: upstream
        for upstream_id, upstream in upstreams_by_id.items()
        if upstream.kind == upstream_model.KIND_ENGINE
    }


def status_of(
    model: str,
    target: views.Target,
    engines_by_id: Mapping[str, upstream_model.Upstream],
    actions_by_id: Mapping[str, orders.Action],
    failed_by_id: Mapping[str, Sequence[planner.FailedAction]],
) -> ModelStatus:
    """Return the progress of the engines that serve `model`."""
    engines = []
    for engine_id, upstream in sorted(engines_by_id.items()):
        served = upstream.models.get(model)
        if served is None:
            continue
        action = actions_by_id.get(engine_id)
        engines.append(
            EngineStatus(
                engine_id,
                served.weight_version,
                served.loaded_versions,
                _state_of(served, target),
                "" if action is None else action.kind,
                _failed_orders(model, failed_by_id.get(engine_id, ())),
            )
        )
    states = [engine.state for engine in engines]
    return ModelStatus(
        model,
        target.weight_version,
        target.prepared_version,
        len(engines),
        states.count(CURRENT),
        states.count(LOADED),
        tuple(engines),
    )


def _state_of(served: upstream_model.ServedModel, target: views.Target) -> str:
    if target.weight_version in (0, served.weight_version):
        return CURRENT
    return LOADED if target.weight_version in served.loaded_versions else BEHIND


def _failed_orders(
    model: str, failed: Sequence[planner.FailedAction]
) -> tuple[FailedOrder, ...]:
    return tuple(
        FailedOrder(
            each.action.kind,
            each.action.weight_version,
            each.action.adapter,
            each.n_failures,
            each.detail,
        )
        for each in failed
        if each.action.model in (model, "")
    )
