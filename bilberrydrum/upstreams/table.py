"""The newest record of each upstream, the own leases, and the views of other homes.

`Table` holds what the directory decides on, and keeps its parts in agreement: each
change of an own record gets a change number and waits to be told to the others; a newer
record from elsewhere ends the own lease on that upstream.
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

# How long what is known of an upstream that is gone is kept. It must outlast any late
# message or announcement about it.
KEEP_GONE_SECONDS: Final = 600.0

NEVER: Final = float("-inf")


@attrs.frozen
class _Renewal:
    """The last renewal known of an upstream in one life."""

    life: int
    at: float


class Table:
    """What one gateway knows of all upstreams."""

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
        # How long after its last renewal an upstream is listed on the home's word.
        self._trust_seconds = trust_seconds
        self.own = ownership.Ownership(incarnation, lease_seconds, late_seconds)
        self.views_by_home: dict[str, views.View] = {}
        # The newest record of each upstream, whoever told it.
        self.records_by_id: dict[str, records.Record] = {}
        self._renewals_by_id: dict[str, _Renewal] = {}
        self._gone_since_by_id: dict[str, float] = {}
        # Own changes that are not yet told, by upstream, and the last one told.
        self._untold_by_id: dict[str, messages.Item | messages.LoadItem] = {}
        self._told_change = self.own.change
        # Count changes of records: of loads alone, and all others.
        self.n_load_changes = 0
        self.n_changes = 0
        # What homes have to be told that are not aware of it.
        self.corrections: list[events.Send] = []

    def view(self, home: str, incarnation: int) -> views.View:
        """Return the view of a home, a new one if the home has started anew."""
        view = self.views_by_home.get(home)
        if view is None or incarnation > view.incarnation:
            if view is not None:
                self._note_renewals(view)
            view = views.View(incarnation)
            self.views_by_home[home] = view
        return view

    def expires_at(self, record: records.Record) -> float:
        """Return when the lease of the newest record ends, as far as is known here."""
        renewed_at = self.renewed_at(record)
        if record.home == self.process_id:
            return renewed_at + self.lease_seconds
        return renewed_at + self._trust_seconds

    def renewed_at(self, record: records.Record) -> float:
        """Return when the upstream renewed, as far as known; NEVER: it is gone.

        That it renewed is true of the upstream, whoever was its home then. So what one
        home has told still counts when another takes over, until that one is heard.
        """
        if record.state != records.STATE_STANDS:
            return NEVER
        upstream_id, life = record.upstream_id, record.life
        known = self._renewals_by_id.get(upstream_id)
        renewed_at = known.at if known is not None and known.life == life else NEVER
        if record.home == self.process_id:
            if self.is_own(record):
                renewed_at = max(renewed_at, self.own.renewed_at(upstream_id))
        elif record.home in self.views_by_home:
            view = self.views_by_home[record.home]
            renewed_at = max(renewed_at, view.renewed_at(upstream_id, life))
        return renewed_at

    def told_at(self, record: records.Record) -> float:
        """Return when the upstream renewed by the word of its home alone."""
        view = self.views_by_home.get(record.home)
        if view is None:
            return NEVER
        return view.renewed_at(record.upstream_id, record.life)

    def note_renewal(self, record: records.Record, renewed_at: float) -> None:
        """Note that the upstream renewed in this life."""
        known = self._renewals_by_id.get(record.upstream_id)
        if (
            known is None
            or known.life < record.life
            or (known.life == record.life and known.at < renewed_at)
        ):
            self._renewals_by_id[record.upstream_id] = _Renewal(record.life, renewed_at)

    def apply(self, view: views.View, changes: messages.Changes, now: float) -> bool:
        """Take a home's changes into its view; False: earlier ones are missed."""
        for item in changes.items:
            held = view.records_by_id.get(item.upstream_id)
            if held is not None:
                self.note_renewal(held, view.renewed_at(held.upstream_id, held.life))
        return view.apply(changes, now)

    def replace(self, view: views.View, fetched: messages.Fetched, now: float) -> None:
        """Take all that a home answers for in place of its view."""
        self._note_renewals(view)
        view.replace(fetched, now)

    def is_own(self, record: records.Record) -> bool:
        """Tell whether this gateway answers for exactly this record."""
        own = self.own.records_by_id.get(record.upstream_id)
        return own is not None and own.version() == record.version()

    def answer_for(self, record: records.Record, renewed_at: float) -> records.Record:
        """Make this gateway the home of `record`, or tell a change of an own one."""
        item = self.own.put(self._with_home(record), renewed_at)
        assert item.record is not None
        self._tell(item)
        self._set(item.record)
        return item.record

    def answer_for_load(self, record: records.Record, load: model.Load) -> None:
        """Tell a change of an own record's load."""
        item = self.own.put_load(record.upstream_id, load)
        if isinstance(self._untold_by_id.get(record.upstream_id), messages.Item):
            # The whole record waits to be told and takes the load along.
            self._tell(self.own.last(record.upstream_id))
        else:
            self._tell(item)
        self._set(self.own.records_by_id[record.upstream_id], is_load=True)

    def end(self, record: records.Record, state: str, now: float) -> records.Record:
        """Tell that an upstream has lapsed or left."""
        ended = attrs.evolve(self._with_home(record), state=state)
        item = self.own.end(ended, now)
        assert item.record is not None
        self._tell(item)
        self._set(item.record)
        return item.record

    def merge(self, record: records.Record, now: float, is_load: bool = False) -> bool:
        """Take a record from another gateway; False if it is not newer.

        `is_load` tells that it differs from the one before by its load alone.
        """
        held = self.records_by_id.get(record.upstream_id)
        if held is not None and held.version() >= record.version():
            if held.version() != record.version():
                self._merge_drain(held, record)
            return False
        own = self.own.records_by_id.get(record.upstream_id)
        if own is not None:
            # Another gateway is the home now, or knows that the upstream has left.
            self.note_renewal(own, self.own.renewed_at(record.upstream_id))
            self._tell(self.own.release(record.upstream_id, now))
        self._set(record, is_load)
        if held is not None:
            self._merge_drain(record, held)
        return True

    def superseded(self) -> list[tuple[str, records.Record]]:
        """Return homes that answer for a record that has been superseded, with the new.

        A gateway that took an upstream over may have died when this gateway alone
        knew of it. The home that goes on would never be believed here.
        """
        return [
            (home, self.records_by_id[upstream_id])
            for home, view in self.views_by_home.items()
            for upstream_id, held in view.records_by_id.items()
            if self._is_superseded(held)
        ]

    def untold(self, now: float) -> messages.Changes | None:
        """Return the own changes that were not yet told; they count as told then."""
        if self._told_change == self.own.change:
            return None
        items = sorted(self._untold_by_id.values(), key=lambda item: item.change)
        aged = [
            attrs.evolve(item, age=self.own.age(item.upstream_id, now))
            for item in items
        ]
        changes = messages.Changes(
            ownership.milliseconds(now),
            self._told_change,
            self.own.change,
            tuple(item for item in aged if isinstance(item, messages.Item)),
            tuple(item for item in aged if isinstance(item, messages.LoadItem)),
        )
        self._untold_by_id.clear()
        self._told_change = self.own.change
        return changes

    def has_urgent(self) -> bool:
        """Tell whether more than loads waits to be told."""
        return any(
            isinstance(item, messages.Item) for item in self._untold_by_id.values()
        )

    def forget(self, now: float) -> None:
        """Drop what is known of upstreams that are long gone."""
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

    def _note_renewals(self, view: views.View) -> None:
        for held in view.records_by_id.values():
            self.note_renewal(held, view.renewed_at(held.upstream_id, held.life))

    def _is_superseded(self, held: records.Record) -> bool:
        newest = self.records_by_id.get(held.upstream_id)
        return newest is not None and newest.version() > held.version()

    def _with_home(self, record: records.Record) -> records.Record:
        if record.home == self.process_id and self.is_own(record):
            return record
        return attrs.evolve(record, home=self.process_id, epoch=record.epoch + 1)

    def _merge_drain(self, newest: records.Record, other: records.Record) -> None:
        """Keep an operator's later wish that came with a record that lost.

        Two gateways may become the home at once, one of them by the wish. Without
        this, the wish would be lost with its record.
        """
        if other.life != newest.life or other.drain_number <= newest.drain_number:
            return
        wished = attrs.evolve(
            newest, is_drained=other.is_drained, drain_number=other.drain_number
        )
        if self.is_own(newest):
            self.answer_for(wished, self.own.renewed_at(newest.upstream_id))
        elif newest.home != self.process_id:
            self.corrections.append(events.Send(newest.home, messages.News(other)))

    def _set(self, record: records.Record, is_load: bool = False) -> None:
        if is_load:
            self.n_load_changes += 1
        else:
            self.n_changes += 1
        self.records_by_id[record.upstream_id] = record
        self._gone_since_by_id.pop(record.upstream_id, None)

    def _tell(self, item: messages.Item | messages.LoadItem) -> None:
        self._untold_by_id[item.upstream_id] = item
