"""The index at which each entry of the registry last changed.

The control group's leader makes the update for a process from this log alone: it holds
the entries that changed after the index that the process has. So the cost depends on
the number of changes, not on the number of processes or how far they are behind. If the
leader compared the registry with each process's own state, sending the changes of 3,000
upstreams to 300 processes would take nearly a core. The log starts with the leader's
term, so a process with an earlier registry gets the complete one.

Gateways route requests by an upstream's service, its address and whether it may be
used. Loaded weight versions matter only to the stores, which send items to engines. As
they make up nearly all changes in a large fleet, they are not sent to gateways.
"""

import collections
import itertools
from collections.abc import Iterator
from typing import Final

import attrs

from bilberrydrum.fleet import changes, commands, model

# Number of removed upstreams that are remembered. A process that has missed more
# removals gets the complete registry.
MAX_REMOVED: Final = 4_096


def for_gateways(upstream: model.FleetUpstream) -> model.FleetUpstream:
    """Return an upstream with only the fields that gateways need."""
    return attrs.evolve(upstream, versions_by_model={}, sequence=0)


def _routing_fields(upstream: model.FleetUpstream) -> tuple[str, str, bool, bool]:
    """Return the fields whose changes gateways must get at once to route correctly."""
    return (
        upstream.service,
        upstream.address,
        upstream.is_leaving,
        upstream.is_silent,
    )


class _ChangeIndexes:
    """The index of the last change of each id; the latest change is last."""

    def __init__(self) -> None:
        self._index_by_id: collections.OrderedDict[str, int] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._index_by_id)

    def record(self, upstream_id: str, index: int) -> None:
        self._index_by_id[upstream_id] = index
        self._index_by_id.move_to_end(upstream_id)

    def remove(self, upstream_id: str) -> None:
        self._index_by_id.pop(upstream_id, None)

    def remove_oldest(self) -> int:
        """Remove the oldest change and return its index."""
        return self._index_by_id.popitem(last=False)[1]

    def after(self, index: int) -> list[str]:
        """Return the ids that changed after `index`, in the order of the changes."""
        latest = self._latest_after(index)
        return list(latest)[::-1]

    def _latest_after(self, index: int) -> Iterator[str]:
        pairs = reversed(self._index_by_id.items())
        changed = itertools.takewhile(lambda pair: pair[1] > index, pairs)
        return (upstream_id for upstream_id, _ in changed)


class RegistryLog:
    """The changes since this process became the leader."""

    def __init__(self) -> None:
        # The state that was recorded last.
        self._recorded = model.Registry()
        self._upstreams_by_id: dict[str, model.FleetUpstream] = {}
        # The index after which all changes are known.
        self._since: int | None = None
        self._changed = _ChangeIndexes()
        # The same for changes of fields that gateways need.
        self._changed_for_gateways = _ChangeIndexes()
        self._removed = _ChangeIndexes()
        self._index_by_model: dict[str, int] = {}
        self._stores_index = 0
        self._founders_index = 0
        # The last change that must be sent to gateways at once.
        self._urgent_index = 0

    @property
    def index(self) -> int:
        """Index of the state that was recorded last."""
        return self._recorded.index

    def record(self, section: commands.Section) -> None:
        """Record the changes since the last call."""
        index = section.registry_index
        if self._since is None:
            self._since = self._urgent_index = index
        elif index == self._recorded.index:
            return
        else:
            self._record_upstreams(section, index)
            self._record_other_fields(section, index)
        self._upstreams_by_id = dict(section.upstreams_by_id)
        self._recorded = section.registry()

    def full_registry(self, is_gateway: bool) -> model.Registry:
        """Return the complete registry as it was recorded last."""
        if not is_gateway:
            return self._recorded
        upstreams = tuple(for_gateways(each) for each in self._recorded.upstreams)
        return attrs.evolve(self._recorded, upstreams=upstreams)

    def reaches_back_to(self, index: int) -> bool:
        """Return whether all changes after `index` are known."""
        return self._since is not None and index >= self._since

    def change_since(self, index: int, is_gateway: bool) -> changes.RegistryChange:
        """Return the change for a process with the registry of `index`.

        May only be called if the log reaches back to `index`.
        """
        put = (self._changed_for_gateways if is_gateway else self._changed).after(index)
        upstreams = [self._upstreams_by_id[each] for each in put]
        if is_gateway:
            upstreams = [for_gateways(each) for each in upstreams]
        recorded = self._recorded
        return changes.RegistryChange(
            index,
            recorded.index,
            tuple(upstreams),
            tuple(self._removed.after(index)),
            {
                name: version
                for name, version in recorded.versions_by_model.items()
                if self._index_by_model.get(name, 0) > index
            },
            recorded.stores if self._stores_index > index else None,
            recorded.founder_addresses if self._founders_index > index else None,
            is_cumulative=True,
        )

    def can_wait(self, index: int) -> bool:
        """Return whether changes since `index` can wait until a gateway's renewal."""
        return self.reaches_back_to(index) and index >= self._urgent_index

    def _record_upstreams(self, section: commands.Section, index: int) -> None:
        for upstream_id in self._upstreams_by_id.keys() - section.upstreams_by_id:
            self._changed.remove(upstream_id)
            self._changed_for_gateways.remove(upstream_id)
            self._removed.record(upstream_id, index)
            self._urgent_index = index
        while len(self._removed) > MAX_REMOVED:
            self._since = self._removed.remove_oldest()
        for upstream_id, upstream in section.upstreams_by_id.items():
            before = self._upstreams_by_id.get(upstream_id)
            if before is upstream or before == upstream:
                continue
            self._removed.remove(upstream_id)
            self._changed.record(upstream_id, index)
            if before is None or for_gateways(before) != for_gateways(upstream):
                self._changed_for_gateways.record(upstream_id, index)
            if before is None or _routing_fields(before) != _routing_fields(upstream):
                self._urgent_index = index

    def _record_other_fields(self, section: commands.Section, index: int) -> None:
        before = self._recorded
        for name, version in section.versions_by_model.items():
            if before.versions_by_model.get(name) != version:
                self._index_by_model[name] = index
        if before.stores != tuple(section.stores_by_name.values()):
            self._stores_index = self._urgent_index = index
        if before.founder_addresses != section.founder_addresses:
            self._founders_index = index
