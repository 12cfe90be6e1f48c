"""Implementation of the commands on the samples in the replicated state.

All rules of delivery are enforced here, so they hold for commands from any gateway. A
command may be applied more than once: a repeat finds the effect of the first and does
not apply it again. Only `OpenReader` raises the reader epoch each time.
"""

import attrs

from bilberrydrum import reasons
from bilberrydrum.samples import commands, model, ownership, section, staleness
from bilberrydrum.state import machine
from bilberrydrum.weights import commands as weight_commands


@machine.apply.register
def _(
    command: commands.OpenReader, state: machine.State, context: machine.Context
) -> commands.Reader:
    trainer = section.trainer_of(state, command.trainer)
    trainer.reader_epoch += 1
    return commands.Reader(trainer.reader_epoch, trainer.acknowledged)


@machine.apply.register
def _(
    command: commands.AddGroups, state: machine.State, context: machine.Context
) -> commands.GroupsAdded:
    samples = section.of(state)
    trainer = section.trainer_of(state, command.trainer)
    requests_by_id: dict[str, model.GroupRequest] = {}
    conflicts = []
    n_known = 0
    for request in command.groups:
        known = _known_digest(trainer, requests_by_id, request.group_id)
        if known is None:
            requests_by_id[request.group_id] = request
        elif known == request.digest():
            n_known += 1
        else:
            conflicts.append(request.group_id)
    if conflicts:
        return commands.GroupsAdded(conflicts=tuple(conflicts))
    n_slots = sum(request.n_slots for request in requests_by_id.values())
    if trainer.n_open_slots + n_slots > command.max_open_slots:
        return commands.GroupsAdded(is_full=True)
    owners = {_add_group(samples, trainer, each) for each in requests_by_id.values()}
    return commands.GroupsAdded(
        len(requests_by_id), n_known, owners=tuple(sorted(owners))
    )


def _known_digest(
    trainer: section.Trainer,
    requests_by_id: dict[str, model.GroupRequest],
    group_id: str,
) -> bytes | None:
    """Return the digest of the group with this id, even if it was delivered already.

    A trainer that resends its groups after a lost answer must not get them twice.
    """
    if group_id in requests_by_id:
        return requests_by_id[group_id].digest()
    if group_id in trainer.groups_by_id:
        return trainer.groups_by_id[group_id].request.digest()
    past = trainer.past_groups_by_id.get(group_id)
    return None if past is None else past.digest


def _add_group(
    samples: section.Section, trainer: section.Trainer, request: model.GroupRequest
) -> str:
    trainer.n_groups_accepted += 1
    slots = [section.Slot() for _ in range(request.n_slots)]
    group = section.Group(request, trainer.n_groups_accepted, "", 0, slots)
    trainer.groups_by_id[request.group_id] = group
    trainer.n_open_slots += request.n_slots
    ownership.set_owner(samples, group, ownership.choose_owner(samples))
    return group.owner


@machine.apply.register
def _(
    command: commands.RenewOwner, state: machine.State, context: machine.Context
) -> commands.Renewed:
    samples = section.of(state)
    owner = ownership.renew(
        samples,
        command.process_id,
        command.incarnation,
        context.time,
        command.lease_seconds,
    )
    if owner is None:
        return commands.Renewed(is_current=False)
    work = None
    if owner.revision != command.revision:
        work = tuple(_work(samples, owner.process_id))
    return commands.Renewed(True, owner.revision, context.index, work)


def _work(samples: section.Section, process_id: str) -> list[commands.Work]:
    work = []
    for name, trainer in samples.trainers_by_name.items():
        for group in trainer.groups_by_id.values():
            if group.owner != process_id:
                continue
            wanted = {i: s for i, s in enumerate(group.slots) if s.record is None}
            if wanted:
                work.append(_group_work(name, group, wanted))
    return work


