"""When each line of the registry last changed, as the control group's leader saw it.

What a process lacks is made from this log alone: the lines that changed after the index
that it has. So it costs as much as has changed, however many processes are how far
behind; compared with each process's own state, news of 3,000 upstreams to 300 processes
took nearly a core. Built from what a leader has seen, it says nothing of the time
before; who has an earlier registry gets all of it.

Gateways pass requests on by an upstream's service, address and whether it may be used.
What engines have loaded concerns the stores only, which send them items, and is nearly
all there is to tell in a large fleet: gateways are not told of it.
"""

import collections
import itertools
from collections.abc import Iterator
from typing import Final

import attrs

from bilberrydrum.fleet import changes, commands, model

# Upstreams whose departure is remembered; who lacks more of them gets all.
MAX_GONE: Final = 4_096


def for_gateways(upstream: model.FleetUpstream) -> model.FleetUpstream:
    """Return what a process that passes requests on needs to know of an upstream."""
    return attrs.evolve(upstream, versions_by_model={}, sequence=0)


def _passed_on_by(upstream: model.FleetUpstream) -> tuple[str, str, bool, bool]:
    """Return what a gateway must know at once, to send nothing to a wrong place."""
    return (
        upstream.service,
        upstream.address,
        upstream.is_leaving,
        upstream.is_silent,
    )


class _Indexes:
    """The index of the last change by id, the latest change last."""

    def __init__(self) -> None:
        self._index_by_id: collections.OrderedDict[str, int] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._index_by_id)

    def note(self, upstream_id: str, index: int) -> None:
        self._index_by_id[upstream_id] = index
        self._index_by_id.move_to_end(upstream_id)

    def forget(self, upstream_id: str) -> None:
        self._index_by_id.pop(upstream_id, None)

    def forget_first(self) -> int:
        """Forget the oldest change; return its index."""
        return self._index_by_id.popitem(last=False)[1]

    def after(self, index: int) -> list[str]:
        """Return the ids of what changed after `index`, in the order of the changes."""
        latest = self._latest_after(index)
        return list(latest)[::-1]

    def _latest_after(self, index: int) -> Iterator[str]:
        pairs = reversed(self._index_by_id.items())
        changed = itertools.takewhile(lambda pair: pair[1] > index, pairs)
        return (upstream_id for upstream_id, _ in changed)


class RegistryLog:
    """The changes since this process leads."""

    def __init__(self) -> None:
        # The state that was noted last.
        self._noted = model.Registry()
        self._upstreams_by_id: dict[str, model.FleetUpstream] = {}
        # The index since which all changes are known.
        self._since: int | None = None
        self._put = _Indexes()
        # The same for changes that concern gateways.
        self._put_for_gateways = _Indexes()
        self._gone = _Indexes()
        self._index_by_model: dict[str, int] = {}
        self._stores_index = 0
        self._founders_index = 0
        # The last change that gateways must be told of at once.
        self._urgent_index = 0

    @property
    def index(self) -> int:
        """Index of the state that was noted last."""
        return self._noted.index

    def note(self, section: commands.Section) -> None:
        """Note what has changed since the last call."""
        index = section.registry_index
        if self._since is None:
            self._since = self._urgent_index = index
        elif index == self._noted.index:
            return
        else:
            self._note_upstreams(section, index)
            self._note_rest(section, index)
        self._upstreams_by_id = dict(section.upstreams_by_id)
        self._noted = section.registry()

    def whole(self, is_gateway: bool) -> model.Registry:
        """Return the registry as it was noted last."""
        if not is_gateway:
            return self._noted
        upstreams = tuple(for_gateways(each) for each in self._noted.upstreams)
        return attrs.evolve(self._noted, upstreams=upstreams)

    def reaches_back_to(self, index: int) -> bool:
        """Tell whether all that has changed after `index` is known."""
        return self._since is not None and index >= self._since

    def change_since(self, index: int, is_gateway: bool) -> changes.RegistryChange:
        """Return what a process with the registry of `index` lacks.

        Only if the log reaches back to `index`.
        """
        put = (self._put_for_gateways if is_gateway else self._put).after(index)
        upstreams = [self._upstreams_by_id[each] for each in put]
        if is_gateway:
            upstreams = [for_gateways(each) for each in upstreams]
        noted = self._noted
        return changes.RegistryChange(
            index,
            noted.index,
            tuple(upstreams),
            tuple(self._gone.after(index)),
            {
                name: version
                for name, version in noted.versions_by_model.items()
                if self._index_by_model.get(name, 0) > index
            },
            noted.stores if self._stores_index > index else None,
            noted.founder_addresses if self._founders_index > index else None,
            is_cumulative=True,
        )

    def can_wait(self, index: int) -> bool:
        """Tell whether a gateway may hear of what it lacks with its next renewal."""
        return self.reaches_back_to(index) and index >= self._urgent_index

    def _note_upstreams(self, section: commands.Section, index: int) -> None:
        for upstream_id in self._upstreams_by_id.keys() - section.upstreams_by_id:
            self._put.forget(upstream_id)
            self._put_for_gateways.forget(upstream_id)
            self._gone.note(upstream_id, index)
            self._urgent_index = index
        while len(self._gone) > MAX_GONE:
            self._since = self._gone.forget_first()
        for upstream_id, upstream in section.upstreams_by_id.items():
            before = self._upstreams_by_id.get(upstream_id)
            if before is upstream or before == upstream:
                continue
            self._gone.forget(upstream_id)
            self._put.note(upstream_id, index)
            if before is None or for_gateways(before) != for_gateways(upstream):
                self._put_for_gateways.note(upstream_id, index)
            if before is None or _passed_on_by(before) != _passed_on_by(upstream):
                self._urgent_index = index

    def _note_rest(self, section: commands.Section, index: int) -> None:
        before = self._noted
        for name, version in section.versions_by_model.items():
            if before.versions_by_model.get(name) != version:
                self._index_by_model[name] = index
        if before.stores != tuple(section.stores_by_name.values()):
            self._stores_index = self._urgent_index = index
        if before.founder_addresses != section.founder_addresses:
            self._founders_index = index
