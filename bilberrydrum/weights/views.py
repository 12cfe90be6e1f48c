"""What is known of an engine, and what it lacks.

An engine's report lags behind what it does. Until the report can have caught up, the
answer to an order counts as well; after that, only the report does.
"""

import enum
import functools
from collections.abc import Iterator, Mapping, Sequence
from typing import Final

import attrs

from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import orders

# How long a report may lag behind an answered order. An engine that crashed after its
# answer is found out after this time at the latest.
REPORT_LAG_SECONDS: Final = 2.0


@attrs.frozen
class Target:
    """The version that a model's engines are to generate with."""

    # 0: whatever is loaded.
    weight_version: int
    # Version to have in memory ahead of its publication; 0: none.
    prepared_version: int = 0
    # Base URL of the weight store.
    source: str = ""
    max_concurrent_loads: int = 1
    adapters: tuple[str, ...] = ()
    # Older versions than the one in use come from an earlier publication, so that a
    # version between them is a step forward.
    only_rises: bool = True


@attrs.frozen
class Acknowledgement:
    """An engine's answer that it has carried out `action`."""

    action: orders.Action
    at: float


@attrs.define
class ModelView:
    """One model on one engine, reports and answers taken together."""

    weight_version: int
    loaded_versions: set[int]
    adapters: set[str]


@attrs.define
class EngineView:
    """One engine, reports and answers taken together."""

    models_by_name: dict[str, ModelView]
    role: str

    @classmethod
    def of(
        cls,
        upstream: upstream_model.Upstream,
        acknowledgements: Sequence[Acknowledgement],
    ) -> "EngineView":
        """Return what is known of `upstream`."""
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
            _carry_out(each.action, view)
        return view

    def oldest_version(self) -> int:
        """Return the lowest version that the engine generates with."""
        versions = [each.weight_version for each in self.models_by_name.values()]
        return min(versions, default=0)


def _carry_out(action: orders.Action, view: EngineView) -> None:
    """Change `view` as the engine says it has done."""
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


def is_settled(
    upstream: upstream_model.Upstream,
    targets_by_model: Mapping[str, Target],
    roles_by_id: Mapping[str, str],
) -> bool:
    """Tell cheaply whether an engine reports that it lacks nothing."""
    if roles_by_id.get(upstream.upstream_id, upstream.role) != upstream.role:
        return False
    return all(
        _is_model_settled(served, targets_by_model[name])
        for name, served in upstream.models.items()
        if name in targets_by_model
    )


def _is_model_settled(served: upstream_model.ServedModel, target: Target) -> bool:
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
    """Tell whether the engine's report shows that `action` is carried out."""
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
    """What goes first on one engine, when several things are to be done."""

    ROLE = 0
    # Ends the staleness at once.
    SWAP = 1
    # Makes room for a load.
    UNLOAD = 2
    ADAPTER = 3
    LOAD = 4
    # While a load waits for its turn, a version that lies between is fresher than the
    # one in use.
    SWAP_BETWEEN = 5
    PREPARE = 6


@attrs.frozen
class Need:
    """One thing that an engine lacks."""

    urgency: Urgency
    action: orders.Action


def wanted(
    view: EngineView, targets_by_model: Mapping[str, Target], role: str | None
) -> list[orders.Action]:
    """Return what an engine has to do, the most urgent first."""
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
    """Yield what an engine has to do for `target`."""
    of = functools.partial(orders.Action, model=name)
    current, wanted = model.weight_version, target.weight_version
    if wanted and current != wanted:
        if wanted in model.loaded_versions:
            yield Need(Urgency.SWAP, of(orders.SWAP, weight_version=wanted))
        else:
            yield Need(Urgency.LOAD, of(orders.LOAD, weight_version=wanted))
            if between := _newest_between(model, target):
                action = of(orders.SWAP, weight_version=between)
                yield Need(Urgency.SWAP_BETWEEN, action)
    for version in sorted(model.loaded_versions):
        if not _is_of_use(version, model, target):
            yield Need(Urgency.UNLOAD, of(orders.UNLOAD, weight_version=version))
    for adapter in target.adapters:
        if adapter not in model.adapters:
            yield Need(Urgency.ADAPTER, of(orders.LOAD_ADAPTER, adapter=adapter))
    prepared = target.prepared_version
    is_settled = current == wanted or not wanted
    is_ahead = prepared not in (0, current) and prepared not in model.loaded_versions
    if is_ahead and is_settled:
        yield Need(Urgency.PREPARE, of(orders.LOAD, weight_version=prepared))


def is_swap_to_come(
    action: orders.Action, view: EngineView, targets_by_model: Mapping[str, Target]
) -> bool:
    """Tell whether `action` is a swap to the wanted version, not carried out yet."""
    target = targets_by_model.get(action.model)
    model = view.models_by_name.get(action.model)
    if action.kind != orders.SWAP or target is None or model is None:
        return False
    wanted = target.weight_version
    return action.weight_version == wanted and model.weight_version != wanted


def _newest_between(model: ModelView, target: Target) -> int:
    if not target.only_rises:
        return 0
    between = [
        version
        for version in model.loaded_versions
        if model.weight_version < version < target.weight_version
    ]
    return max(between, default=0)


def _is_of_use(version: int, model: ModelView, target: Target) -> bool:
    wanted, current = target.weight_version, model.weight_version
    if not wanted or version in (current, wanted):
        return True
    if target.prepared_version and version == target.prepared_version:
        return True
    # A version that lies between may still be swapped in.
    return target.only_rises and current < version < wanted