def _group_work(
    trainer: str, group: section.Group, wanted: dict[int, section.Slot]
) -> commands.Work:
    return commands.Work(
        trainer,
        group.request.group_id,
        group.sequence,
        group.owner_epoch,
        {i: slot.n_attempts for i, slot in wanted.items()},
        tuple(i for i, slot in wanted.items() if slot.position != model.UNASSIGNED),
    )


@machine.apply.register
def _(
    command: commands.LeaveOwner, state: machine.State, context: machine.Context
) -> commands.Done:
    ownership.leave(section.of(state), command.process_id, command.incarnation)
    return commands.Done(context.index)


@machine.apply.register
def _(
    command: commands.RecordSamples, state: machine.State, context: machine.Context
) -> commands.Recorded:
    for name, rule in command.rules_by_trainer.items():
        _adopt_rule(section.trainer_of(state, name), rule)
    refusals = tuple(_apply_record(state, each) for each in command.records)
    return commands.Recorded(refusals, context.index)


def _apply_record(
    state: machine.State, slot_record: commands.SlotRecord
) -> reasons.Reason | None:
    trainer = section.trainer_of(state, slot_record.trainer)
    group = trainer.groups_by_id.get(slot_record.group_id)
    if group is None or not 0 <= slot_record.slot < len(group.slots):
        return reasons.Reason.ATTEMPT_SUPERSEDED
    if group.owner_epoch != slot_record.record.owner_epoch:
        return reasons.Reason.EPOCH_STALE
    slot = group.slots[slot_record.slot]
    if slot.record is not None:
        is_repeat = slot.record.payload_digest == slot_record.record.payload_digest
        is_repeat = is_repeat and slot.record.attempt == slot_record.record.attempt
        return None if is_repeat else reasons.Reason.ATTEMPT_SUPERSEDED
    # A record that was discarded (too stale, or its payload lost) must not be restored
    # when its command is repeated.
    if slot_record.record.attempt <= slot.n_attempts:
        return reasons.Reason.ATTEMPT_SUPERSEDED
    newest = weight_commands.newest_version(state, slot_record.trainer)
    if not staleness.is_within_bound(
        slot_record.record, newest, trainer.rule.staleness_bound
    ):
        slot.n_attempts = slot_record.record.attempt
        return reasons.Reason.SAMPLE_STALE
    section.set_record(trainer, group, slot, slot_record.record)
    return None


@machine.apply.register
def _(
    command: commands.AssignBatch, state: machine.State, context: machine.Context
) -> commands.Batch:
    trainer = section.trainer_of(state, command.trainer)
    refusal = check_reader(trainer, command.reader_epoch, command.cursor)
    if refusal is not None:
        return commands.Batch(refusal, trainer.acknowledged, trainer.n_assigned)
    samples = section.of(state)
    section.acknowledge(samples, trainer, command.cursor)
    _adopt_rule(trainer, command.rule)
    newest = weight_commands.newest_version(state, command.trainer)
    # Samples without a position are checked too; otherwise they could be assigned
    # although they are too stale.
    expired = _expire(samples, trainer, newest, only_waiting=False)
    if trainer.n_assigned == trainer.acknowledged:
        _assign_ready(trainer, command.n_samples)
    batch = batch_at(trainer, newest)
    return attrs.evolve(batch, n_expired=expired.n_expired, owners=expired.owners)


def check_reader(
    trainer: section.Trainer, reader_epoch: int, cursor: int
) -> reasons.Reason | None:
    """Return why this reader may not read at `cursor`, or None if it may."""
    if reader_epoch != trainer.reader_epoch or reader_epoch == 0:
        return reasons.Reason.READER_SUPERSEDED
    if not trainer.acknowledged <= cursor <= trainer.n_assigned:
        return reasons.Reason.CURSOR_INVALID
    return None


