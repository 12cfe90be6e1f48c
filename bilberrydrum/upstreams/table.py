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


class Table:
    """What one gateway knows of all upstreams."""

    def __init__(
        self, process_id: str, incarnation: int, lease_seconds: float, late: float
    ) -> None:
        self.process_id = process_id
        self.lease_seconds = lease_seconds
        self.own = ownership.Ownership(incarnation, lease_seconds, late)
        self.views_by_home: dict[str, views.View] = {}
        # The newest record of each upstream, whoever told it.
        self.records_by_id: dict[str, records.Record] = {}
        self._gone_since_by_id: dict[str, float] = {}
        # Own changes that are not yet told, by upstream, and the last one told.
        self._untold_by_id: dict[str, messages.Item | messages.LoadItem] = {}
        self._told_change = self.own.change
        # What homes have to be told that are not aware of it.
        self.corrections: list[events.Send] = []

    def view(self, home: str, incarnation: int) -> views.View:
        """Return the view of a home, a new one if the home has started anew."""
        view = self.views_by_home.get(home)
        if view is None or incarnation > view.incarnation:
            view = views.View(incarnation, self.lease_seconds)
            self.views_by_home[home] = view
        return view

    def expires_at(self, record: records.Record) -> float:
        """Return when the lease of the newest record ends, as far as is known here."""
        if record.state != records.STATE_STANDS:
            return NEVER
        if record.home == self.process_id:
            if not self.is_own(record):
                return NEVER
            return self.own.expires_at(record.upstream_id)
        view = self.views_by_home.get(record.home)
        return NEVER if view is None else view.expires_at(record)

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
        self._set(self.own.records_by_id[record.upstream_id])

    def end(self, record: records.Record, state: str, now: float) -> records.Record:
        """Tell that an upstream has lapsed or left."""
        ended = attrs.evolve(self._with_home(record), state=state)
        item = self.own.end(ended, now)
        assert item.record is not None
        self._tell(item)
        self._set(item.record)
        return item.record

    def merge(self, record: records.Record, now: float) -> bool:
        """Take a record from another gateway; False if it is not newer."""
        held = self.records_by_id.get(record.upstream_id)
        if held is not None and held.version() >= record.version():
            if held.version() != record.version():
                self._merge_drain(held, record)
            return False
        own = self.own.records_by_id.get(record.upstream_id)
        if own is not None:
            # Another gateway is the home now, or knows that the upstream has left.
            self._tell(self.own.release(record.upstream_id, now))
        self._set(record)
        if held is not None:
            self._merge_drain(record, held)
        return True

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
                del self._gone_since_by_id[upstream_id]

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
            self.corrections.append(events.Send(newest.home, messages.News((other,))))

    def _set(self, record: records.Record) -> None:
        self.records_by_id[record.upstream_id] = record
        self._gone_since_by_id.pop(record.upstream_id, None)

    def _tell(self, item: messages.Item | messages.LoadItem) -> None:
        self._untold_by_id[item.upstream_id] = item
