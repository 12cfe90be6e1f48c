"""Differences between two states of the registry.

The registry grows with the fleet, and every load of weights, start and departure of an
upstream changes one entry of it. If the complete registry were sent to every process at
each change, it would make up most of the traffic of the control group's leader: 1.4
MB/s to 93 processes at four changes a second. A process that has an earlier state
therefore gets only the difference.
"""

from collections.abc import Mapping

import attrs

from bilberrydrum import codec
from bilberrydrum.fleet import model


@codec.register("fleet.registry-change")
@attrs.frozen
class RegistryChange:
    """The difference between a state of the registry and a later one."""

    # Indexes of the two states.
    base_index: int
    index: int
    # Upstreams that are new or differ.
    upstreams: tuple[model.FleetUpstream, ...]
    # Upstreams that were removed.
    gone_ids: tuple[str, ...]
    versions_by_model: Mapping[str, int]
    # None means unchanged, here and in the next field.
    stores: tuple[model.Store, ...] | None = None
    founder_addresses: tuple[str, ...] | None = None
    # Whether it holds every entry that changed after the earlier state, with its value
    # in the later state. Such a change also applies to any state in between. False if
    # it was made by comparing just the two states.
    is_cumulative: bool = False


def apply_change(
    registry: model.Registry, change: RegistryChange
) -> model.Registry | None:
    """Return `registry` with `change` applied, or None if it does not apply to it."""
    # A push is a difference from the index in the process's last renewal; the answer
    # to that renewal may already have brought a later state. If such a push were
    # dropped, every further push would be too, until a renewal finds nothing new.
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