def _assign_ready(trainer: section.Trainer, n_samples: int) -> None:
    """Assign positions to the slots of complete groups, the oldest group first.

    Trainers compare the samples of a group with one another, so they get consecutive
    positions. A complete group goes before an older one that is incomplete. Slots are
    not assigned one by one as their samples finish, because the batches would then fill
    with short samples.
    """
    if trainer.n_ready < n_samples:
        return
    ready = [
        (group, i)
        for group in trainer.groups_by_id.values()
        if section.is_complete(group)
        for i, slot in enumerate(group.slots)
        if slot.position == model.UNASSIGNED
    ]
    for group, i in ready[:n_samples]:
        section.assign(trainer, group, i)


def batch_at(trainer: section.Trainer, newest_version: int) -> commands.Batch:
    """Return the assigned batch, or a refusal if it is incomplete."""
    assigned = []
    slots = []
    for position in range(trainer.acknowledged, trainer.n_assigned):
        ref = trainer.slots_by_position[position]
        slot = trainer.groups_by_id[ref.group_id].slots[ref.slot]
        if slot.record is None:
            break
        age = staleness.staleness(newest_version, slot.record.oldest_version())
        assigned.append(
            commands.Assigned(position, ref.group_id, ref.slot, age, slot.record)
        )
        slots.append(slot)
    is_complete = len(assigned) == trainer.n_assigned - trainer.acknowledged
    if not assigned or not is_complete:
        refusal = reasons.Reason.BATCH_NOT_READY
        return commands.Batch(
            refusal, trainer.acknowledged, trainer.n_assigned, newest_version
        )
    for slot in slots:
        slot.delivered_version = newest_version
    return commands.Batch(
        None,
        trainer.acknowledged,
        trainer.n_assigned,
        newest_version,
        tuple(assigned),
    )


@machine.apply.register
def _(
    command: commands.ExpireSamples, state: machine.State, context: machine.Context
) -> commands.Expired:
    trainer = section.trainer_of(state, command.trainer)
    _adopt_rule(trainer, command.rule)
    newest = weight_commands.newest_version(state, command.trainer)
    return _expire(section.of(state), trainer, newest, only_waiting=True)


def _expire(
    samples: section.Section,
    trainer: section.Trainer,
    newest_version: int,
    only_waiting: bool,
) -> commands.Expired:
    """Discard the samples that exceed the staleness bound.

    Samples with a position may have been received already. They are discarded only when
    the trainer requests them again; otherwise a sample that the trainer has received
    would be generated a second time for nothing.
    """
    n_expired = 0
    owners = set()
    bound = trainer.rule.staleness_bound
    for group, _, slot in section.slots_in_order(trainer):
        if slot.record is None or 0 <= slot.position < trainer.acknowledged:
            continue
        if only_waiting and slot.position != model.UNASSIGNED:
            continue
        if staleness.is_within_bound(slot.record, newest_version, bound):
            continue
        section.clear_record(trainer, group, slot)
        ownership.bump_owner_revision(samples, group)
        owners.add(group.owner)
        n_expired += 1
    return commands.Expired(n_expired, tuple(sorted(owners)))


@machine.apply.register
def _(
    command: commands.ReportLost, state: machine.State, context: machine.Context
) -> commands.Expired:
    samples = section.of(state)
    trainer = section.trainer_of(state, command.trainer)
    n_expired = 0
    owners = set()
    for lost in command.lost:
        group = trainer.groups_by_id.get(lost.group_id)
        if group is None or lost.position < trainer.acknowledged:
            continue
        slot = group.slots[lost.slot]
        # The report may refer to an attempt that was replaced in the meantime.
        if slot.record is None or slot.record.attempt != lost.record.attempt:
            continue
        if slot.record.owner_epoch != lost.record.owner_epoch:
            continue
        section.clear_record(trainer, group, slot)
        ownership.bump_owner_revision(samples, group)
        owners.add(group.owner)
        n_expired += 1
    return commands.Expired(n_expired, tuple(sorted(owners)))


def _adopt_rule(trainer: section.Trainer, rule: model.Rule) -> None:
    # A gateway that has not received the newest bundle yet must not restore an older
    # bound after another gateway has applied the newer one.
    if rule.bundle_version >= trainer.rule.bundle_version:
        trainer.rule = rule
