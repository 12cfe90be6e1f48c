"""The newest record of each upstream, the own leases, and the views of other owners.

`Table` holds the state that the directory decides on, and keeps its parts consistent:
each change of an own record gets a change number and is queued to be published; a newer
record from another gateway ends the own lease on that upstream.
"""

from typing import Final

import attrs

from bilberrydrum.upstreams import (
    events,
    messages,
    model,
    ownership,
    records,
    views,
)

# How long the record of an upstream that left or expired is kept, in seconds. It must
# outlast any delayed message or announcement about the upstream.
KEEP_GONE_SECONDS: Final = 600.0

NEVER: Final = float("-inf")


@attrs.frozen
class _Renewal:
    """The last known renewal of an upstream in one incarnation."""

    incarnation: int
    at: float


class Table:
    """The state of all upstreams, as known to one gateway."""

    def __init__(
        self,
        process_id: str,
        incarnation: int,
        lease_seconds: float,
        trust_seconds: float,
        late_seconds: float,
    ) -> None:
        self.process_id = process_id
        self.lease_seconds = lease_seconds
        # How long after its last renewal an upstream of another owner is listed.
        self._trust_seconds = trust_seconds
        self.own = ownership.Ownership(incarnation, lease_seconds, late_seconds)
        self.views_by_owner: dict[str, views.View] = {}
        # The newest record of each upstream, from any gateway.
        self.records_by_id: dict[str, records.Record] = {}
        self._renewals_by_id: dict[str, _Renewal] = {}
        self._gone_since_by_id: dict[str, float] = {}
        # Own changes that are not published yet, by upstream, and the number of the
        # last published one.
        self._unpublished_by_id: dict[str, messages.Item | messages.LoadItem] = {}
        self._published_change = self.own.change
        # Number of changes of records: those of the load alone, and all others.
        self.n_load_changes = 0
        self.n_changes = 0
        # Records to send to owners that do not have them yet.
        self.corrections: list[events.Send] = []

    def view(self, owner: str, incarnation: int) -> views.View:
        """Return the view of an owner; create a new one if the owner has restarted."""
        view = self.views_by_owner.get(owner)
        if view is None or incarnation > view.incarnation:
            if view is not None:
                self._record_renewals(view)
            view = views.View(incarnation)
            self.views_by_owner[owner] = view
        return view

    def expires_at(self, record: records.Record) -> float:
        """Return when the lease of the newest record expires, as far as known here."""
        renewed_at = self.renewed_at(record)
        if record.home == self.process_id:
            return renewed_at + self.lease_seconds
        return renewed_at + self._trust_seconds

    def renewed_at(self, record: records.Record) -> float:
        """Return when the upstream last renewed, as far as known; NEVER if it is gone.

        A renewal counts whichever gateway was the owner at the time. So the renewals
        that one owner reported still count when another takes over, until messages of
        the new owner arrive.
        """
        if record.state != records.STATE_ACTIVE:
            return NEVER
        upstream_id, incarnation = record.upstream_id, record.life
        known = self._renewals_by_id.get(upstream_id)
        renewed_at = (
            known.at
            if known is not None and known.incarnation == incarnation
            else NEVER
        )
        if record.home == self.process_id:
            if self.is_own(record):
                renewed_at = max(renewed_at, self.own.renewed_at(upstream_id))
        elif record.home in self.views_by_owner:
            view = self.views_by_owner[record.home]
            renewed_at = max(renewed_at, view.renewed_at(upstream_id, incarnation))
        return renewed_at

    def reported_renewed_at(self, record: records.Record) -> float:
        """Return when the upstream last renewed, as reported by its current owner."""
        view = self.views_by_owner.get(record.home)
        if view is None:
            return NEVER
        return view.renewed_at(record.upstream_id, record.life)

    def record_renewal(self, record: records.Record, renewed_at: float) -> None:
        """Record that the upstream renewed in this incarnation."""
        known = self._renewals_by_id.get(record.upstream_id)
        if (
            known is None
            or known.incarnation < record.life
            or (known.incarnation == record.life and known.at < renewed_at)
        ):
            self._renewals_by_id[record.upstream_id] = _Renewal(record.life, renewed_at)

    def apply(self, view: views.View, changes: messages.Changes, now: float) -> bool:
        """Apply an owner's changes to its view; return False if some are missing."""
        for item in changes.items:
            held = view.records_by_id.get(item.upstream_id)
            if held is not None:
                self.record_renewal(held, view.renewed_at(held.upstream_id, held.life))
        return view.apply(changes, now)

    def replace(self, view: views.View, fetched: messages.Fetched, now: float) -> None:
        """Replace the records in an owner's view by all those of the owner."""
        self._record_renewals(view)
        view.replace(fetched, now)

    def is_own(self, record: records.Record) -> bool:
        """Return whether this gateway owns the upstream under exactly this record."""
        own = self.own.records_by_id.get(record.upstream_id)
        return own is not None and own.version() == record.version()

    def put_own(self, record: records.Record, renewed_at: float) -> records.Record:
        """Make this gateway the owner of `record`, or change a record that it owns."""
        item = self.own.put(self._with_owner(record), renewed_at)
        assert item.record is not None
        self._queue_change(item)
        self._set(item.record)
        return item.record

    def put_own_load(self, record: records.Record, load: model.Load) -> None:
        """Change the load of an own record."""
        item = self.own.put_load(record.upstream_id, load)
        if isinstance(self._unpublished_by_id.get(record.upstream_id), messages.Item):
            # The complete record is still to be published and includes the load.
            self._queue_change(self.own.last(record.upstream_id))
        else:
            self._queue_change(item)
        self._set(self.own.records_by_id[record.upstream_id], is_load=True)

    def end(self, record: records.Record, state: str, now: float) -> records.Record:
        """Mark an upstream as expired or left."""
        ended = attrs.evolve(self._with_owner(record), state=state)
        item = self.own.end(ended, now)
        assert item.record is not None
        self._queue_change(item)
        self._set(item.record)
        return item.record

    def merge(self, record: records.Record, now: float, is_load: bool = False) -> bool:
        """Merge a record from another gateway; return False if it is not newer.

        `is_load` says that it differs from the previous record in its load alone.
        """
        held = self.records_by_id.get(record.upstream_id)
        if held is not None and held.version() >= record.version():
            if held.version() != record.version():
                self._merge_drain(held, record)
            return False
        own = self.own.records_by_id.get(record.upstream_id)
        if own is not None:
            # Another gateway is the owner now, or knows that the upstream has left.
            self.record_renewal(own, self.own.renewed_at(record.upstream_id))
            self._queue_change(self.own.release(record.upstream_id, now))
        self._set(record, is_load)
        if held is not None:
            self._merge_drain(record, held)
        return True

    def superseded(self) -> list[tuple[str, records.Record]]:
        """Return owners that still manage a superseded record, with the newer record.

        A gateway that took an upstream over may have crashed when this gateway alone
        had received the new record. The previous owner continues under the old record,
        which would never be accepted here.
        """
        return [
            (owner, self.records_by_id[upstream_id])
            for owner, view in self.views_by_owner.items()
            for upstream_id, held in view.records_by_id.items()
            if self._is_superseded(held)
        ]

    def take_unpublished(self, now: float) -> messages.Changes | None:
        """Return the own changes not published yet, and mark them as published."""
        if self._published_change == self.own.change:
            return None
        items = sorted(self._unpublished_by_id.values(), key=lambda item: item.change)
        aged = [
            attrs.evolve(item, age=self.own.age(item.upstream_id, now))
            for item in items
        ]
        changes = messages.Changes(
            ownership.milliseconds(now),
            self._published_change,
            self.own.change,
            tuple(item for item in aged if isinstance(item, messages.Item)),
            tuple(item for item in aged if isinstance(item, messages.LoadItem)),
        )
        self._unpublished_by_id.clear()
        self._published_change = self.own.change
        return changes

    def has_urgent(self) -> bool:
        """Return whether changes other than of loads are to be published."""
        return any(
            isinstance(item, messages.Item) for item in self._unpublished_by_id.values()
        )

    def forget(self, now: float) -> None:
        """Drop the records of upstreams that left or expired long ago."""
        self.own.forget(now)
        for upstream_id, record in list(self.records_by_id.items()):
            if now < self.expires_at(record):
                self._gone_since_by_id.pop(upstream_id, None)
                continue
            since = self._gone_since_by_id.setdefault(upstream_id, now)
            if now - since >= KEEP_GONE_SECONDS:
                del self.records_by_id[upstream_id]
                self.n_changes += 1
                del self._gone_since_by_id[upstream_id]
                self._renewals_by_id.pop(upstream_id, None)

    def _record_renewals(self, view: views.View) -> None:
        for held in view.records_by_id.values():
            self.record_renewal(held, view.renewed_at(held.upstream_id, held.life))

    def _is_superseded(self, held: records.Record) -> bool:
        newest = self.records_by_id.get(held.upstream_id)
        return newest is not None and newest.version() > held.version()

    def _with_owner(self, record: records.Record) -> records.Record:
        if record.home == self.process_id and self.is_own(record):
            return record
        return attrs.evolve(record, home=self.process_id, epoch=record.epoch + 1)

    def _merge_drain(self, newest: records.Record, other: records.Record) -> None:
        """Keep the later drain request of `other`, a record superseded by `newest`.

        Two gateways may become the owner at once, one of them because it received a
        drain request. Without this, the request would be lost with its record.
        """
        if other.life != newest.life or other.drain_number <= newest.drain_number:
            return
        drained = attrs.evolve(
            newest, is_drained=other.is_drained, drain_number=other.drain_number
        )
        if self.is_own(newest):
            self.put_own(drained, self.own.renewed_at(newest.upstream_id))
        elif newest.home != self.process_id:
            self.corrections.append(
                events.Send(newest.home, messages.RecordUpdate(other))
            )

    def _set(self, record: records.Record, is_load: bool = False) -> None:
        if is_load:
            self.n_load_changes += 1
        else:
            self.n_changes += 1
        self.records_by_id[record.upstream_id] = record
        self._gone_since_by_id.pop(record.upstream_id, None)

    def _queue_change(self, item: messages.Item | messages.LoadItem) -> None:
        self._unpublished_by_id[item.upstream_id] = item
