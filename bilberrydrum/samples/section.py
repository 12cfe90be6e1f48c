"""The replicated state of the samples.

Records are small. A group's prompt is kept until its last sample is acknowledged. After
that only the group's digest and a packed trace are kept, for `HISTORY_SAMPLES` further
samples.
"""

from collections.abc import Iterator
from typing import Any, Final

import attrs
import msgpack

from bilberrydrum import codec
from bilberrydrum.samples import model
from bilberrydrum.state import machine

SECTION: Final = "samples"
# Number of acknowledged samples per trainer whose trace is kept, and whose group is
# recognised if it is requested again: 32 steps of 2,048 samples.
HISTORY_SAMPLES: Final = 65_536
# Added to all epochs when a state group is created from a backup.
EPOCH_JUMP: Final = 1_000_000


@codec.register("samples.slot")
@attrs.define
class Slot:
    """A slot of a group: the request for one sample."""

    # Highest attempt number ever recorded.
    n_attempts: int = 0
    # The accepted attempt; None while the slot needs an attempt.
    record: model.Record | None = None
    position: int = model.UNASSIGNED
    # Newest weight version when `AssignBatch` last returned the sample; -1 if it has
    # not.
    delivered_version: int = -1


@codec.register("samples.group")
@attrs.define
class Group:
    """A group with samples that are not acknowledged."""

    request: model.GroupRequest
    # Order in which the trainer's groups were accepted.
    sequence: int
    owner: str
    owner_epoch: int
    slots: list[Slot]
    n_acknowledged: int = 0


@codec.register("samples.past-group")
@attrs.frozen
class PastGroup:
    """A group whose samples were all acknowledged."""

    digest: bytes
    n_slots: int
    # Packed traces, see `pack_trace`.
    trace: bytes


@codec.register("samples.trainer")
@attrs.define
class Trainer:
    """The samples of one trainer."""

    reader_epoch: int = 0
    # All positions below this one are acknowledged.
    acknowledged: int = 0
    # All positions below this one are assigned.
    n_assigned: int = 0
    # Number of slots without a position in complete groups.
    n_ready: int = 0
    n_groups_accepted: int = 0
    n_open_slots: int = 0
    # Rule from the newest bundle that a command has carried.
    rule: model.Rule = model.Rule(0, 0)
    groups_by_id: dict[str, Group] = attrs.field(factory=dict)
    slots_by_position: dict[int, model.SlotRef] = attrs.field(factory=dict)
    past_groups_by_id: dict[str, PastGroup] = attrs.field(factory=dict)
    n_past_samples: int = 0


@codec.register("samples.owner")
@attrs.define
class Owner:
    """A gateway that runs the attempts of the groups assigned to it."""

    process_id: str
    incarnation: int
    # State time at which the lease expires and the groups are reassigned.
    expires_at: float
    # Changes whenever the owner's work list changes for another reason than a record of
    # its own; see `bump_revision`.
    revision: int = 0
    n_slots: int = 0


@codec.register("samples.section")
@attrs.define
class Section:
    """The samples of all trainers, and the owners of their groups."""

    trainers_by_name: dict[str, Trainer] = attrs.field(factory=dict)
    owners_by_id: dict[str, Owner] = attrs.field(factory=dict)
    # State time of the last renewal by any owner.
    renewed_at: float = 0.0
    last_revision: int = 0


def of(state: machine.State) -> Section:
    """Return the section of the samples."""
    section: Section = state.section(SECTION, Section)
    return section


def bump_revision(section: Section, owner: Owner) -> None:
    """Give the owner a revision that no owner has had before.

    If each owner had its own counter, an owner that is removed and added again could
    get the revision that it already knows, and would never receive the groups that were
    assigned to it since.
    """
    section.last_revision += 1
    owner.revision = section.last_revision


def trainer_of(state: machine.State, name: str) -> Trainer:
    """Return the state of a trainer, creating it if there is none."""
    trainers = of(state).trainers_by_name
    if name not in trainers:
        trainers[name] = Trainer()
    return trainers[name]


@machine.keep_rising.register
def _(section: Section, current: Section | None) -> None:
    """Prevent epochs, cursors and positions from falling when a backup is restored.

    Samples received since the backup was made must not be delivered again, so a trainer
    in the current state replaces the one in the backup. A state group that is created
    from a backup has no current state. In that case epochs jump, so that commands of
    owners and readers from the time after the backup are refused.
    """
    if current is not None:
        section.trainers_by_name |= current.trainers_by_name
        section.owners_by_id = current.owners_by_id
        section.renewed_at = current.renewed_at
        return
    section.owners_by_id.clear()
    for trainer in section.trainers_by_name.values():
        trainer.reader_epoch += EPOCH_JUMP
        for group in trainer.groups_by_id.values():
            group.owner = ""
            group.owner_epoch += EPOCH_JUMP


