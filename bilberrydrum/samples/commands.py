"""Commands on the samples, and their answers. What they do is in `applying`."""

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
    """Ask for groups of samples; answered with `GroupsAdded`."""

    trainer: str
    groups: tuple[model.GroupRequest, ...]
    max_open_slots: int


@codec.register("samples.groups-added")
@attrs.frozen
class GroupsAdded:
    """What became of the groups."""

    n_accepted: int = 0
    n_known: int = 0
    # Ids that are taken by groups with other content; then none was accepted.
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
    # Revision that the sender has acted on; the work comes only if there is a newer.
    revision: int


@codec.register("samples.work")
@attrs.frozen
class Work:
    """What an owner has to do for one group."""

    trainer: str
    group_id: str
    sequence: int
    owner_epoch: int
    # Slots that want an attempt, with the attempts that each has had.
    n_attempts_by_slot: dict[int, int]
    # Wanted slots that a batch is waiting for at their position.
    assigned_slots: tuple[int, ...] = ()


@codec.register("samples.renewed")
@attrs.frozen
class Renewed:
    """The lease is renewed, unless a later life of the process has it."""

    is_current: bool
    revision: int = 0
    # Log index at which `work` was true.
    index: int = 0
    # None: nothing has changed.
    work: tuple[Work, ...] | None = None


@codec.register("samples.leave-owner")
@attrs.frozen
class LeaveOwner:
    """Hand the sender's groups to other owners; answered with `Done`."""

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
    """Take scored attempts as their slots' samples; answered with `Recorded`.

    One command carries many slots: at 2,048 samples a step, one commit each would be
    the state group's largest load.
    """

    records: tuple[SlotRecord, ...]
    rules_by_trainer: dict[str, model.Rule]


@codec.register("samples.recorded")
@attrs.frozen
class Recorded:
    """For each record in order: None if it was taken, else why not."""

    refusals: tuple[reasons.Reason | None, ...]
    index: int


@codec.register("samples.assign-batch")
@attrs.frozen
class AssignBatch:
    """Acknowledge below `cursor` and fix the batch there; answered with `Batch`."""

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
    # Samples that were too old and are made again.
    n_expired: int = 0
    # Owners that have new work because of that.
    owners: tuple[str, ...] = ()


@codec.register("samples.expire-samples")
@attrs.frozen
class ExpireSamples:
    """Have samples that wait and are too old made again; answered with `Expired`."""

    trainer: str
    rule: model.Rule


@codec.register("samples.expired")
@attrs.frozen
class Expired:
    """How many samples are made again, and by which owners."""

    n_expired: int
    owners: tuple[str, ...]


@codec.register("samples.report-lost")
@attrs.frozen
class ReportLost:
    """Have samples whose payload no holder has made again; answered with `Expired`."""

    trainer: str
    lost: tuple[Assigned, ...]
