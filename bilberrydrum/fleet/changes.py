"""What has changed between two states of the registry.

The registry grows with the fleet, and every load of weights, start and departure of an
upstream changes one line of it. Sent whole to every process at each change, it was most
of what the control group's leader sends: 1.4 MB/s to 93 processes at four changes a
second. A process that has an earlier state gets the difference only.
"""

from collections.abc import Mapping

import attrs

from bilberrydrum import codec
from bilberrydrum.fleet import model


@codec.register("fleet.registry-change")
@attrs.frozen
class RegistryChange:
    """How one state of the registry becomes a later one."""

    # Indexes of the two states.
    base_index: int
    index: int
    # Upstreams that are new or differ, and those that are gone.
    upstreams: tuple[model.FleetUpstream, ...]
    gone_ids: tuple[str, ...]
    versions_by_model: Mapping[str, int]
    # None: as before.
    stores: tuple[model.Store, ...] | None = None
    founder_addresses: tuple[str, ...] | None = None


def difference(before: model.Registry, after: model.Registry) -> RegistryChange:
    """Return the change from `before` to `after`."""
    known_by_id = {each.upstream_id: each for each in before.upstreams}
    present = {each.upstream_id for each in after.upstreams}
    return RegistryChange(
        before.index,
        after.index,
        tuple(e for e in after.upstreams if known_by_id.get(e.upstream_id) != e),
        tuple(each for each in known_by_id if each not in present),
        {
            name: version
            for name, version in after.versions_by_model.items()
            if before.versions_by_model.get(name) != version
        },
        after.stores if after.stores != before.stores else None,
        after.founder_addresses
        if after.founder_addresses != before.founder_addresses
        else None,
    )


def changed(registry: model.Registry, change: RegistryChange) -> model.Registry | None:
    """Return the registry after `change`; None if it was made for another state."""
    if registry.index != change.base_index:
        return None
    upstreams_by_id = {each.upstream_id: each for each in registry.upstreams}
    for upstream_id in change.gone_ids:
        upstreams_by_id.pop(upstream_id, None)
    for each in change.upstreams:
        upstreams_by_id[each.upstream_id] = each
    return attrs.evolve(
        registry,
        index=change.index,
        upstreams=tuple(upstreams_by_id.values()),
        versions_by_model={**registry.versions_by_model, **change.versions_by_model},
        stores=registry.stores if change.stores is None else change.stores,
        founder_addresses=registry.founder_addresses
        if change.founder_addresses is None
        else change.founder_addresses,
    )


def concerns_requests(before: model.Registry, after: model.Registry) -> bool:
    """Tell whether a process that passes requests on must know of the change at once.

    What engines have loaded concerns only those who send them items. With hundreds of
    engines, each of which loads every few versions, such changes are nearly all there
    are, and telling all processes of each grows with the square of the fleet.
    """
    if before.stores != after.stores:
        return True
    return _passed_on_by_id(before) != _passed_on_by_id(after)


def _passed_on_by_id(
    registry: model.Registry,
) -> dict[str, tuple[str, str, bool, bool]]:
    """Return what requests are passed on by, by upstream."""
    return {
        each.upstream_id: (
            each.service,
            each.address,
            each.is_leaving,
            each.is_silent,
        )
        for each in registry.upstreams
    }
