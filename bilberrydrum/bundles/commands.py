"""Commands on bundles: submit, sign off, roll, and what the leader records of a roll.

A bundle goes from draft to signed-off to rolling to in-force. Operators choose the
version numbers and may race: the first submission of a number wins. The commands are
idempotent: one that is sent again changes nothing and gets its first answer.
"""

import attrs

from bilberrydrum import codec, reasons
from bilberrydrum.bundles import records
from bilberrydrum.state import machine


@codec.register("bundles.submit")
@attrs.frozen
class SubmitBundle:
    """Submit a checked bundle as a draft; answered by `Changed` or `Refused`."""

    version: int
    parent: int
    digest: str
    author: str
    cut_policy: str
    content: str


@codec.register("bundles.sign_off")
@attrs.frozen
class SignOffBundle:
    """Sign off a draft by its digest; answered by `Changed` or `Refused`."""

    version: int
    digest: str
    operator: str


@codec.register("bundles.roll")
@attrs.frozen
class RollBundle:
    """Start the roll of a bundle; answered by `Changed` or `Refused`."""

    version: int
    digest: str
    operator: str


@codec.register("bundles.note_in_force")
@attrs.frozen
class MarkInForce:
    """Record that no gateway can act on an older bundle; answered by `InForce`."""

    version: int


@codec.register("bundles.note_seen")
@attrs.frozen
class RecordSeenVersion:
    """Record that a gateway acts on `version`; answered by `InForce`."""

    version: int


@codec.register("bundles.start_grants")
@attrs.frozen
class StartGrants:
    """Record how long leases a new leader will grant; answered by `InForce`.

    Once this command is applied, the leader has applied all those of earlier leaders.
    """

    term: int
    lease_seconds: float
    hold_lease_seconds: float


@codec.register("bundles.changed")
@attrs.frozen
class Changed:
    """The change was accepted; `state` is the state to which it first led."""

    version: int
    digest: str
    state: str


@codec.register("bundles.refused")
@attrs.frozen
class Refused:
    """The change was refused and had no effect."""

    reason: reasons.Reason
    detail: str
    # Digest and author of the content that already has the version number.
    winner_digest: str = ""
    winner_author: str = ""


@codec.register("bundles.in_force")
@attrs.frozen
class InForce:
    """The version in force."""

    version: int


@machine.apply.register
def _(
    command: SubmitBundle, state: machine.State, context: machine.Context
) -> Changed | Refused:
    section = records.section_of(state)
    record = section.records_by_version.get(command.version)
    if record is not None:
        # Either two operators chose the same number, or one operator sent the change
        # again after its answer was lost; the digest distinguishes the two. Without
        # this check the second content would replace the first, perhaps after the first
        # was signed off.
        if record.digest != command.digest:
            return _conflict(record)
        return Changed(record.version, record.digest, records.DRAFT)
    newest = records.newest(section)
    if command.version <= newest:
        return _stale(f"version {newest} is rolled already; take a higher number")
    if command.parent != newest:
        # A bundle made from an older one would silently undo all changes since.
        return _stale(f"made from version {command.parent}, but {newest} is newest")
    if command.version <= section.highest_seen:
        # After a restore, gateways may have versions that the restored copy does not
        # contain. They would never adopt another content under such a number.
        return _stale(
            f"gateways have met version {section.highest_seen}; take a higher number"
        )
    open_records = [
        each
        for each in section.records_by_version.values()
        if records.is_open(section, each)
    ]
    if len(open_records) >= records.MAX_OPEN_DRAFTS:
        detail = f"{len(open_records)} bundles wait on version {newest} already"
        return Refused(reasons.Reason.BUNDLE_TOO_MANY_DRAFTS, detail)
    section.records_by_version[command.version] = records.Record(
        command.version,
        command.parent,
        command.digest,
        command.author,
        command.cut_policy,
        command.content,
    )
    records.prune(section)
    return Changed(command.version, command.digest, records.DRAFT)


