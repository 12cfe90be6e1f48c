"""What a relay node is still to send to one set of receivers.

Pending changes of an owner are merged into one. Owners of which only loads changed are
packed into columns.
"""

from typing import Final

import attrs

from bilberrydrum.upstreams import messages, records, relayed_loads, table

# Owners whose renewals are older than this are listed one by one.
LATE_OWNER_SECONDS: Final = 2.0
# Largest age that is sent; a lease renewed that long ago has long expired.
MAX_AGE_SECONDS: Final = 60.0


class Outgoing:
    """What this gateway relays to one set of receivers."""

    def __init__(self, known: table.Table, is_all: bool) -> None:
        self._table = known
        self._is_all = is_all
        self._sequence = 0
        # Pending changes, merged for each owner.
        self._waiting_by_owner: dict[str, messages.OwnerChanges] = {}
        self._unlogged: list[records.Record] = []

    @property
    def has_urgent(self) -> bool:
        """Return whether more than loads is to be relayed."""
        return bool(self._unlogged) or any(
            _is_urgent(update.changes) for update in self._waiting_by_owner.values()
        )

    def add(self, update: messages.OwnerChanges) -> None:
        """Relay an owner's changes with the next message."""
        waiting = self._waiting_by_owner.get(update.home)
        if waiting is not None and waiting.incarnation == update.incarnation:
            changes = _merged(waiting.changes, update.changes)
            update = attrs.evolve(update, changes=changes)
        self._waiting_by_owner[update.home] = update

    def add_record(self, record: records.Record) -> None:
        """Relay a record that may be in no owner's log."""
        self._unlogged.append(record)

    def clear(self) -> None:
        """Drop what is pending; also used when this gateway is no relay node."""
        self._waiting_by_owner.clear()
        self._unlogged.clear()

    def next_message(
        self, owners: set[str], topology_digest: int, now: float
    ) -> messages.Relayed:
        """Return the next message and drop what was pending."""
        self._sequence += 1
        ages_by_owner = {
            owner: now - self._confirmed_at(owner, now) for owner in owners
        }
        in_time = [age for age in ages_by_owner.values() if age <= LATE_OWNER_SECONDS]
        late_homes = tuple(
            messages.LateOwner(owner, int(1000 * min(age, MAX_AGE_SECONDS)))
            for owner, age in ages_by_owner.items()
            if age > LATE_OWNER_SECONDS
        )
        loads_by_owner = {
            owner: update.changes
            for owner, update in self._waiting_by_owner.items()
            if not _is_urgent(update.changes)
        }
        message = messages.Relayed(
            int(now * 1000),
            self._sequence,
            topology_digest,
            self._is_all,
            # Rounded up, so that renewals do not count as newer than they are.
            int(1000 * max(in_time, default=0.0)) + 1,
            late_homes,
            self._late(owners, now),
            tuple(
                update
                for owner, update in self._waiting_by_owner.items()
                if owner not in loads_by_owner
            ),
            relayed_loads.pack(loads_by_owner),
            tuple(self._unlogged),
        )
        self.clear()
        return message

    def vector(
        self, owners: set[str], fetch: messages.FetchVector, now: float
    ) -> messages.Vector:
        """Return how far this relay node knows the owners."""
        views_by_owner = self._table.views_by_owner
        known = sorted(owner for owner in owners if owner in views_by_owner)
        own = self._table.process_id
        return messages.Vector(
            fetch.asked_at,
            int(now * 1000),
            self._is_all,
            self._sequence,
            (*known, own),
            (
                *(views_by_owner[owner].change for owner in known),
                self._table.own.change,
            ),
        )

    def _confirmed_at(self, owner: str, now: float) -> float:
        if owner == self._table.process_id:
            return now - self._table.own.heartbeat(now).age / 1000
        view = self._table.views_by_owner.get(owner)
        return table.NEVER if view is None else view.confirmed_at

    def _late(self, owners: set[str], now: float) -> tuple[messages.Late, ...]:
        late = [
            attrs.evolve(entry, home=self._table.process_id)
            for entry in self._table.own.heartbeat(now).late
        ]
        for owner in owners:
            view = self._table.views_by_owner.get(owner)
            late_by_id = {} if view is None else view.late_by_id()
            late.extend(
                messages.Late(upstream_id, int((now - at) * 1000) + 1, owner)
                for upstream_id, at in late_by_id.items()
            )
        return tuple(late)


def _is_urgent(changes: messages.Changes) -> bool:
    # Changes without items and loads mark that the receivers must fetch from the owner.
    return bool(changes.items) or not changes.loads


def _merged(first: messages.Changes, second: messages.Changes) -> messages.Changes:
    """Merge two consecutive changes of an owner into one."""
    if second.previous > first.change or not (second.items or second.loads):
        # Changes in between are missing here, so that the receiver must fetch as well.
        return messages.Changes(second.sent_at, second.change, second.change)
    items_by_id = {item.upstream_id: item for item in (*first.items, *second.items)}
    loads_by_id = {load.upstream_id: load for load in first.loads}
    for item in second.items:
        loads_by_id.pop(item.upstream_id, None)
    for load in second.loads:
        loads_by_id[load.upstream_id] = load
    return messages.Changes(
        second.sent_at,
        first.previous,
        second.change,
        tuple(items_by_id.values()),
        tuple(loads_by_id.values()),
    )
