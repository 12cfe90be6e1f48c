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
    # It has each line that changed after the earlier state, as it is in the later one,
    # so it leads there from any state between. False: made of these two states alone.
    is_cumulative: bool = False


def changed(registry: model.Registry, change: RegistryChange) -> model.Registry | None:
    """Return the registry after `change`; None if it does not lead on from here."""
    # A push is made for what the last renewal named, which its answer has overtaken.
    # Were it dropped, so would each push be until a renewal finds nothing new.
    is_between = change.base_index <= registry.index < change.index
    if not (
        is_between if change.is_cumulative else registry.index == change.base_index
    ):
        return None
    upstreams_by_id = dict(registry.upstreams_by_id)
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
