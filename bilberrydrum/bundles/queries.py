"""Queries on bundles."""

import attrs

from bilberrydrum import codec
from bilberrydrum.bundles import records
from bilberrydrum.state import machine


@codec.register("bundles.list")
@attrs.frozen
class ListBundles:
    """Ask for all bundles that are kept; answered by `BundleList`."""


@codec.register("bundles.get")
@attrs.frozen
class GetBundle:
    """Ask for one bundle; answered by `BundleFound`."""

    version: int


@codec.register("bundles.bundle_list")
@attrs.frozen
class BundleList:
    """All bundles that are kept, in order of submission, without their contents."""

    in_force: int
    # The version that is being rolled to all gateways; 0: none.
    rolling: int
    bundles: tuple[records.Record, ...]


@codec.register("bundles.bundle_found")
@attrs.frozen
class BundleFound:
    """One bundle; `record` is None if it is unknown or no longer kept."""

    in_force: int
    rolling: int
    record: records.Record | None


@machine.answer.register
def _(query: ListBundles, state: machine.State, now: float) -> BundleList:
    section = records.read(state)
    bundles = tuple(
        attrs.evolve(record, content="")
        for record in section.records_by_version.values()
    )
    return BundleList(section.in_force, section.rolling, bundles)


@machine.answer.register
def _(query: GetBundle, state: machine.State, now: float) -> BundleFound:
    section = records.read(state)
    record = section.records_by_version.get(query.version)
    return BundleFound(section.in_force, section.rolling, record)
