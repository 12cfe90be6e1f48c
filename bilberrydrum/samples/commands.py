"""Commands on the samples and their answers. The module `applying` implements them."""

import attrs

from bilberrydrum import codec, reasons
from bilberrydrum.samples import model


@codec.register("samples.open-reader")
@attrs.frozen
class OpenReader:
    """Make the sender the trainer's reader; answered with `Reader`."""

    trainer: str


@codec.register("samples.reader")
@attrs.frozen
class Reader:
    """The right to read a trainer's batches."""

    reader_epoch: int
    cursor: int


@codec.register("samples.add-groups")
@attrs.frozen
class AddGroups:
    """Request groups of samples; answered with `GroupsAdded`."""

    trainer: str
    groups: tuple[model.GroupRequest, ...]
    max_open_slots: int


@codec.register("samples.groups-added")
@attrs.frozen
class GroupsAdded:
    """The result of `AddGroups`."""

    n_accepted: int = 0
    n_known: int = 0
    # Ids of requested groups that exist with other content. If there are any, no group
    # is accepted.
    conflicts: tuple[str, ...] = ()
    is_full: bool = False
    # Owners of the accepted groups.
    owners: tuple[str, ...] = ()


@codec.register("samples.renew-owner")
@attrs.frozen
class RenewOwner:
    """Renew the sender's lease as an owner; answered with `Renewed`."""

    process_id: str
    incarnation: int
    lease_seconds: float
    # Revision of the last work list that the sender has applied. The answer contains
    # the work list only if the owner's revision differs from it.
    revision: int


@codec.register("samples.work")
@attrs.frozen
class Work:
    """The slots of one group that an owner has to fill."""

    trainer: str
    group_id: str
    sequence: int
    owner_epoch: int
    # Slots without a sample, with the highest attempt number recorded for each.
    n_attempts_by_slot: dict[int, int]
    # Those of these slots that already have a position, so that a batch waits for them.
    assigned_slots: tuple[int, ...] = ()


@codec.register("samples.renewed")
@attrs.frozen
class Renewed:
    """The lease is renewed, unless a later incarnation of the process holds it."""

    is_current: bool
    revision: int = 0
    # Log index at which `work` was read.
    index: int = 0
    # None if the owner's revision has not changed.
    work: tuple[Work, ...] | None = None


@codec.register("samples.leave-owner")
@attrs.frozen
class LeaveOwner:
    """Reassign the sender's groups to other owners; answered with `Done`."""

    process_id: str
    incarnation: int


@codec.register("samples.done")
@attrs.frozen
class Done:
    """The command was applied."""

    index: int = 0


@codec.register("samples.slot-record")
@attrs.frozen
class SlotRecord:
    """A scored attempt for one slot."""

    trainer: str
    group_id: str
    slot: int
    record: model.Record


@codec.register("samples.record-samples")
@attrs.frozen
class RecordSamples:
    """Record scored attempts as the samples of their slots; answered with `Recorded`.

    One command carries many slots: at 2,048 samples per step, a commit for each sample
    would be the largest load on the state group.
    """

    records: tuple[SlotRecord, ...]
    rules_by_trainer: dict[str, model.Rule]


@codec.register("samples.recorded")
@attrs.frozen
class Recorded:
    """For each record in order: None if it was accepted, else the refusal."""

    refusals: tuple[reasons.Reason | None, ...]
    index: int


@codec.register("samples.assign-batch")
@attrs.frozen
class AssignBatch:
    """Acknowledge the positions below `cursor` and assign the batch there.

    Answered with `Batch`.
    """

    trainer: str
    reader_epoch: int
    cursor: int
    n_samples: int
    rule: model.Rule


@codec.register("samples.assigned")
@attrs.frozen
class Assigned:
    """One sample of a batch."""

    position: int
    group_id: str
    slot: int
    staleness: int
    record: model.Record


@codec.register("samples.batch")
@attrs.frozen
class Batch:
    """The batch at a cursor, or why there is none (`refusal`)."""

    refusal: reasons.Reason | None
    acknowledged: int = 0
    n_assigned: int = 0
    weight_version: int = 0
    samples: tuple[Assigned, ...] = ()
    # Samples that were too stale and are generated again.
    n_expired: int = 0
    # Owners of these samples, which have to start new attempts.
    owners: tuple[str, ...] = ()


@codec.register("samples.expire-samples")
@attrs.frozen
class ExpireSamples:
    """Discard samples that have no position and are too stale.

    Answered with `Expired`.
    """

    trainer: str
    rule: model.Rule


@codec.register("samples.expired")
@attrs.frozen
class Expired:
    """The number of discarded samples, and the owners that generate them again."""

    n_expired: int
    owners: tuple[str, ...]


@codec.register("samples.report-lost")
@attrs.frozen
class ReportLost:
    """Discard samples whose payload no holder has; answered with `Expired`."""

    trainer: str
    lost: tuple[Assigned, ...]
