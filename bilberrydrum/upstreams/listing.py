"""Queries on a gateway's table: which upstreams stand now.

The list of usable upstreams is asked for with each request, so it is kept until the
first lease in it ends or a record changes.
"""

from collections.abc import Mapping
from typing import Final

from bilberrydrum.upstreams import model, records, stops, table

# The list is made anew for changed loads, or leases that stand again, this often.
INTERVAL_SECONDS: Final = 0.1


class Listing:
    """The upstreams as one gateway may use them."""

    def __init__(self, known: table.Table, stops_: stops.Stops) -> None:
        self._table = known
        self._stops = stops_
        self._usable_by_id: dict[str, model.Upstream] = {}
        self._made_at = table.NEVER
        self._holds_until = table.NEVER
        self._n_changes = -1
        self._n_load_changes = -1

    def usable_by_id(self, now: float) -> Mapping[str, model.Upstream]:
        """Return the upstreams that may be given new work at `now`."""
        if self._is_outdated(now):
            self._make(now)
        return self._usable_by_id

    def standing_by_id(self, now: float) -> dict[str, records.Record]:
        """Return the records of the upstreams whose lease stands at `now`."""
        is_in_doubt = self._stops.is_in_doubt(now)
        return {
            upstream_id: record
            for upstream_id, record in self._table.records_by_id.items()
            if now < self._table.expires_at(record)
            and not (is_in_doubt and record.home == self._table.process_id)
        }

    def home_of(self, upstream_id: str, now: float) -> str | None:
        """Return the home of an upstream whose lease stands."""
        record = self._table.records_by_id.get(upstream_id)
        if record is None or now >= self._table.expires_at(record):
            return None
        return record.home

    def expires_at(self, record: records.Record) -> float:
        """Return when the lease of a record ends."""
        return self._table.expires_at(record)

    def records_by_id(self) -> Mapping[str, records.Record]:
        """Return the newest record of each upstream, whether it stands or not."""
        return self._table.records_by_id

    def _is_outdated(self, now: float) -> bool:
        if now >= self._holds_until or self._table.n_changes != self._n_changes:
            return True
        has_loads = self._table.n_load_changes != self._n_load_changes
        return has_loads and now >= self._made_at + INTERVAL_SECONDS

    def _make(self, now: float) -> None:
        standing_by_id = self.standing_by_id(now)
        self._usable_by_id = {
            upstream_id: record.upstream
            for upstream_id, record in standing_by_id.items()
            if not record.is_drained
        }
        self._made_at = now
        self._n_changes = self._table.n_changes
        self._n_load_changes = self._table.n_load_changes
        expiries = [self.expires_at(record) for record in standing_by_id.values()]
        n_standing = sum(
            record.state == records.STATE_STANDS
            for record in self._table.records_by_id.values()
        )
        if n_standing > len(standing_by_id):
            # A renewal may bring one back without a change of its record.
            expiries.append(now + INTERVAL_SECONDS)
        self._holds_until = min(expiries, default=float("inf"))