def slots_in_order(trainer: Trainer) -> Iterator[tuple[Group, int, Slot]]:
    """Yield the slots of open groups, oldest group first."""
    for group in trainer.groups_by_id.values():
        for i, slot in enumerate(group.slots):
            yield group, i, slot


def is_complete(group: Group) -> bool:
    """Return whether each slot has a sample, or had one when it got its position."""
    return all(
        slot.record is not None or slot.position != model.UNASSIGNED
        for slot in group.slots
    )


def _n_unassigned(group: Group) -> int:
    return sum(slot.position == model.UNASSIGNED for slot in group.slots)


def set_record(
    trainer: Trainer, group: Group, slot: Slot, record: model.Record
) -> None:
    """Set `record` as the slot's sample."""
    slot.record = record
    slot.n_attempts = max(slot.n_attempts, record.attempt)
    if slot.position == model.UNASSIGNED and is_complete(group):
        trainer.n_ready += _n_unassigned(group)


def clear_record(trainer: Trainer, group: Group, slot: Slot) -> None:
    """Discard the slot's sample; another attempt will fill the same position."""
    if slot.position == model.UNASSIGNED and is_complete(group):
        trainer.n_ready -= _n_unassigned(group)
    slot.record = None


def assign(trainer: Trainer, group: Group, i_slot: int) -> None:
    """Assign the next position to the slot."""
    slot = group.slots[i_slot]
    slot.position = trainer.n_assigned
    trainer.n_assigned += 1
    trainer.n_ready -= 1
    trainer.slots_by_position[slot.position] = model.SlotRef(
        group.request.group_id, i_slot
    )


def acknowledge(section: Section, trainer: Trainer, cursor: int) -> None:
    """Record that all positions below `cursor` were received, and remove them."""
    for position in range(trainer.acknowledged, cursor):
        ref = trainer.slots_by_position.pop(position)
        group = trainer.groups_by_id[ref.group_id]
        group.n_acknowledged += 1
        trainer.n_open_slots -= 1
        owner = section.owners_by_id.get(group.owner)
        if owner is not None:
            owner.n_slots -= 1
        if group.n_acknowledged == len(group.slots):
            _retire(trainer, group)
    trainer.acknowledged = max(trainer.acknowledged, cursor)


def _retire(trainer: Trainer, group: Group) -> None:
    request = group.request
    del trainer.groups_by_id[request.group_id]
    past = PastGroup(request.digest(), len(group.slots), pack_trace(group))
    trainer.past_groups_by_id[request.group_id] = past
    trainer.n_past_samples += past.n_slots
    while trainer.n_past_samples > HISTORY_SAMPLES:
        oldest = next(iter(trainer.past_groups_by_id))
        trainer.n_past_samples -= trainer.past_groups_by_id.pop(oldest).n_slots


def pack_trace(group: Group) -> bytes:
    """Return a compact encoding of the slots of a finished group.

    Field names, and values that matter only until delivery, are left out. A slot takes
    about 60 bytes instead of 250.
    """
    return bytes(msgpack.packb([_pack_slot(slot) for slot in group.slots]))


def _pack_slot(slot: Slot) -> list[Any]:
    record = slot.record
    if record is None:
        return [slot.n_attempts, slot.position, slot.delivered_version]
    segments = [attrs.astuple(each) for each in record.segments]
    return [
        slot.n_attempts,
        slot.position,
        slot.delivered_version,
        record.attempt,
        record.owner_epoch,
        record.upstream_id,
        segments,
        record.score,
        record.n_tokens,
    ]


def unpack_trace(past: PastGroup, i_slot: int) -> Slot:
    """Return one slot of a packed trace, without its payload digest and holders."""
    n_attempts, position, version, *rest = msgpack.unpackb(past.trace)[i_slot]
    if not rest:
        return Slot(n_attempts, None, position, version)
    attempt, epoch, upstream_id, packed, score, n_tokens = rest
    segments = tuple(model.Segment(*each) for each in packed)
    record = model.Record(
        attempt, epoch, upstream_id, segments, score, n_tokens, b"", ()
    )
    return Slot(n_attempts, record, position, version)
