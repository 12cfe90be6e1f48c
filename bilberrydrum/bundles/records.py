"""The section of the state for bundles: one record per version, and which is in force.

The size of the section stays bounded under any number of changes. Contents are kept for
the bundles that may still be rolled or acted on, and for the newest `CONTENTS_KEPT`
others. Version, digest and author are kept for `RECORDS_KEPT` records, so that a change
that is resent days later still gets its answer.
"""

from typing import Final

import attrs

from bilberrydrum import codec
from bilberrydrum.bundles import model
from bilberrydrum.state import machine

SECTION: Final = "bundles"

# Number of contents kept in addition to those of bundles that may still be rolled or
# acted on, so that operators can read them and copy from them.
CONTENTS_KEPT: Final = 32
# Number of closed records kept: more than three days at 560 changes a day.
RECORDS_KEPT: Final = 2048
# Maximum number of bundles with the same parent that wait for sign-off or roll.
MAX_OPEN_DRAFTS: Final = 32

DRAFT: Final = "draft"
SIGNED_OFF: Final = "signed-off"
ROLLING: Final = "rolling"
IN_FORCE: Final = "in-force"
SUPERSEDED: Final = "superseded"


@codec.register("bundles.record")
@attrs.frozen
class Record:
    """One submitted bundle."""

    version: int
    parent: int
    digest: str
    # The operator whose submission was applied first.
    author: str
    cut_policy: str
    # The YAML text; empty when it is no longer kept.
    content: str
    state: str = DRAFT
    signed_off_by: str = ""


@codec.register("bundles.section")
@attrs.define
class Section:
    """All bundles. Records are in the order of their submission."""

    records_by_version: dict[int, Record] = attrs.field(factory=dict)
    in_force: int = 0
    # The version that is being rolled to all gateways; 0: none.
    rolling: int = 0
    # Highest version on which a gateway was found to act after an older copy of the
    # state was restored; 0: there was no such restore.
    highest_seen: int = 0
    # Longest leases that any leader may have granted, in seconds, for bundles with the
    # partition policies "refuse" and "hold".
    lease_seconds: float = 0.0
    hold_lease_seconds: float = 0.0


def section_of(state: machine.State) -> Section:
    """Return the section of `state` for commands, which may change it."""
    section: Section = state.section(SECTION, Section)
    return section


def read(state: machine.State) -> Section:
    """Return the section of `state` for readers, which must not change it."""
    section: Section = state.sections.get(SECTION) or Section()
    return section


def newest(section: Section) -> int:
    """Return the version on which gateways must act; 0: none yet."""
    return section.rolling or section.in_force


def newest_record(section: Section) -> Record | None:
    """Return the record of the version on which gateways must act."""
    return section.records_by_version.get(newest(section))


def is_open(section: Section, record: Record) -> bool:
    """Return whether `record` may still be rolled."""
    is_before_roll = record.state in (DRAFT, SIGNED_OFF)
    return is_before_roll and record.parent == newest(section)


def longest_lease_seconds(section: Section) -> float:
    """Return the longest lease that may still be valid, whichever leader granted it.

    Until the newest version is in force everywhere, gateways may act on the version in
    force or any later one. The length of a lease depends on the policy of the version
    for which it was granted.
    """
    may_hold = any(
        record.cut_policy == model.CUT_HOLD
        for version, record in section.records_by_version.items()
        if version >= section.in_force
        and record.state in (ROLLING, IN_FORCE, SUPERSEDED)
    )
    return section.hold_lease_seconds if may_hold else section.lease_seconds


@machine.keep_rising.register
def _(section: Section, current: Section | None) -> None:
    """Keep the newest bundle when an older copy of the state is restored.

    Gateways act on the newest bundle, and an accepted bundle must not be reverted. If
    the copy is older, only those of its records are used that the current state has
    dropped.
    """
    if current is None:
        return
    section.highest_seen = max(section.highest_seen, current.highest_seen)
    section.lease_seconds = max(section.lease_seconds, current.lease_seconds)
    section.hold_lease_seconds = max(
        section.hold_lease_seconds, current.hold_lease_seconds
    )
    if newest(current) < newest(section):
        section.highest_seen = max(section.highest_seen, newest(current))
        return
    section.records_by_version = {
        **{
            version: record
            for version, record in section.records_by_version.items()
            if version < newest(current) and version not in current.records_by_version
        },
        **current.records_by_version,
    }
    section.in_force = current.in_force
    section.rolling = current.rolling
    prune(section)


def prune(section: Section) -> None:
    """Drop contents and records that are no longer kept."""
    closed = [
        record
        for version, record in section.records_by_version.items()
        if version not in (section.in_force, section.rolling)
        and not is_open(section, record)
        # `longest_lease_seconds` needs the policies of all versions from the one in
        # force on.
        and not (record.state == SUPERSEDED and version > section.in_force)
    ]
    n_dropped = max(0, len(closed) - RECORDS_KEPT)
    for record in closed[:n_dropped]:
        del section.records_by_version[record.version]
    for record in closed[n_dropped:-CONTENTS_KEPT]:
        if record.content:
            section.records_by_version[record.version] = attrs.evolve(
                record, content=""
            )
