"""The upstreams that this gateway owns: their leases and the log of their changes.

Each change gets the next number. The latest change of each upstream is kept, so that a
gateway which missed some can fetch those after the last number it has.
"""

from typing import Final

import attrs

from bilberrydrum.upstreams import messages, model, records

# How long the end of an upstream is kept in the log. A gateway that was away for longer
# gets all records.
KEEP_ENDED_SECONDS: Final = 600.0
# Change numbers of a later incarnation of this process are above all earlier ones.
_INCARNATION_SHIFT: Final = 32


def milliseconds(seconds: float) -> int:
    """Convert a time in seconds to the milliseconds used in messages."""
    return int(seconds * 1000)


class Ownership:
    """Records, leases and change log of one owner."""

    def __init__(self, incarnation: int, lease_seconds: float, late: float) -> None:
        self._lease_seconds = lease_seconds
        # Age of the last renewal from which an upstream is listed as late.
        self._late_seconds = late
        self.records_by_id: dict[str, records.Record] = {}
        self._renewed_at_by_id: dict[str, float] = {}
        self.change = incarnation << _INCARNATION_SHIFT
        # Some changes up to this number are no longer in the log.
        self._forgotten_change = self.change
        self.digest = 0
        self._last_by_id: dict[str, messages.Item] = {}
        self._ended_at_by_id: dict[str, float] = {}

    def expires_at(self, upstream_id: str) -> float:
        """Return when the lease expires."""
        return self._renewed_at_by_id[upstream_id] + self._lease_seconds

    def renewed_at(self, upstream_id: str) -> float:
        """Return when the last renewal was received."""
        return self._renewed_at_by_id[upstream_id]

    def renew(self, upstream_id: str, now: float) -> None:
        """Record a renewal received at `now`."""
        known = self._renewed_at_by_id[upstream_id]
        self._renewed_at_by_id[upstream_id] = max(known, now)

    def put(self, record: records.Record, renewed_at: float) -> messages.Item:
        """Store `record` as owned by this gateway, with the next change number."""
        self.change += 1
        upstream_id = record.upstream_id
        record = attrs.evolve(
            record, upstream=attrs.evolve(record.upstream, change=self.change)
        )
        self._remove(upstream_id)
        self.records_by_id[upstream_id] = record
        self.digest ^= record.digest()
        self._renewed_at_by_id[upstream_id] = renewed_at
        self._ended_at_by_id.pop(upstream_id, None)
        return self._log(messages.Item(self.change, upstream_id, record))

    def put_load(self, upstream_id: str, load: model.Load) -> messages.LoadItem:
        """Change only the load of an upstream."""
        record = self.records_by_id[upstream_id]
        upstream = attrs.evolve(record.upstream, load=load)
        self.put(
            attrs.evolve(record, upstream=upstream), self._renewed_at_by_id[upstream_id]
        )
        return messages.LoadItem(self.change, upstream_id, load)

    def end(self, record: records.Record, now: float) -> messages.Item:
        """Log `record` as expired or left, and end its lease."""
        self.change += 1
        upstream_id = record.upstream_id
        record = attrs.evolve(
            record, upstream=attrs.evolve(record.upstream, change=self.change)
        )
        self._remove(upstream_id)
        self._ended_at_by_id[upstream_id] = now
        return self._log(messages.Item(self.change, upstream_id, record))

    def release(self, upstream_id: str, now: float) -> messages.Item:
        """Log that another gateway is the owner now."""
        self.change += 1
        self._remove(upstream_id)
        self._ended_at_by_id[upstream_id] = now
        return self._log(messages.Item(self.change, upstream_id))

    def last(self, upstream_id: str) -> messages.Item:
        """Return the last change of an upstream."""
        return self._last_by_id[upstream_id]

    def expired_ids(self, now: float) -> list[str]:
        """Return the upstreams whose lease has expired."""
        return [
            upstream_id
            for upstream_id in self.records_by_id
            if now >= self.expires_at(upstream_id)
        ]

    def forget(self, now: float) -> None:
        """Drop old ends of upstreams from the log, to keep it bounded."""
        for upstream_id, ended_at in list(self._ended_at_by_id.items()):
            if now - ended_at >= KEEP_ENDED_SECONDS:
                del self._ended_at_by_id[upstream_id]
                item = self._last_by_id.pop(upstream_id)
                self._forgotten_change = max(self._forgotten_change, item.change)

    def age(self, upstream_id: str, now: float) -> int:
        """Return the time since the last renewal, in milliseconds."""
        renewed_at = self._renewed_at_by_id.get(upstream_id)
        return 0 if renewed_at is None else milliseconds(now - renewed_at)

    def heartbeat(self, now: float) -> messages.Heartbeat:
        """Return the message that confirms the leases of all own upstreams."""
        ages = {
            upstream_id: now - renewed_at
            for upstream_id, renewed_at in self._renewed_at_by_id.items()
        }
        in_time = [age for age in ages.values() if age < self._late_seconds]
        late = tuple(
            messages.Late(upstream_id, milliseconds(age))
            for upstream_id, age in ages.items()
            if age >= self._late_seconds
        )
        return messages.Heartbeat(
            milliseconds(now),
            self.change,
            self.digest,
            milliseconds(max(in_time, default=0.0)),
            late,
        )

    def fetched(self, fetch: messages.Fetch, now: float) -> messages.Fetched:
        """Return what the requester misses, or everything if the log is too short."""
        is_full = fetch.since == 0 or not (
            self._forgotten_change <= fetch.since <= self.change
        )
        since = 0 if is_full else fetch.since
        items = sorted(
            (item for item in self._last_by_id.values() if item.change > since),
            key=lambda item: item.change,
        )
        changes = messages.Changes(
            milliseconds(now),
            since,
            self.change,
            tuple(
                attrs.evolve(item, age=self.age(item.upstream_id, now))
                for item in items
            ),
        )
        return messages.Fetched(fetch.asked_at, is_full, changes, self.heartbeat(now))

    def _remove(self, upstream_id: str) -> None:
        record = self.records_by_id.pop(upstream_id, None)
        if record is not None:
            self.digest ^= record.digest()
        self._renewed_at_by_id.pop(upstream_id, None)

    def _log(self, item: messages.Item) -> messages.Item:
        self._last_by_id.pop(item.upstream_id, None)
        self._last_by_id[item.upstream_id] = item
        return item