@machine.apply.register
def _(
    command: SignOffBundle, state: machine.State, context: machine.Context
) -> Changed | Refused:
    section = records.section_of(state)
    record = section.records_by_version.get(command.version)
    if record is None:
        return _unknown(section, command.version)
    if record.digest != command.digest:
        return _conflict(record)
    if record.state == records.DRAFT:
        if not records.is_open(section, record):
            return _stale_parent(section, record)
        section.records_by_version[record.version] = attrs.evolve(
            record, state=records.SIGNED_OFF, signed_off_by=command.operator
        )
    return Changed(record.version, record.digest, records.SIGNED_OFF)


@machine.apply.register
def _(
    command: RollBundle, state: machine.State, context: machine.Context
) -> Changed | Refused:
    section = records.section_of(state)
    record = section.records_by_version.get(command.version)
    if record is None:
        return _unknown(section, command.version)
    if record.digest != command.digest:
        return _conflict(record)
    if record.state == records.DRAFT:
        return Refused(
            reasons.Reason.BUNDLE_NOT_SIGNED_OFF,
            f"version {record.version} is not signed off",
        )
    if record.state == records.SIGNED_OFF:
        if not records.is_open(section, record):
            return _stale_parent(section, record)
        _start_roll(section, record)
    return Changed(record.version, record.digest, records.ROLLING)


@machine.apply.register
def _(command: MarkInForce, state: machine.State, context: machine.Context) -> InForce:
    section = records.section_of(state)
    # This command may be delayed until the next roll has started. Only the version that
    # is rolling now may come into force, so that the version in force never falls.
    if command.version == section.rolling:
        _set_state(section, section.in_force, records.SUPERSEDED)
        _set_state(section, command.version, records.IN_FORCE)
        section.in_force = command.version
        section.rolling = 0
        records.prune(section)
    return InForce(section.in_force)


@machine.apply.register
def _(
    command: RecordSeenVersion, state: machine.State, context: machine.Context
) -> InForce:
    section = records.section_of(state)
    section.highest_seen = max(section.highest_seen, command.version)
    return InForce(section.in_force)


@machine.apply.register
def _(command: StartGrants, state: machine.State, context: machine.Context) -> InForce:
    section = records.section_of(state)
    # Replicas may run with different options while these are being changed. Longer
    # leases that an earlier leader granted must still be waited for.
    section.lease_seconds = max(section.lease_seconds, command.lease_seconds)
    section.hold_lease_seconds = max(
        section.hold_lease_seconds, section.lease_seconds, command.hold_lease_seconds
    )
    return InForce(section.in_force)


def _start_roll(section: records.Section, record: records.Record) -> None:
    # This roll replaces one that is still in progress, whose version is the parent of
    # this one. Gateways adopt this version next, and the earlier one is never reported
    # in force.
    _set_state(section, section.rolling, records.SUPERSEDED)
    _set_state(section, record.version, records.ROLLING)
    section.rolling = record.version


def _set_state(section: records.Section, version: int, state: str) -> None:
    record = section.records_by_version.get(version)
    if record is not None:
        section.records_by_version[version] = attrs.evolve(record, state=state)


def _conflict(record: records.Record) -> Refused:
    detail = f"version {record.version} was submitted first by {record.author}"
    return Refused(reasons.Reason.BUNDLE_CONFLICT, detail, record.digest, record.author)


def _stale(detail: str) -> Refused:
    return Refused(reasons.Reason.BUNDLE_STALE, detail)


def _stale_parent(section: records.Section, record: records.Record) -> Refused:
    newest = records.newest(section)
    return _stale(
        f"version {record.version} was made from {record.parent}, but {newest} is "
        "newest"
    )


def _unknown(section: records.Section, version: int) -> Refused:
    if version <= records.newest(section):
        return _stale(f"version {version} is older than the records kept")
    return Refused(reasons.Reason.NOT_FOUND, f"there is no version {version}")
