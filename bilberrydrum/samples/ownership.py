"""Which gateway drives which group; decided in the replicated state.

An owner renews a lease in state time. When it ends, each of its groups goes to the
living owner with the fewest slots and the group's epoch rises, so that whatever the
earlier owner still writes is refused.
"""

from typing import Final

import attrs

from bilberrydrum.samples import model, section

# A gap between any two renewals above this share of the lease means that nobody could
# renew, not that one owner died.
_OUTAGE_SHARE: Final = 0.5


def pick(samples: section.Section) -> str:
    """Return the owner for one more group; empty: there is none."""
    owners = samples.owners_by_id.values()
    # The id decides between equals, so that all replicas choose the same.
    least = min(owners, key=lambda each: (each.n_slots, each.process_id), default=None)
    return "" if least is None else least.process_id


def give(samples: section.Section, group: section.Group, process_id: str) -> None:
    """Make `process_id` the group's owner under a new epoch."""
    n_slots = len(group.slots) - group.n_acknowledged
    earlier = samples.owners_by_id.get(group.owner)
    if earlier is not None and group.owner_epoch:
        earlier.n_slots -= n_slots
        section.touch(samples, earlier)
    group.owner = process_id
    # A late write of the earlier owner could put a second attempt in a slot; the epoch
    # tells it from the new owner's.
    group.owner_epoch += 1
    owner = samples.owners_by_id.get(process_id)
    if owner is not None:
        owner.n_slots += n_slots
        section.touch(samples, owner)


def renew(
    samples: section.Section,
    process_id: str,
    incarnation: int,
    time: float,
    lease_seconds: float,
) -> section.Owner | None:
    """Renew an owner's lease; None if a later life of the process has renewed."""
    _bridge_outage(samples, time, lease_seconds)
    owner = samples.owners_by_id.get(process_id)
    if owner is not None and incarnation < owner.incarnation:
        return None
    if owner is not None and incarnation > owner.incarnation:
        _end_life(samples, owner)
        owner = None
    is_new = owner is None
    if owner is None:
        owner = section.Owner(process_id, incarnation, 0.0)
        samples.owners_by_id[process_id] = owner
        section.touch(samples, owner)
    owner.expires_at = time + lease_seconds
    samples.renewed_at = time
    _sweep(samples, time)
    if is_new:
        _adopt_orphans(samples)
    return owner


def leave(samples: section.Section, process_id: str, incarnation: int) -> None:
    """Hand an owner's groups on; its payloads stay until its process ends."""
    owner = samples.owners_by_id.get(process_id)
    if owner is None or owner.incarnation != incarnation:
        return
    del samples.owners_by_id[process_id]
    _hand_on(samples, process_id)


def _bridge_outage(samples: section.Section, time: float, lease_seconds: float) -> None:
    # While the state group has no leader nobody can renew. Without this, the first
    # owner to renew afterwards would take all groups and have all payloads made again.
    gap = time - samples.renewed_at
    if samples.renewed_at and gap > lease_seconds * _OUTAGE_SHARE:
        for owner in samples.owners_by_id.values():
            owner.expires_at = max(owner.expires_at, time + lease_seconds)


def _sweep(samples: section.Section, time: float) -> None:
    expired = [each for each in samples.owners_by_id.values() if each.expires_at < time]
    for owner in expired:
        _end_life(samples, owner)


def _end_life(samples: section.Section, owner: section.Owner) -> None:
    del samples.owners_by_id[owner.process_id]
    _forget_holder(samples, model.holder_name(owner.process_id, owner.incarnation))
    _hand_on(samples, owner.process_id)


def _hand_on(samples: section.Section, process_id: str) -> None:
    for trainer in samples.trainers_by_name.values():
        for group in trainer.groups_by_id.values():
            if group.owner == process_id:
                give(samples, group, pick(samples))


def _adopt_orphans(samples: section.Section) -> None:
    """Find owners for the groups that came while there was none."""
    for trainer in samples.trainers_by_name.values():
        for group in trainer.groups_by_id.values():
            if group.owner not in samples.owners_by_id:
                give(samples, group, pick(samples))


def _forget_holder(samples: section.Section, holder: str) -> None:
    """Take note that the payloads of one life of a gateway are gone.

    A slot that no one holds any more wants another attempt now, not when the trainer
    comes for it.
    """
    for trainer in samples.trainers_by_name.values():
        for group, _, slot in section.slots_in_order(trainer):
            record = slot.record
            if record is None or holder not in record.holders:
                continue
            if 0 <= slot.position < trainer.acknowledged:
                continue
            left = tuple(each for each in record.holders if each != holder)
            if left:
                slot.record = attrs.evolve(record, holders=left)
            else:
                section.clear_record(trainer, group, slot)
                wake(samples, group)


def wake(samples: section.Section, group: section.Group) -> None:
    """Let the group's owner know that there is something to do."""
    owner = samples.owners_by_id.get(group.owner)
    if owner is not None:
        section.touch(samples, owner)
