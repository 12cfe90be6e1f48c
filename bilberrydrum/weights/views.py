"""What is known of an engine, and which actions it needs.

An engine's report lags behind its state. Until the report must have caught up with an
order, the engine's answer to the order is applied on top of it; after that, only the
report counts.
"""

import enum
import functools
from collections.abc import Iterator, Mapping, Sequence
from typing import Final

import attrs

from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import orders

# Time by which a report may lag behind the answer to an order. If an engine crashed
# after its answer, the planner notices it after this time at the latest.
REPORT_LAG_SECONDS: Final = 2.0


@attrs.frozen
class Target:
    """What the engines of a model are to load and generate with."""

    # Version to generate with; 0 if any loaded version will do.
    weight_version: int
    # Version to load before its publication; 0 if there is none.
    prepared_version: int = 0
    # Base URL of the weight store.
    source: str = ""
    max_concurrent_loads: int = 1
    adapters: tuple[str, ...] = ()
    # Whether the target comes from publications, whose versions only rise. A loaded
    # version between the one in use and the target is then newer than the one in use.
    # A target from the bundle may be lower than an earlier one.
    only_rises: bool = True


@attrs.frozen
class Acknowledgement:
    """An engine's answer that it has executed `action`."""

    action: orders.Action
    # Time of the answer, in seconds of `clock.now`.
    at: float


@attrs.define
class ModelView:
    """One model on one engine, from its report and its recent answers."""

    weight_version: int
    loaded_versions: set[int]
    adapters: set[str]


@attrs.define
class EngineView:
    """One engine, from its report and its recent answers."""

    models_by_name: dict[str, ModelView]
    role: str

    @classmethod
    def of(
        cls,
        upstream: upstream_model.Upstream,
        acknowledgements: Sequence[Acknowledgement],
    ) -> "EngineView":
        """Return the view of `upstream` after the acknowledged actions."""
        models_by_name = {
            name: ModelView(
                served.weight_version,
                set(served.loaded_versions),
                set(served.adapters),
            )
            for name, served in upstream.models.items()
        }
        view = cls(models_by_name, upstream.role)
        for each in acknowledgements:
            _apply_action(each.action, view)
        return view

    def oldest_version(self) -> int:
        """Return the lowest version in use among the engine's models."""
        versions = [each.weight_version for each in self.models_by_name.values()]
        return min(versions, default=0)


def _apply_action(action: orders.Action, view: EngineView) -> None:
    """Apply an acknowledged action to `view`."""
    if action.kind == orders.SET_ROLE:
        view.role = action.role
        return
    model = view.models_by_name.get(action.model)
    if model is None:
        return
    if action.kind == orders.LOAD:
        model.loaded_versions.add(action.weight_version)
    elif action.kind == orders.SWAP:
        model.weight_version = action.weight_version
    elif action.kind == orders.UNLOAD:
        model.loaded_versions.discard(action.weight_version)
    elif action.kind == orders.LOAD_ADAPTER:
        model.adapters.add(action.adapter)


def is_up_to_date(
    upstream: upstream_model.Upstream,
    targets_by_model: Mapping[str, Target],
    roles_by_id: Mapping[str, str],
) -> bool:
    """Return whether an engine needs no order, from its report alone.

    It gives the same answer as `wanted`, but without building a view.
    """
    if roles_by_id.get(upstream.upstream_id, upstream.role) != upstream.role:
        return False
    return all(
        _is_model_up_to_date(served, targets_by_model[name])
        for name, served in upstream.models.items()
        if name in targets_by_model
    )


def _is_model_up_to_date(served: upstream_model.ServedModel, target: Target) -> bool:
    if target.adapters and not set(target.adapters) <= set(served.adapters):
        return False
    current, loaded = served.weight_version, served.loaded_versions
    ahead = target.prepared_version or current
    if ahead != current and ahead not in loaded:
        return False
    if not target.weight_version:
        return True
    is_current = current == target.weight_version
    return is_current and all(version in (current, ahead) for version in loaded)


