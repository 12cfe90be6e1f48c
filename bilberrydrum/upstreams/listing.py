"""Queries on a gateway's table: which upstreams are active now.

The usable upstreams are needed for each request, so they are cached until the first of
their leases expires or a record changes.
"""

from collections.abc import Mapping
from typing import Final

from bilberrydrum.upstreams import model, pauses, records, table

# Interval at which the cache is rebuilt for changed loads, or for leases that were
# renewed after they had expired.
INTERVAL_SECONDS: Final = 0.1


class Listing:
    """The upstreams that one gateway may use."""

    def __init__(self, known: table.Table, pauses_: pauses.PauseDetector) -> None:
        self._table = known
        self._pauses = pauses_
        self._usable_by_id: dict[str, model.Upstream] = {}
        self._made_at = table.NEVER
        self._valid_until = table.NEVER
        self._n_changes = -1
        self._n_load_changes = -1

    def usable_by_id(self, now: float) -> Mapping[str, model.Upstream]:
        """Return the upstreams that may be given new work at `now`."""
        if self._is_outdated(now):
            self._rebuild(now)
        return self._usable_by_id

    def active_by_id(self, now: float) -> dict[str, records.Record]:
        """Return the records of the upstreams whose lease is valid at `now`."""
        are_own_leases_suspended = self._pauses.are_own_leases_suspended(now)
        return {
            upstream_id: record
            for upstream_id, record in self._table.records_by_id.items()
            if now < self._table.expires_at(record)
            and not (are_own_leases_suspended and record.home == self._table.process_id)
        }

    def owner_of(self, upstream_id: str, now: float) -> str | None:
        """Return the owner of an upstream whose lease is valid at `now`."""
        record = self._table.records_by_id.get(upstream_id)
        if record is None or now >= self._table.expires_at(record):
            return None
        return record.home

    def expires_at(self, record: records.Record) -> float:
        """Return when the lease of a record expires."""
        return self._table.expires_at(record)

    def records_by_id(self) -> Mapping[str, records.Record]:
        """Return the newest record of each upstream, whether it is active or not."""
        return self._table.records_by_id

    def _is_outdated(self, now: float) -> bool:
        if now >= self._valid_until or self._table.n_changes != self._n_changes:
            return True
        has_loads = self._table.n_load_changes != self._n_load_changes
        return has_loads and now >= self._made_at + INTERVAL_SECONDS

    def _rebuild(self, now: float) -> None:
        active_by_id = self.active_by_id(now)
        self._usable_by_id = {
            upstream_id: record.upstream
            for upstream_id, record in active_by_id.items()
            if not record.is_drained
        }
        self._made_at = now
        self._n_changes = self._table.n_changes
        self._n_load_changes = self._table.n_load_changes
        expiries = [self.expires_at(record) for record in active_by_id.values()]
        n_active = sum(
            record.state == records.STATE_ACTIVE
            for record in self._table.records_by_id.values()
        )
        if n_active > len(active_by_id):
            # A renewal may make one active again without a change of its record.
            expiries.append(now + INTERVAL_SECONDS)
        self._valid_until = min(expiries, default=float("inf"))
