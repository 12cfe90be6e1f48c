"""Queries of the samples in the replicated state."""

import attrs

from bilberrydrum import codec, reasons
from bilberrydrum.samples import applying, model, section, staleness
from bilberrydrum.state import machine
from bilberrydrum.weights import commands as weight_commands

STATE_WANTED = "wanted"
STATE_READY = "ready"
STATE_ASSIGNED = "assigned"
STATE_ACKNOWLEDGED = "acknowledged"


@codec.register("samples.get-requests")
@attrs.frozen
class GetRequests:
    """Request the content of groups; answered with `Requests`."""

    trainer: str
    group_ids: tuple[str, ...]


@codec.register("samples.requests")
@attrs.frozen
class Requests:
    """The requests of those groups that are still open."""

    requests: tuple[model.GroupRequest, ...]


@codec.register("samples.check-batch")
@attrs.frozen
class CheckBatch:
    """Query whether `AssignBatch` would return a batch; answered with `BatchCheck`."""

    trainer: str
    reader_epoch: int
    cursor: int
    n_samples: int
    rule: model.Rule


@codec.register("samples.batch-check")
@attrs.frozen
class BatchCheck:
    """Whether a batch is available at the cursor."""

    # None if a batch is available. `SAMPLE_STALE` if `AssignBatch` would discard
    # samples and have them generated again.
    refusal: reasons.Reason | None
    weight_version: int = 0
    # Fingerprint of the batch that is assigned at the cursor; empty if there is none.
    fingerprint: bytes = b""


@codec.register("samples.list-unneeded")
@attrs.frozen
class ListUnusedPayloads:
    """Query which payloads no slot needs; answered with `UnusedPayloads`."""

    keys: tuple[str, ...]


@codec.register("samples.unneeded")
@attrs.frozen
class UnusedPayloads:
    """The payloads that may be dropped."""

    keys: tuple[str, ...]


@codec.register("samples.get-trace")
@attrs.frozen
class GetTrace:
    """Request the trace of one sample; answered with `Trace`."""

    trainer: str
    group_id: str
    slot: int


@codec.register("samples.trace")
@attrs.frozen
class Trace:
    """The state and record of one sample; `state` is empty if it is unknown."""

    sample_id: str
    state: str = ""
    position: int = model.UNASSIGNED
    delivered_version: int = -1
    staleness: int = -1
    owner: str = ""
    record: model.Record | None = None


@codec.register("samples.list-trainers")
@attrs.frozen
class ListTrainers:
    """Request the status of all trainers; answered with `Trainers`."""


@codec.register("samples.trainer-status")
@attrs.frozen
class TrainerStatus:
    """The status of one trainer, for operators."""

    trainer: str
    weight_version: int
    reader_epoch: int
    cursor: int
    n_assigned: int
    n_groups: int
    n_slots_by_state: dict[str, int]


@codec.register("samples.trainers")
@attrs.frozen
class Trainers:
    """The status of all trainers."""

    trainers: tuple[TrainerStatus, ...]


@machine.answer.register
def _(query: GetRequests, state: machine.State, now: float) -> Requests:
    trainer = _find(state, query.trainer)
    groups = [trainer.groups_by_id.get(group_id) for group_id in query.group_ids]
    return Requests(tuple(group.request for group in groups if group is not None))


@machine.answer.register
def _(query: CheckBatch, state: machine.State, now: float) -> BatchCheck:
    trainer = _find(state, query.trainer)
    newest = weight_commands.newest_version(state, query.trainer)
    rule = trainer.rule
    if query.rule.bundle_version >= rule.bundle_version:
        rule = query.rule
    refusal = applying.check_reader(trainer, query.reader_epoch, query.cursor)
    if refusal is not None:
        return BatchCheck(refusal, newest)
    if trainer.n_assigned == query.cursor:
        if trainer.n_ready < query.n_samples:
            return BatchCheck(reasons.Reason.BATCH_NOT_READY, newest)
        return BatchCheck(None, newest)
    return _check_assigned(trainer, query.cursor, newest, rule.staleness_bound)


