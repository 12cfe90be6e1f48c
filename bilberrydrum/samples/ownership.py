"""Assignment of groups to owners (gateways), made in the replicated state.

An owner renews a lease in state time. When the lease expires, each of its groups is
assigned to the remaining owner with the fewest slots and the group's epoch rises, so
that later writes of the previous owner are refused.
"""

from typing import Final

import attrs

from bilberrydrum.samples import model, section

# If no owner has renewed for more than this share of the lease, the state group was
# unavailable to all of them; no single owner is assumed to have crashed.
_OUTAGE_SHARE: Final = 0.5


def choose_owner(samples: section.Section) -> str:
    """Return the owner for one more group, or an empty string if there is none."""
    owners = samples.owners_by_id.values()
    # Ties are broken by the id, so that all replicas choose the same owner.
    least = min(owners, key=lambda each: (each.n_slots, each.process_id), default=None)
    return "" if least is None else least.process_id


def set_owner(samples: section.Section, group: section.Group, process_id: str) -> None:
    """Make `process_id` the group's owner under a new epoch."""
    n_slots = len(group.slots) - group.n_acknowledged
    earlier = samples.owners_by_id.get(group.owner)
    if earlier is not None and group.owner_epoch:
        earlier.n_slots -= n_slots
        section.bump_revision(samples, earlier)
    group.owner = process_id
    # A late write of the previous owner could put a second attempt in a slot. The epoch
    # distinguishes it from the writes of the new owner.
    group.owner_epoch += 1
    owner = samples.owners_by_id.get(process_id)
    if owner is not None:
        owner.n_slots += n_slots
        section.bump_revision(samples, owner)


def renew(
    samples: section.Section,
    process_id: str,
    incarnation: int,
    time: float,
    lease_seconds: float,
) -> section.Owner | None:
    """Renew an owner's lease, or return None if a later incarnation has renewed it."""
    _extend_leases_after_outage(samples, time, lease_seconds)
    owner = samples.owners_by_id.get(process_id)
    if owner is not None and incarnation < owner.incarnation:
        return None
    if owner is not None and incarnation > owner.incarnation:
        _remove_owner(samples, owner)
        owner = None
    is_new = owner is None
    if owner is None:
        owner = section.Owner(process_id, incarnation, 0.0)
        samples.owners_by_id[process_id] = owner
        section.bump_revision(samples, owner)
    owner.expires_at = time + lease_seconds
    samples.renewed_at = time
    _remove_expired(samples, time)
    if is_new:
        _assign_unowned_groups(samples)
    return owner


def leave(samples: section.Section, process_id: str, incarnation: int) -> None:
    """Reassign a leaving owner's groups.

    Its payloads remain available until its process ends.
    """
    owner = samples.owners_by_id.get(process_id)
    if owner is None or owner.incarnation != incarnation:
        return
    del samples.owners_by_id[process_id]
    _reassign_groups(samples, process_id)


def _extend_leases_after_outage(
    samples: section.Section, time: float, lease_seconds: float
) -> None:
    # While the state group has no leader, no owner can renew. If leases expired in that
    # time, the first owner to renew afterwards would get all groups, and all payloads
    # would be generated again.
    gap = time - samples.renewed_at
    if samples.renewed_at and gap > lease_seconds * _OUTAGE_SHARE:
        for owner in samples.owners_by_id.values():
            owner.expires_at = max(owner.expires_at, time + lease_seconds)


def _remove_expired(samples: section.Section, time: float) -> None:
    expired = [each for each in samples.owners_by_id.values() if each.expires_at < time]
    for owner in expired:
        _remove_owner(samples, owner)


def _remove_owner(samples: section.Section, owner: section.Owner) -> None:
    del samples.owners_by_id[owner.process_id]
    _remove_holder(samples, model.holder_name(owner.process_id, owner.incarnation))
    _reassign_groups(samples, owner.process_id)


def _reassign_groups(samples: section.Section, process_id: str) -> None:
    for trainer in samples.trainers_by_name.values():
        for group in trainer.groups_by_id.values():
            if group.owner == process_id:
                set_owner(samples, group, choose_owner(samples))


def _assign_unowned_groups(samples: section.Section) -> None:
    """Assign owners to the groups that were added while there was none."""
    for trainer in samples.trainers_by_name.values():
        for group in trainer.groups_by_id.values():
            if group.owner not in samples.owners_by_id:
                set_owner(samples, group, choose_owner(samples))


def _remove_holder(samples: section.Section, holder: str) -> None:
    """Remove a lost incarnation of a gateway from the holders of payloads.

    A slot whose payload has no holder left needs another attempt at once, and not only
    when the trainer requests it.
    """
    for trainer in samples.trainers_by_name.values():
        for group, _, slot in section.slots_in_order(trainer):
            record = slot.record
            if record is None or holder not in record.holders:
                continue
            if 0 <= slot.position < trainer.acknowledged:
                continue
            remaining = tuple(each for each in record.holders if each != holder)
            if remaining:
                slot.record = attrs.evolve(record, holders=remaining)
            else:
                section.clear_record(trainer, group, slot)
                bump_owner_revision(samples, group)


def bump_owner_revision(samples: section.Section, group: section.Group) -> None:
    """Change the revision of the group's owner, so that it gets a new work list."""
    owner = samples.owners_by_id.get(group.owner)
    if owner is not None:
        section.bump_revision(samples, owner)