def is_reported(action: orders.Action, upstream: upstream_model.Upstream) -> bool:
    """Return whether the engine's report shows the effect of `action`."""
    if action.kind == orders.SET_ROLE:
        return upstream.role == action.role
    served = upstream.models.get(action.model)
    if served is None:
        return False
    if action.kind == orders.LOAD:
        return action.weight_version in served.loaded_versions
    if action.kind == orders.SWAP:
        return action.weight_version == served.weight_version
    if action.kind == orders.UNLOAD:
        return action.weight_version not in served.loaded_versions
    return action.adapter in served.adapters


class Urgency(enum.IntEnum):
    """Order of the actions on one engine; the lowest value comes first."""

    ROLE = 0
    # The engine's samples become current as soon as it has swapped.
    SWAP = 1
    # Unloading frees memory for a load.
    UNLOAD = 2
    ADAPTER = 3
    LOAD = 4
    # While the load of the target version is held back by the limits on loads, a loaded
    # version between the one in use and the target gives fresher samples.
    INTERMEDIATE_SWAP = 5
    PREPARE = 6


@attrs.frozen
class Need:
    """An action that an engine needs, and its urgency."""

    urgency: Urgency
    action: orders.Action


def wanted(
    view: EngineView, targets_by_model: Mapping[str, Target], role: str | None
) -> list[orders.Action]:
    """Return the actions that an engine needs, the most urgent first."""
    found = []
    if role is not None and role != view.role:
        action = orders.Action(orders.SET_ROLE, role=role)
        found.append(Need(Urgency.ROLE, action))
    for name, model in view.models_by_name.items():
        target = targets_by_model.get(name)
        if target is not None:
            found.extend(needs(name, model, target))
    found.sort(key=lambda need: need.urgency)
    return [need.action for need in found]


def needs(name: str, model: ModelView, target: Target) -> Iterator[Need]:
    """Yield the actions that an engine needs to reach `target`."""
    of = functools.partial(orders.Action, model=name)
    current, wanted = model.weight_version, target.weight_version
    if wanted and current != wanted:
        if wanted in model.loaded_versions:
            yield Need(Urgency.SWAP, of(orders.SWAP, weight_version=wanted))
        else:
            yield Need(Urgency.LOAD, of(orders.LOAD, weight_version=wanted))
            if intermediate := _newest_intermediate(model, target):
                action = of(orders.SWAP, weight_version=intermediate)
                yield Need(Urgency.INTERMEDIATE_SWAP, action)
    for version in sorted(model.loaded_versions):
        if not _is_needed(version, model, target):
            yield Need(Urgency.UNLOAD, of(orders.UNLOAD, weight_version=version))
    for adapter in target.adapters:
        if adapter not in model.adapters:
            yield Need(Urgency.ADAPTER, of(orders.LOAD_ADAPTER, adapter=adapter))
    prepared = target.prepared_version
    is_up_to_date = current == wanted or not wanted
    is_ahead = prepared not in (0, current) and prepared not in model.loaded_versions
    if is_ahead and is_up_to_date:
        yield Need(Urgency.PREPARE, of(orders.LOAD, weight_version=prepared))


def is_pending_swap(
    action: orders.Action, view: EngineView, targets_by_model: Mapping[str, Target]
) -> bool:
    """Return whether `action` is a swap to the target version that is still due."""
    target = targets_by_model.get(action.model)
    model = view.models_by_name.get(action.model)
    if action.kind != orders.SWAP or target is None or model is None:
        return False
    wanted = target.weight_version
    return action.weight_version == wanted and model.weight_version != wanted


def _newest_intermediate(model: ModelView, target: Target) -> int:
    if not target.only_rises:
        return 0
    intermediate = [
        version
        for version in model.loaded_versions
        if model.weight_version < version < target.weight_version
    ]
    return max(intermediate, default=0)


def _is_needed(version: int, model: ModelView, target: Target) -> bool:
    wanted, current = target.weight_version, model.weight_version
    if not wanted or version in (current, wanted):
        return True
    if target.prepared_version and version == target.prepared_version:
        return True
    # A version between the one in use and the target may still be swapped in.
    return target.only_rises and current < version < wanted