def _check_assigned(
    trainer: section.Trainer, cursor: int, newest: int, bound: int
) -> BatchCheck:
    records = []
    for position in range(cursor, trainer.n_assigned):
        ref = trainer.slots_by_position[position]
        record = trainer.groups_by_id[ref.group_id].slots[ref.slot].record
        if record is None:
            return BatchCheck(reasons.Reason.BATCH_NOT_READY, newest)
        if not staleness.is_within_bound(record, newest, bound):
            return BatchCheck(reasons.Reason.SAMPLE_STALE, newest)
        records.append(record)
    return BatchCheck(None, newest, model.fingerprint(records))


@machine.answer.register
def _(query: ListUnusedPayloads, state: machine.State, now: float) -> UnusedPayloads:
    return UnusedPayloads(
        tuple(key for key in query.keys if not _is_needed(state, key))
    )


def _is_needed(state: machine.State, key: str) -> bool:
    sample, _, attempt = key.rpartition("#")
    name, _, rest = sample.partition("/")
    group_id, _, slot_text = rest.rpartition("/")
    trainer = _find(state, name)
    group = trainer.groups_by_id.get(group_id)
    if group is None:
        return False
    slot = group.slots[int(slot_text)]
    if slot.record is None or 0 <= slot.position < trainer.acknowledged:
        return False
    return attempt == f"{slot.record.owner_epoch}.{slot.record.attempt}"


@machine.answer.register
def _(query: GetTrace, state: machine.State, now: float) -> Trace:
    trainer = _find(state, query.trainer)
    sample = model.sample_id(query.trainer, query.group_id, query.slot)
    group = trainer.groups_by_id.get(query.group_id)
    if group is not None and 0 <= query.slot < len(group.slots):
        return _trace(sample, trainer, group.slots[query.slot], group.owner)
    past = trainer.past_groups_by_id.get(query.group_id)
    if past is not None and 0 <= query.slot < past.n_slots:
        return _trace(sample, trainer, section.unpack_trace(past, query.slot), "")
    return Trace(sample)


def _trace(
    sample: str, trainer: section.Trainer, slot: section.Slot, owner: str
) -> Trace:
    age = -1
    if slot.record is not None and slot.delivered_version >= 0:
        oldest = slot.record.oldest_version()
        age = staleness.staleness(slot.delivered_version, oldest)
    return Trace(
        sample,
        slot_state(trainer, slot),
        slot.position,
        slot.delivered_version,
        age,
        owner,
        slot.record,
    )


def slot_state(trainer: section.Trainer, slot: section.Slot) -> str:
    """Return the state of a slot, which is one of the `STATE_` constants."""
    if 0 <= slot.position < trainer.acknowledged:
        return STATE_ACKNOWLEDGED
    if slot.record is None:
        return STATE_WANTED
    return STATE_READY if slot.position == model.UNASSIGNED else STATE_ASSIGNED


@machine.answer.register
def _(query: ListTrainers, state: machine.State, now: float) -> Trainers:
    names = section.of(state).trainers_by_name
    return Trainers(tuple(_status(state, name) for name in sorted(names)))


def _status(state: machine.State, name: str) -> TrainerStatus:
    trainer = _find(state, name)
    n_by_state: dict[str, int] = {}
    for _, _, slot in section.slots_in_order(trainer):
        key = slot_state(trainer, slot)
        n_by_state[key] = n_by_state.get(key, 0) + 1
    return TrainerStatus(
        name,
        weight_commands.newest_version(state, name),
        trainer.reader_epoch,
        trainer.acknowledged,
        trainer.n_assigned,
        len(trainer.groups_by_id),
        n_by_state,
    )


def _find(state: machine.State, name: str) -> section.Trainer:
    # A query must not change the state, so an unknown trainer is not added to it.
    return section.of(state).trainers_by_name.get(name) or section.Trainer()
